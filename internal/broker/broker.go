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
	// inboxPerMB bounds what fronts may have waiting before the module: messages for
	// each MB of memory. Each holds up to 16 KiB, so together they may take a
	// quarter of it.
	inboxPerMB = 16
	// answerMargin is kept before a viewer's deadline for the answer's way.
	answerMargin = 100 * time.Millisecond
	// overdueMargin is when the broker answers itself what the module has not.
	overdueMargin = 50 * time.Millisecond
	// maxEndedReplies bounds the final replies kept for players that reconnect.
	maxEndedReplies = 1 << 16
	// endedReplyRetention is how long such a reply is kept.
	endedReplyRetention = 30 * time.Second
)

// Config is what a Broker needs.
type Config struct {
	Settings control.Settings
	Seed     uint64
	MemoryMB int
	Drain    DrainTimes
	Teams    []Team
	Peaks    PeakConfig
	Sites    SiteConfig
	Nodes    Nodes
	Counters *Counters      // nil: nobody asks
	HandOver func(Handover) // takes what stands once a younger process takes over; must not wait; nil: none ever does
	Log      *zap.Logger
}

// DrainTimes is how a Broker ends.
type DrainTimes struct {
	AcceptFor time.Duration // new requests are served for so long
	KeepFor   time.Duration // what stands is kept for so long
}

// Broker is the actor round the decision module.
type Broker struct {
	settings           control.Settings
	controller         *control.Controller
	nodes              Nodes
	log                *zap.Logger
	clock              clock
	inbox              *mailbox.Box[any]
	sessions           map[control.SessionID]*session
	endedReplies       map[control.SessionID]Reply // final replies that a player may still ask for
	openSetUps         map[control.SessionID]bool  // set-ups not answered yet
	timers             timerHeap
	ledgers            []teamLedger
	planners           []Planner // what watches and plans beside the module
	drained            chan struct{}
	drainTimes         DrainTimes
	counters           *Counters
	drainStart         time.Time // when the drain was asked for; zero: it was not
	handingOver        bool      // what stands is left standing: a younger process takes it over
	handOver           func(Handover)
	finalHandover      Handover                   // once drained is closed
	adoptedIDs         map[control.SessionID]bool // over from older processes; they may have ended here
	endedSinceHandover map[control.SessionID]int  // by what cause sessions ended since they were handed over
}

// New returns a Broker. Run starts it.
func New(cfg Config) (*Broker, error) {
	settings := cfg.Settings
	for _, team := range cfg.Teams {
		settings.TenantQuotas = append(settings.TenantQuotas, team.SessionsPerS)
	}
	controller, err := control.New(settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("broker: %w", err)
	}
	b := &Broker{
		settings: settings, controller: controller, nodes: cfg.Nodes, log: cfg.Log, clock: newClock(),
		inbox:        mailbox.New[any](max(cfg.MemoryMB, 1) * inboxPerMB),
		sessions:     make(map[control.SessionID]*session),
		endedReplies: make(map[control.SessionID]Reply),
		openSetUps:   make(map[control.SessionID]bool),
		ledgers:      newLedgers(cfg.Teams, len(cfg.Settings.TenantQuotas)),
		drained:      make(chan struct{}),
		drainTimes:   cfg.Drain,
		counters:     cfg.Counters,
		handOver:     cfg.HandOver,
		planners:     newPlanners(&cfg, settings.Managers, cfg.Log),
	}
	for i := range b.planners {
		b.timers.add(b.clock.now(), timerPlanner, 0, uint32(i))
	}
	return b, nil
}

// Submit hands over a request. False: the mailbox is full, nothing was taken.
func (b *Broker) Submit(r Request) bool { return b.inbox.Put(r) }

// End tells that a viewer has given a session up or has released it.
func (b *Broker) End(e ViewerEnd) bool { return b.inbox.Put(e) }

// Lost tells that a client's connection is gone.
func (b *Broker) Lost(c Client) { b.inbox.Force(connectionLost{c}) }

// Report takes what a media node tells. Their number is bounded by that of
// attempts, probes and notes, so none is dropped.
func (b *Broker) Report(r Report) { b.inbox.Force(r) }

// UpdateList takes a change to the list of media nodes.
func (b *Broker) UpdateList(l ListUpdate) { b.inbox.Force(l) }

// Drain asks the broker to end: it serves on for a while, answers all that it
// took, keeps what stands for as long as it may, and then closes Drained.
func (b *Broker) Drain() { b.inbox.Force(drainRequest{}) }

// DrainForSuccessor is Finish where a younger process of this manager takes over: what stands is left
// standing, so the broker need not stay for it.
func (b *Broker) DrainForSuccessor() { b.inbox.Force(drainRequest{forSuccessor: true}) }

// Drained is closed once all that was taken before and during a drain is
// answered.
func (b *Broker) Drained() <-chan struct{} { return b.drained }

type (
	connectionLost struct{ client Client }
	drainRequest   struct{ forSuccessor bool }
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
			b.handleMessage(m)
		}
		b.runTimers()
		b.checkDrained()
	}
}

