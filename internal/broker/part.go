package broker

import (
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// Planner watches what the broker sees and plans beside the decision module: peaks that
// are announced, sites that may be lost. The broker's actor calls it, so it needs no
// lock and must not wait. What it decides reaches the module as events, and nothing
// else of the broker does it touch. Without parts nothing of this costs anything.
//
// A part embeds Unmoved and has the methods that it needs.
type Planner interface {
	// Every is how often Tick is called. It does not change.
	Interval() time.Duration
	// Arrived is told of each request that is to be decided on. It returns whether the
	// request is one that the part holds room for.
	RequestArrived(now time.Time, r *Request) (own bool)
	// Over is told of each session that played and no longer does: for how long, and
	// whether that was its whole length or it was broken off.
	SessionEnded(now time.Time, class int, stood time.Duration, broken bool)
	// Reported is told what nodes tell, before the broker acts on it.
	NodeReported(now time.Time, r *Report)
	// Listed is told of changes to the list of nodes.
	ListUpdated(now time.Time, entries []control.Entry)
	// Stalled is told that the program stood still for a time.
	ProcessPaused(now time.Time, d time.Duration)
	// Tick has the part look and plan. It returns what the module is to be told.
	Tick(now time.Time, v BrokerView) []control.Event
}

// BrokerView is what a part may ask of the broker during Tick.
type BrokerView interface {
	// Room is the fleet's, in slots.
	FleetSlots() float64
	// Share is the part of all managers' arrivals that this one sees; 0: not known.
	ArrivalShare() float64
	// Ages are, by class, how long the sessions that play have done so, in seconds.
	SessionAges() [][]float64
	// Probe asks a node for its report, which comes as any other does.
	Probe(control.ServerID)
}

// NopPlanner is a part that does nothing, to be embedded.
type NopPlanner struct{}

func (NopPlanner) RequestArrived(time.Time, *Request) bool           { return false }
func (NopPlanner) SessionEnded(time.Time, int, time.Duration, bool)  {}
func (NopPlanner) NodeReported(time.Time, *Report)                   {}
func (NopPlanner) ListUpdated(time.Time, []control.Entry)            {}
func (NopPlanner) ProcessPaused(time.Time, time.Duration)            {}
func (NopPlanner) Tick(time.Time, BrokerView) (none []control.Event) { return none }

// brokerView is the broker as parts see it.
type brokerView struct{ *Broker }

func (v brokerView) FleetSlots() float64   { return v.controller.CapacitySlots() }
func (v brokerView) ArrivalShare() float64 { return v.controller.LoadShare() }

func (v brokerView) Probe(s control.ServerID) { v.nodes.Probe(s) }

func (v brokerView) SessionAges() [][]float64 {
	now, ages := v.clock.now(), make([][]float64, len(v.settings.Classes))
	for _, s := range v.sessions {
		if s.playing && !s.establishedAt.IsZero() {
			ages[s.Class] = append(ages[s.Class], now.Sub(s.establishedAt).Seconds())
		}
	}
	return ages
}

// tickPlanner calls a part, and is due again.
func (b *Broker) tickPlanner(index int) {
	now, p := b.clock.now(), b.planners[index]
	for _, e := range p.Tick(now, brokerView{b}) {
		b.dispatch(e)
	}
	b.timers.add(now.Add(p.Interval()), timerPlanner, 0, uint32(index))
}

// requestArrived tells the parts of a request, and whether one of them holds room for it.
func (b *Broker) requestArrived(now time.Time, r *Request) (held bool) {
	for _, p := range b.planners {
		held = p.RequestArrived(now, r) || held
	}
	return held
}

// ProcessPaused tells the broker that the program stood still for a time.
func (b *Broker) ProcessPaused(d time.Duration) { b.inbox.Force(processPause{d}) }

type processPause struct{ duration time.Duration }

// newPlanners are those that a configuration asks for.
func newPlanners(cfg *Config, managers int, log *zap.Logger) (all []Planner) {
	if p := newPeakPlanner(cfg.Peaks, managers, log); p != nil {
		all = append(all, p)
	}
	if len(cfg.Sites.Names) > 0 {
		all = append(all, newSitePlanner(cfg.Sites, cfg.Settings, log))
	}
	return all
}
