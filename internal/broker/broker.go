// Package broker is the core of the session manager. It deals in requests,
// attempts and outcomes and knows no wire: fronts hand it requests and carry
// its replies, media nodes carry its attempts and report their outcomes.
//
// One actor owns each session's life and is the only one to call the decision
// module. It never waits for a front or a node.
package broker

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/mailbox"
)

const (
	// perMB bounds what fronts may have waiting before the module: messages for
	// each MB of memory. Each holds up to 16 KiB, so together they may take a
	// quarter of it.
	perMB = 16
	// answerMargin is kept before a viewer's deadline for the answer's way.
	answerMargin = 100 * time.Millisecond
	// lastMargin is when the broker answers itself what the module has not.
	lastMargin = 50 * time.Millisecond
	// tombstones bounds the final replies kept for players that reconnect.
	tombstones = 1 << 16
	// tombstoneTime is how long such a reply is kept.
	tombstoneTime = 30 * time.Second
)

// Config is what a Broker needs.
type Config struct {
	Settings control.Settings
	Seed     uint64
	MemoryMB int
	Drain    Drain
	Teams    []Team
	Peaks    Peaks
	Sites    Sites
	Nodes    Nodes
	Counts   *Counts        // nil: nobody asks
	Hand     func(Handover) // takes what stands once a younger process takes over; must not wait; nil: none ever does
	Log      *zap.Logger
}

// Drain is how a Broker ends.
type Drain struct {
	Take time.Duration // new requests are served for so long
	Stay time.Duration // what stands is kept for so long
}

// Broker is the actor round the decision module.
type Broker struct {
	set      control.Settings
	ctl      *control.Controller
	nodes    Nodes
	log      *zap.Logger
	clock    clock
	inbox    *mailbox.Box[any]
	sessions map[control.SessionID]*session
	ended    map[control.SessionID]Reply // final replies that a player may still ask for
	open     map[control.SessionID]bool  // set-ups not answered yet
	timers   timers
	ledgers  []ledger
	parts    []Part // what watches and plans beside the module
	drained  chan struct{}
	drain    Drain
	counts   *Counts
	stopping time.Time // when the drain was asked for; zero: it was not
	leaving  bool      // what stands is left standing: a younger process takes it over
	hand     func(Handover)
	final    Handover                   // once drained is closed
	taken    map[control.SessionID]bool // over from older processes; they may have ended here
	handed   map[control.SessionID]int  // by what cause sessions ended since they were handed over
}

// New returns a Broker. Run starts it.
func New(cfg Config) (*Broker, error) {
	set := cfg.Settings
	for _, t := range cfg.Teams {
		set.TenantQuotas = append(set.TenantQuotas, t.Rate)
	}
	ctl, err := control.New(set, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("broker: %w", err)
	}
	b := &Broker{
		set: set, ctl: ctl, nodes: cfg.Nodes, log: cfg.Log, clock: newClock(),
		inbox:    mailbox.New[any](max(cfg.MemoryMB, 1) * perMB),
		sessions: make(map[control.SessionID]*session),
		ended:    make(map[control.SessionID]Reply),
		open:     make(map[control.SessionID]bool),
		ledgers:  newLedgers(cfg.Teams, len(cfg.Settings.TenantQuotas)),
		drained:  make(chan struct{}),
		drain:    cfg.Drain,
		counts:   cfg.Counts,
		hand:     cfg.Hand,
		parts:    parts(&cfg, set.Managers, cfg.Log),
	}
	for i := range b.parts {
		b.timers.add(b.clock.now(), timerPart, 0, uint32(i))
	}
	return b, nil
}

// Submit hands over a request. False: the mailbox is full, nothing was taken.
func (b *Broker) Submit(r Request) bool { return b.inbox.Put(r) }

// End tells that a viewer has given a session up or has released it.
func (b *Broker) End(e ViewerEnd) bool { return b.inbox.Put(e) }

// Lost tells that a client's connection is gone.
func (b *Broker) Lost(c Client) { b.inbox.Force(lost{c}) }

// Report takes what a media node tells. Their number is bounded by that of
// attempts, probes and notes, so none is dropped.
func (b *Broker) Report(r Report) { b.inbox.Force(r) }

// List takes a change to the list of media nodes.
func (b *Broker) List(l List) { b.inbox.Force(l) }

// Finish asks the broker to end: it serves on for a while, answers all that it
// took, keeps what stands for as long as it may, and then closes Drained.
func (b *Broker) Finish() { b.inbox.Force(finish{}) }

// Leave is Finish where a younger process of this manager takes over: what stands is left
// standing, so the broker need not stay for it.
func (b *Broker) Leave() { b.inbox.Force(finish{leave: true}) }

// Drained is closed once all that was taken before and during a drain is
// answered.
func (b *Broker) Drained() <-chan struct{} { return b.drained }

type (
	lost   struct{ client Client }
	finish struct{ leave bool }
)