func (b *Broker) handleMessage(m any) {
	switch m := m.(type) {
	case Request:
		b.handleRequest(m)
	case ViewerEnd:
		b.handleViewerEnd(m)
	case connectionLost:
		b.handleConnectionLost(m.client)
	case Report:
		b.handleReport(m)
	case ListUpdate:
		for _, p := range b.planners {
			p.ListUpdated(b.clock.now(), m.Entries)
		}
		b.dispatch(control.Event{Kind: control.EventList, List: control.ListDelta, Entries: m.Entries})
	case processPause:
		for _, p := range b.planners {
			p.ProcessPaused(b.clock.now(), m.duration)
		}
	case drainRequest:
		if b.drainStart.IsZero() {
			b.drainStart = b.clock.now()
			if m.forSuccessor {
				b.handOverSessions()
			}
			b.timers.add(b.drainStart.Add(b.minDrainTime()), timerDrain, 0, 0)
		}
	case adoption:
		b.handleAdoption(m)
	case statsRequest:
		m.result <- b.collectStats()
	}
}

func (b *Broker) checkDrained() {
	if b.drainStart.IsZero() || b.clock.now().Before(b.drainStart.Add(b.minDrainTime())) || len(b.openSetUps) > 0 {
		return
	}
	select {
	case <-b.drained:
	default:
		if b.handingOver {
			b.finalHandover = b.buildHandover(true)
		}
		b.endEstablished()
		close(b.drained)
	}
}

// minDrainTime is how long the broker stays at least once it is asked to end.
func (b *Broker) minDrainTime() time.Duration {
	if b.handingOver {
		return b.drainTimes.AcceptFor
	}
	return b.drainTimes.KeepFor
}

// refusesNew tells whether it is too late for a new request.
func (b *Broker) refusesNew() bool {
	return !b.drainStart.IsZero() && !b.clock.now().Before(b.drainStart.Add(b.drainTimes.AcceptFor))
}

// endEstablished ends what stands on both sides before the program exits.
func (b *Broker) endEstablished() {
	for id, s := range b.sessions {
		if _, ok := s.client.(hostedClient); ok && b.handingOver && s.Grace == 0 {
			continue // it is handed over
		}
		if s.playing {
			b.notifyEnded(s, Reply{Kind: ReplyEnded, ID: id, Cause: CauseInterrupted}) // its player's connection may be lost
			b.nodes.Release(s.server, id, CauseInterrupted)
		}
	}
}

// dispatch hands one event to the module and carries its actions out.
func (b *Broker) dispatch(event control.Event) {
	now := b.clock.now()
	for _, action := range b.controller.Handle(unixSeconds(now), event) {
		b.execute(now, action)
	}
}

func (b *Broker) execute(now time.Time, action control.Action) {
	s := b.sessions[action.Session]
	switch action.Kind {
	case control.ActionSetUp:
		b.startAttempt(now, s, action)
	case control.ActionSetRung:
		if s != nil {
			// Guard: no class plays under its floor, whatever the module says.
			s.rung = max(action.Rung, b.settings.Classes[s.Class].FloorRung)
			if s.inFlight || s.playing && !b.handingOver { // what was handed over has another master
				b.nodes.SetRung(s.server, s.ID, s.rung)
			}
		}
	case control.ActionRefuse:
		if s != nil && !s.answered {
			b.refuse(s, seconds(action.RetryAfterS))
		}
	case control.ActionFail:
		if s != nil && !s.answered {
			b.answer(s, Reply{Kind: ReplyFailed, ID: s.ID, Cause: CauseFailed})
		}
	case control.ActionSetTimer:
		b.timers.add(now.Add(seconds(action.DelayS)), timerWake, 0, action.Token)
	case control.ActionProbe:
		b.nodes.Probe(action.Server)
	case control.ActionMove:
		// Guard: a move ends the session on both sides. The module hears of the
		// end after its present actions.
		if s != nil && s.playing {
			b.notifyEnded(s, Reply{Kind: ReplyMoved, ID: s.ID})
			b.nodes.Release(s.server, s.ID, CauseCancelled)
			b.Report(Report{Kind: ReportEnded, Server: s.server, ID: s.ID, AttemptNumber: s.attemptNumber,
				Status: control.Cancelled, Cause: CauseCancelled})
		}
	case control.ActionRemark:
		b.log.Info("module", zap.String("remark", action.Text))
	}
}

// runTimers runs the timers that are due.
func (b *Broker) runTimers() {
	for {
		t, ok := b.timers.pop(b.clock.now())
		if !ok {
			return
		}
		s := b.sessions[t.session]
		switch t.kind {
		case timerWake:
			b.dispatch(control.Event{Kind: control.EventTimer, Token: t.token})
		case timerAttempt:
			if s != nil && s.inFlight && s.attemptNumber == int(t.token) {
				b.nodes.Abandon(s.server, s.ID, s.attemptNumber, true)
			}
		case timerDeadline:
			b.answerOverdue(t.session)
		case timerGrace:
			if s != nil && s.client == nil && s.disconnects == t.token {
				b.abandonSession(s)
			}
		case timerRecheck:
			b.recheckClient(t.session)
		case timerPlanner:
			b.tickPlanner(int(t.token))
		case timerForgetReply:
			delete(b.endedReplies, t.session)
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
