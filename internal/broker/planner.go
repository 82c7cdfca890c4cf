package broker

import (
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// Planner observes the broker and plans beside the decision module, for example for
// announced peaks or for the loss of sites. The broker's actor calls its methods, so that
// a planner needs no lock and must not block. Its decisions are passed to the decision
// module as events; it changes nothing else in the broker. Without planners there is no
// cost at run time.
//
// A planner embeds NopPlanner and overrides the methods that it needs.
type Planner interface {
	// Interval is the time between calls of Tick. It is constant.
	Interval() time.Duration
	// RequestArrived is called for each request that the decision module is to decide. It
	// reports whether the planner holds slots for requests like this one.
	RequestArrived(now time.Time, r *Request) (held bool)
	// SessionEnded is called when an established session has ended, with the time that it
	// played and whether it was interrupted, so that its full length is not known.
	SessionEnded(now time.Time, class int, played time.Duration, interrupted bool)
	// NodeReported is called for each report of a node, before the broker handles it.
	NodeReported(now time.Time, r *Report)
	// ListUpdated is called when the list of nodes has changed.
	ListUpdated(now time.Time, entries []control.Entry)
	// ProcessPaused is called after a process pause of length d.
	ProcessPaused(now time.Time, d time.Duration)
	// Tick plans, and returns the events for the decision module.
	Tick(now time.Time, v BrokerView) []control.Event
}

// BrokerView is what a Planner may read and request of the broker during Tick.
type BrokerView interface {
	// FleetSlots is the capacity of the fleet's usable nodes in slots.
	FleetSlots() float64
	// LoadShare is this manager's estimated share of all managers' load, from 0 to 1; an
	// even share without reports.
	LoadShare() float64
	// SessionAges returns, by class, how long each established session has been playing, in
	// seconds.
	SessionAges() [][]float64
	// Probe requests a load report from a node. It arrives like any other report.
	Probe(control.ServerID)
}

// NopPlanner is a Planner that does nothing, to be embedded.
type NopPlanner struct{}

// RequestArrived returns false.
func (NopPlanner) RequestArrived(time.Time, *Request) bool { return false }

// SessionEnded does nothing.
func (NopPlanner) SessionEnded(time.Time, int, time.Duration, bool) {}

// NodeReported does nothing.
func (NopPlanner) NodeReported(time.Time, *Report) {}

// ListUpdated does nothing.
func (NopPlanner) ListUpdated(time.Time, []control.Entry) {}

// ProcessPaused does nothing.
func (NopPlanner) ProcessPaused(time.Time, time.Duration) {}

// Tick returns no events.
func (NopPlanner) Tick(time.Time, BrokerView) (none []control.Event) { return none }

// brokerView implements BrokerView.
type brokerView struct{ *Broker }

func (v brokerView) FleetSlots() float64 { return v.controller.CapacitySlots() }
func (v brokerView) LoadShare() float64  { return v.controller.LoadShare() }

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

// tickPlanner calls a planner's Tick and schedules the next call.
func (b *Broker) tickPlanner(index int) {
	now, p := b.clock.now(), b.planners[index]
	for _, e := range p.Tick(now, brokerView{b}) {
		b.dispatch(e)
	}
	b.timers.add(now.Add(p.Interval()), timerPlanner, 0, uint32(index))
}

// requestArrived passes a request to the planners, and reports whether one of them holds
// slots for it.
func (b *Broker) requestArrived(now time.Time, r *Request) (held bool) {
	for _, p := range b.planners {
		held = p.RequestArrived(now, r) || held
	}
	return held
}

// ProcessPaused reports a process pause of length d to the broker.
func (b *Broker) ProcessPaused(d time.Duration) { b.inbox.Force(processPause{d}) }

type processPause struct{ duration time.Duration }

// newPlanners returns the planners that the configuration requires.
func newPlanners(cfg *Config, managers int, log *zap.Logger) (all []Planner) {
	if p := newPeakPlanner(cfg.Peaks, managers, log); p != nil {
		all = append(all, p)
	}
	if len(cfg.Sites.Names) > 0 {
		all = append(all, newSitePlanner(cfg.Sites, cfg.Settings, log))
	}
	return all
}