// Run is the actor's loop.
func (b *Broker) Run(ctx context.Context) error {
	var batch []any
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if d, ok := b.timers.next(b.clock.now()); ok {
			timer.Reset(d)
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-b.inbox.Ready():
		}
		batch = b.inbox.Take(batch)
		for _, m := range batch {
			b.handle(m)
		}
		b.expire()
		b.checkDrained()
	}
}

func (b *Broker) handle(m any) {
	switch m := m.(type) {
	case Request:
		b.request(m)
	case ViewerEnd:
		b.viewerEnd(m)
	case lost:
		b.clientLost(m.client)
	case Report:
		b.report(m)
	case List:
		for _, p := range b.parts {
			p.Listed(b.clock.now(), m.Entries)
		}
		b.tell(control.Event{Kind: control.EventList, List: control.ListDelta, Entries: m.Entries})
	case stood:
		for _, p := range b.parts {
			p.Stalled(b.clock.now(), m.d)
		}
	case finish:
		if b.stopping.IsZero() {
			b.stopping = b.clock.now()
			if m.leave {
				b.leave()
			}
			b.timers.add(b.stopping.Add(b.stay()), timerDrain, 0, 0)
		}
	case adopt:
		b.adopt(m)
	case census:
		m.to <- b.count()
	}
}

func (b *Broker) checkDrained() {
	if b.stopping.IsZero() || b.clock.now().Before(b.stopping.Add(b.stay())) || len(b.open) > 0 {
		return
	}
	select {
	case <-b.drained:
	default:
		if b.leaving {
			b.final = b.handover(true)
		}
		b.closeStanding()
		close(b.drained)
	}
}

// stay is how long the broker stays at least once it is asked to end.
func (b *Broker) stay() time.Duration {
	if b.leaving {
		return b.drain.Take
	}
	return b.drain.Stay
}

// closing tells whether it is too late for a new request.
func (b *Broker) closing() bool {
	return !b.stopping.IsZero() && !b.clock.now().Before(b.stopping.Add(b.drain.Take))
}

// closeStanding ends what stands on both sides before the program exits.
func (b *Broker) closeStanding() {
	for id, s := range b.sessions {
		if _, ok := s.client.(hosted); ok && b.leaving && s.Grace == 0 {
			continue // it is handed over
		}
		if s.playing {
			b.toldOver(s, Reply{Kind: Over, ID: id, Cause: CauseCut}) // its player's connection may be lost
			b.nodes.Release(s.server, id, CauseCut)
		}
	}
}

// tell hands one event to the module and carries its actions out.
func (b *Broker) tell(e control.Event) {
	now := b.clock.now()
	for _, a := range b.ctl.Handle(unix(now), e) {
		b.act(now, a)
	}
}

func (b *Broker) act(now time.Time, a control.Action) {
	s := b.sessions[a.Session]
	switch a.Kind {
	case control.ActionSetUp:
		b.handOff(now, s, a)
	case control.ActionSetRung:
		if s != nil {
			// Guard: no class plays under its floor, whatever the module says.
			s.rung = max(a.Rung, b.set.Classes[s.Class].FloorRung)
			if s.out || s.playing && !b.leaving { // what was handed over has another master
				b.nodes.SetRung(s.server, s.ID, s.rung)
			}
		}
	case control.ActionRefuse:
		if s != nil && !s.answered {
			b.refuse(s, seconds(a.RetryAfterS))
		}
	case control.ActionFail:
		if s != nil && !s.answered {
			b.answer(s, Reply{Kind: Failed, ID: s.ID, Cause: CauseFailed})
		}
	case control.ActionSetTimer:
		b.timers.add(now.Add(seconds(a.DelayS)), timerWake, 0, a.Token)
	case control.ActionProbe:
		b.nodes.Probe(a.Server)
	case control.ActionMove:
		// Guard: a move ends the session on both sides. The module hears of the
		// end after its present actions.
		if s != nil && s.playing {
			b.toldOver(s, Reply{Kind: Moved, ID: s.ID})
			b.nodes.Release(s.server, s.ID, CauseCancelled)
			b.Report(Report{Kind: Ended, Server: s.server, ID: s.ID, Number: s.attempt,
				Status: control.Cancelled, Cause: CauseCancelled})
		}
	case control.ActionRemark:
		b.log.Info("module", zap.String("remark", a.Text))
	}
}

// expire runs the timers that are due.
func (b *Broker) expire() {
	for {
		t, ok := b.timers.pop(b.clock.now())
		if !ok {
			return
		}
		s := b.sessions[t.session]
		switch t.kind {
		case timerWake:
			b.tell(control.Event{Kind: control.EventTimer, Token: t.token})
		case timerAttempt:
			if s != nil && s.out && s.attempt == int(t.token) {
				b.nodes.GiveUp(s.server, s.ID, s.attempt, true)
			}
		case timerDeadline:
			b.overdue(t.session)
		case timerGrace:
			if s != nil && s.client == nil && s.losses == t.token {
				b.abandon(s)
			}
		case timerLook:
			b.look(t.session)
		case timerPart:
			b.tickPart(int(t.token))
		case timerForget:
			delete(b.ended, t.session)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
