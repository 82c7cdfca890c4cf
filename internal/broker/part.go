package broker

import (
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// Part watches what the broker sees and plans beside the decision module: peaks that
// are announced, sites that may be lost. The broker's actor calls it, so it needs no
// lock and must not wait. What it decides reaches the module as events, and nothing
// else of the broker does it touch. Without parts nothing of this costs anything.
//
// A part embeds Unmoved and has the methods that it needs.
type Part interface {
	// Every is how often Tick is called. It does not change.
	Every() time.Duration
	// Arrived is told of each request that is to be decided on. It returns whether the
	// request is one that the part holds room for.
	Arrived(now time.Time, r *Request) (own bool)
	// Over is told of each session that played and no longer does: for how long, and
	// whether that was its whole length or it was broken off.
	Over(now time.Time, class int, stood time.Duration, broken bool)
	// Reported is told what nodes tell, before the broker acts on it.
	Reported(now time.Time, r *Report)
	// Listed is told of changes to the list of nodes.
	Listed(now time.Time, entries []control.Entry)
	// Stalled is told that the program stood still for a time.
	Stalled(now time.Time, d time.Duration)
	// Tick has the part look and plan. It returns what the module is to be told.
	Tick(now time.Time, v View) []control.Event
}

// View is what a part may ask of the broker during Tick.
type View interface {
	// Room is the fleet's, in slots.
	Room() float64
	// Share is the part of all managers' arrivals that this one sees; 0: not known.
	Share() float64
	// Ages are, by class, how long the sessions that play have done so, in seconds.
	Ages() [][]float64
	// Probe asks a node for its report, which comes as any other does.
	Probe(control.ServerID)
}

// Unmoved is a part that does nothing, to be embedded.
type Unmoved struct{}

func (Unmoved) Arrived(time.Time, *Request) bool            { return false }
func (Unmoved) Over(time.Time, int, time.Duration, bool)    {}
func (Unmoved) Reported(time.Time, *Report)                 {}
func (Unmoved) Listed(time.Time, []control.Entry)           {}
func (Unmoved) Stalled(time.Time, time.Duration)            {}
func (Unmoved) Tick(time.Time, View) (none []control.Event) { return none }

// view is the broker as parts see it.
type view struct{ *Broker }

func (v view) Room() float64  { return v.ctl.CapacitySlots() }
func (v view) Share() float64 { return v.ctl.LoadShare() }

func (v view) Probe(s control.ServerID) { v.nodes.Probe(s) }

func (v view) Ages() [][]float64 {
	now, ages := v.clock.now(), make([][]float64, len(v.set.Classes))
	for _, s := range v.sessions {
		if s.playing && !s.stood.IsZero() {
			ages[s.Class] = append(ages[s.Class], now.Sub(s.stood).Seconds())
		}
	}
	return ages
}

// tickPart calls a part, and is due again.
func (b *Broker) tickPart(i int) {
	now, p := b.clock.now(), b.parts[i]
	for _, e := range p.Tick(now, view{b}) {
		b.tell(e)
	}
	b.timers.add(now.Add(p.Every()), timerPart, 0, uint32(i))
}

// arrived tells the parts of a request, and whether one of them holds room for it.
func (b *Broker) arrived(now time.Time, r *Request) (own bool) {
	for _, p := range b.parts {
		own = p.Arrived(now, r) || own
	}
	return own
}

// Stalled tells the broker that the program stood still for a time.
func (b *Broker) Stalled(d time.Duration) { b.inbox.Force(stood{d}) }

type stood struct{ d time.Duration }

// parts are those that a configuration asks for.
func parts(cfg *Config, fronts int, log *zap.Logger) (all []Part) {
	if h := newHolder(cfg.Peaks, fronts, log); h != nil {
		all = append(all, h)
	}
	if len(cfg.Sites.Names) > 0 {
		all = append(all, newSites(cfg.Sites, cfg.Settings, log))
	}
	return all
}
