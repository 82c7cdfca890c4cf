// Package broker is the core of the session manager. It handles requests, attempts and
// outcomes, and is independent of wire formats: fronts submit requests and deliver its
// replies; media nodes run its attempts and report their outcomes.
//
// A single actor goroutine owns the state of all sessions and is the only caller of the
// decision module, package control. It never blocks on a front or a node.
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
	// inboxPerMB limits the messages of fronts that wait in the broker's mailbox, for each
	// MB of memory. A message holds up to 16 KiB, so that all of them take up to a quarter
	// of the memory.
	inboxPerMB = 16
	// answerMargin is the time before a viewer's deadline that is left for the answer to
	// reach the viewer.
	answerMargin = 100 * time.Millisecond
	// overdueMargin is the time before a viewer's deadline at which the broker answers a
	// request that the decision module has not decided.
	overdueMargin = 50 * time.Millisecond
	// maxEndedReplies limits the number of final replies kept for those who ask again.
	maxEndedReplies = 1 << 16
	// endedReplyRetention is how long such a reply is kept.
	endedReplyRetention = 30 * time.Second
)

// Config configures a Broker.
type Config struct {
	Settings     control.Settings
	Seed         uint64
	MemoryMB     int
	Drain        DrainTimes
	Teams        []Team
	Peaks        PeakConfig
	Sites        SiteConfig
	Nodes        Nodes
	Counters     *Counters            // nil: outcomes are not counted
	SendHandover func(Handover)       // sends the first Handover to a successor (the last: Broker.FinalHandover); must not block; nil: there are no successors
	Peers        Peers                // other processes of this manager; nil: there are none that know of players
	SendPlayers  func(PlayerHandover) // sends a PlayerHandover to a successor before the last one (Broker.FinalPlayerHandover); must not block; nil: there are no successors
	Log          *zap.Logger
}

// DrainTimes holds how long a Broker goes on after Drain, counted from its call.
type DrainTimes struct {
	AcceptFor time.Duration // how long new requests are still accepted
	KeepFor   time.Duration // how long established sessions are kept
}

// Broker is the actor that owns all sessions and drives the decision module.
type Broker struct {
	settings           control.Settings
	controller         *control.Controller
	nodes              Nodes
	log                *zap.Logger
	clock              clock
	inbox              *mailbox.Box[any]
	sessions           map[control.SessionID]*session
	endedReplies       map[control.SessionID]Reply // final replies kept for players that reconnect, and for set-ups that must not run twice
	openSetUps         map[control.SessionID]bool  // set-ups that are not answered yet
	timers             timerHeap
	ledgers            []teamLedger
	planners           []Planner // these observe the broker and plan beside the decision module
	drained            chan struct{}
	drainTimes         DrainTimes
	counters           *Counters
	drainStart         time.Time // when the drain was requested; zero: not draining
	hasSuccessor       bool      // a successor takes the established sessions over
	sendHandover       func(Handover)
	finalHandover      Handover                   // valid once drained is closed
	adoptedIDs         map[control.SessionID]bool // sessions adopted from predecessors, also those that have ended since
	endedSinceHandover map[control.SessionID]int  // causes of the ends of sessions that have ended since the first Handover; nil: none was sent

	peers             Peers
	peersAlive        []PeerID
	peersLeaving      map[PeerID]bool            // those that have handed over for the last time
	playersOf         map[PeerID]*PlayerHandover // what a process hands over if it ends without a final one
	claims            map[control.SessionID]*claim
	claimCount        uint64
	endedElsewhere    map[control.SessionID]bool // sessions unknown here that a viewer has ended here
	sendPlayers       func(PlayerHandover)
	handsPlayersOver  bool                       // a successor takes over the sessions of players that may reconnect
	playersChanged    bool                       // such sessions have changed since the last PlayerHandover
	leftToSuccessor   bool                       // the final PlayerHandover is made
	finalPlayers      PlayerHandover             // valid once drained is closed
	playersHandedOver map[control.SessionID]bool // the sessions in it
}

// New returns a Broker, which handles nothing until Run is called.
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
		inbox:          mailbox.New[any](max(cfg.MemoryMB, 1) * inboxPerMB),
		sessions:       make(map[control.SessionID]*session),
		endedReplies:   make(map[control.SessionID]Reply),
		openSetUps:     make(map[control.SessionID]bool),
		ledgers:        newLedgers(cfg.Teams, len(cfg.Settings.TenantQuotas)),
		drained:        make(chan struct{}),
		drainTimes:     cfg.Drain,
		counters:       cfg.Counters,
		sendHandover:   cfg.SendHandover,
		sendPlayers:    cfg.SendPlayers,
		peers:          cfg.Peers,
		peersLeaving:   make(map[PeerID]bool),
		playersOf:      make(map[PeerID]*PlayerHandover),
		claims:         make(map[control.SessionID]*claim),
		endedElsewhere: make(map[control.SessionID]bool),
		planners:       newPlanners(&cfg, settings.Managers, cfg.Log),
	}
	for i := range b.planners {
		b.timers.add(b.clock.now(), timerPlanner, 0, uint32(i))
	}
	return b, nil
}

// Submit queues a request. It returns false if the mailbox is full.
func (b *Broker) Submit(r Request) bool { return b.inbox.Put(r) }

// End queues a viewer's cancellation or release. It returns false if the mailbox is full.
func (b *Broker) End(e ViewerEnd) bool { return b.inbox.Put(e) }

// Lost reports to the broker that a client's connection is closed.
func (b *Broker) Lost(c Client) { b.inbox.Force(connectionLost{c}) }

// Report queues a report of a media node. The number of reports is bounded by the number
// of attempts, probes and notes, so none is dropped.
func (b *Broker) Report(r Report) { b.inbox.Force(r) }

// UpdateList queues a change to the list of media nodes.
func (b *Broker) UpdateList(l ListUpdate) { b.inbox.Force(l) }

// Drain starts the drain: the broker accepts requests for DrainTimes.AcceptFor, answers
// all that it accepted, keeps established sessions for DrainTimes.KeepFor, and then closes
// the channel that Drained returns.
func (b *Broker) Drain() { b.inbox.Force(drainRequest{}) }

// DrainForSuccessor is Drain where a successor takes over. Established sessions are left
// to the successor, so that the broker need not wait for DrainTimes.KeepFor. withPlayers: also
// those of players that may reconnect.
func (b *Broker) DrainForSuccessor(withPlayers bool) {
	b.inbox.Force(drainRequest{forSuccessor: true, withPlayers: withPlayers})
}

// Drained returns a channel that is closed once the drain has ended: its time is over and
// all requests accepted before and during it are answered.
func (b *Broker) Drained() <-chan struct{} { return b.drained }

// Messages to the actor, besides the exported types.
type (
	connectionLost struct{ client Client }
	drainRequest   struct{ forSuccessor, withPlayers bool }
)

// Run handles messages and timers until ctx is done.
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
				b.startHandover()
				b.handsPlayersOver, b.playersChanged = m.withPlayers, true
				b.sendPlayerHandover()
			}
			b.timers.add(b.drainStart.Add(b.minDrainTime()), timerDrain, 0, 0)
		}
	case adoption:
		b.handleAdoption(m)
	case playerAdoption:
		b.handlePlayerAdoption(m)
	case peerMessage:
		b.handlePeerMessage(m)
	case peersUpdate:
		b.handlePeersUpdate(m.alive)
	case statsRequest:
		m.result <- b.collectStats()
	}
}

// checkDrained ends the drain once its time is over and no set-up is open.
func (b *Broker) checkDrained() {
	if b.drainStart.IsZero() || b.clock.now().Before(b.drainStart.Add(b.minDrainTime())) || len(b.openSetUps) > 0 {
		return
	}
	select {
	case <-b.drained:
	default:
		if b.hasSuccessor {
			b.finalHandover = b.buildHandover(true)
		}
		if b.handsPlayersOver {
			b.finishPlayerHandover()
		}
		b.endEstablished()
		close(b.drained)
	}
}

// minDrainTime is how long the drain lasts at least.
func (b *Broker) minDrainTime() time.Duration {
	if b.hasSuccessor {
		return b.drainTimes.AcceptFor
	}
	return b.drainTimes.KeepFor
}

// refusesNew reports whether the drain has gone on for too long to accept a new request.
func (b *Broker) refusesNew() bool {
	return !b.drainStart.IsZero() && !b.clock.now().Before(b.drainStart.Add(b.drainTimes.AcceptFor))
}

// endEstablished ends the established sessions that are not handed over, at the viewer and
// at the node, before the program exits.
func (b *Broker) endEstablished() {
	for id, s := range b.sessions {
		if _, ok := s.client.(hostedClient); ok && b.hasSuccessor && s.Grace == 0 {
			continue // handed over
		}
		if b.playersHandedOver[id] {
			continue
		}
		if s.playing {
			b.notifyEnded(s, Reply{Kind: ReplyEnded, ID: id, Cause: CauseInterrupted}) // client may be nil: the player's connection is lost
			b.nodes.Release(s.server, id, CauseInterrupted)
		}
	}
}

// dispatch passes an event to the decision module and executes the resulting actions.
func (b *Broker) dispatch(event control.Event) {
	now := b.clock.now()
	for _, action := range b.controller.Handle(unixSeconds(now), event) {
		b.execute(now, action)
	}
}

// execute executes an action of the decision module.
func (b *Broker) execute(now time.Time, action control.Action) {
	s := b.sessions[action.Session]
	switch action.Kind {
	case control.ActionSetUp:
		b.startAttempt(now, s, action)
	case control.ActionSetRung:
		if s != nil {
			// Guard: no session plays on a rung below its class's floor, whatever the
			// decision module says.
			s.rung = max(action.Rung, b.settings.Classes[s.Class].FloorRung)
			if s.inFlight || s.playing && !b.hasSuccessor { // the successor controls sessions that were handed over
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
		// Guard: a move ends the session at the viewer and at the node. The end is
		// queued as a report, so that the decision module learns of it after the
		// actions that it has already returned.
		if s != nil && s.playing {
			b.notifyEnded(s, Reply{Kind: ReplyMoved, ID: s.ID})
			b.nodes.Release(s.server, s.ID, CauseCancelled)
			b.Report(Report{Kind: ReportEnded, Server: s.server, ID: s.ID, AttemptNumber: s.attemptNumber,
				Status: control.Cancelled, Cause: CauseCancelled})
		}
	case control.ActionRemark:
		b.log.Info("decision module", zap.String("remark", action.Text))
	}
}

// runTimers handles the timers that are due.
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
			if s != nil && s.client == nil && s.disconnects == t.token && !b.playersHandedOver[t.session] {
				b.abandonSession(s)
			}
		case timerRecheck:
			b.recheckClient(t.session)
		case timerPlanner:
			b.tickPlanner(int(t.token))
		case timerForgetReply:
			delete(b.endedReplies, t.session)
			delete(b.endedElsewhere, t.session)
		case timerClaim:
			if c := b.claims[t.session]; c != nil {
				b.giveUpAwaiting(c)
			}
		case timerPlayerHandover:
			b.sendPlayerHandover()
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
