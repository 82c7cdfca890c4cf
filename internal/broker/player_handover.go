package broker

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

const (
	// playerHandoverInterval is the time between two handovers of players' sessions while a
	// process drains for a successor, if they have changed.
	playerHandoverInterval = 50 * time.Millisecond
	// MaxPlayerHandoverBytes bounds the players' sessions that are handed over, by estimate.
	MaxPlayerHandoverBytes = 6 << 20
	// PlayerSessionBytes is the estimated size of a PlayerSession without its descriptions.
	PlayerSessionBytes = 200
)

// PlayerSession is a session of a player that may reconnect, as a process hands it over to its
// successor. It is stored in a file: the numbers and types of the fields must not change.
type PlayerSession struct {
	ID              control.SessionID `cbor:"1,keyasint"`
	SetUp           PlayerSetUp       `cbor:"2,keyasint"`
	State           PlayerState       `cbor:"3,keyasint"`
	Server          control.ServerID  `cbor:"4,keyasint"`
	Rung            int               `cbor:"5,keyasint"`
	EstablishedAtNS int64             `cbor:"6,keyasint"` // Unix time in ns; 0: unknown
	Reply           StoredReply       `cbor:"7,keyasint"` // the final reply, if State is not PlayerInFlight
}

// PlayerState is the state of a PlayerSession.
type PlayerState uint8

// States of a PlayerSession. They are stored in files: the numbers must not change.
const (
	PlayerInFlight    PlayerState = iota + 1 // its set-up is not answered yet
	PlayerEstablished                        // it is established
	PlayerOver                               // it was refused, has failed or has ended
)

// PlayerHandover is what a process that drains hands over to its successor about players that
// may reconnect. Each replaces the one before. The successor acts on the final one, or if the
// process ends without it on the last.
type PlayerHandover struct {
	Sessions []PlayerSession `cbor:"1,keyasint"`
	Final    bool            `cbor:"2,keyasint"`
}

// playerSession returns s as it is handed over.
func (b *Broker) playerSession(s *session) PlayerSession {
	p := PlayerSession{ID: s.ID, SetUp: *newPlayerSetUp(&s.Request), State: PlayerInFlight, Server: s.server, Rung: s.rung}
	if s.answered {
		p.Reply, p.State = *newStoredReply(s.finalReply), PlayerOver
	}
	if s.playing {
		p.State = PlayerEstablished
	}
	if !s.establishedAt.IsZero() {
		p.EstablishedAtNS = s.establishedAt.UnixNano()
	}
	return p
}

// buildPlayerHandover returns the sessions and kept replies of players that may reconnect:
// established sessions first, kept replies last, and no more than a file holds.
func (b *Broker) buildPlayerHandover(final bool) PlayerHandover {
	result := PlayerHandover{Final: final}
	for _, s := range b.sessions {
		if s.Grace > 0 {
			result.Sessions = append(result.Sessions, b.playerSession(s))
		}
	}
	slices.SortFunc(result.Sessions, func(x, y PlayerSession) int {
		return playerPriority(x.State) - playerPriority(y.State)
	})
	for id, kept := range b.endedReplies {
		result.Sessions = append(result.Sessions, PlayerSession{ID: id, State: PlayerOver, Reply: *newStoredReply(kept)})
	}
	size := 0
	for i := range result.Sessions {
		p := &result.Sessions[i]
		size += PlayerSessionBytes + len(p.SetUp.Key) + len(p.SetUp.Description) + len(p.Reply.Reason) + len(p.Reply.Description)
		if size > MaxPlayerHandoverBytes {
			b.log.Warn("not all sessions of players are handed over", zap.Int("of", len(result.Sessions)), zap.Int("handed over", i))
			result.Sessions = result.Sessions[:i]
			break
		}
	}
	return result
}

// playerPriority orders states: what must be handed over first comes first.
func playerPriority(state PlayerState) int {
	switch state {
	case PlayerEstablished:
		return 0
	case PlayerInFlight:
		return 1
	}
	return 2
}

// sendPlayerHandover hands players' sessions over while the process drains, so that the
// successor knows them if the process is killed.
func (b *Broker) sendPlayerHandover() {
	if b.leftToSuccessor || !b.handsPlayersOver {
		return
	}
	b.timers.add(b.clock.now().Add(playerHandoverInterval), timerPlayerHandover, 0, 0)
	if b.sendPlayers != nil && b.playersChanged {
		b.playersChanged = false
		b.sendPlayers(b.buildPlayerHandover(false))
	}
}

// finishPlayerHandover builds the final PlayerHandover. From now on the successor answers for
// the players' sessions in it.
func (b *Broker) finishPlayerHandover() {
	b.finalPlayers = b.buildPlayerHandover(true)
	b.leftToSuccessor = true
	b.playersHandedOver = make(map[control.SessionID]bool, len(b.finalPlayers.Sessions))
	for i := range b.finalPlayers.Sessions {
		b.playersHandedOver[b.finalPlayers.Sessions[i].ID] = true
	}
}

// FinalPlayerHandover returns the last PlayerHandover, made at the end of the drain, and whether
// there is one. It may be called once the channel of Drained is closed.
func (b *Broker) FinalPlayerHandover() (PlayerHandover, bool) {
	return b.finalPlayers, b.handsPlayersOver
}

// AdoptPlayers queues what a predecessor hands over about players.
func (b *Broker) AdoptPlayers(from PeerID, h PlayerHandover) {
	b.inbox.Force(playerAdoption{from, h})
}

// playerAdoption is the message of Broker.AdoptPlayers.
type playerAdoption struct {
	from PeerID
	PlayerHandover
}

func (b *Broker) handlePlayerAdoption(m playerAdoption) {
	if !m.Final {
		b.playersOf[m.from] = &m.PlayerHandover
		return
	}
	b.adoptPlayers(m.from, &m.PlayerHandover)
	delete(b.playersOf, m.from)
	b.peersLeaving[m.from] = true
	b.releaseClaimsOn(m.from)
}

// adoptPlayers takes over the players' sessions of a process that has handed over for the last
// time or has ended.
func (b *Broker) adoptPlayers(from PeerID, h *PlayerHandover) {
	adopted := 0
	for _, p := range h.Sessions {
		if p.State == PlayerEstablished && b.adoptPlayer(p) {
			adopted++
			continue
		}
		b.adoptReply(p)
	}
	b.log.Info("players' sessions taken over", zap.Int64("process", int64(from)), zap.Int("established", adopted),
		zap.Int("all", len(h.Sessions)), zap.Bool("last", h.Final))
}

// adoptPlayer takes over an established session. Its player is here already, or has its grace
// from now on. It returns false if the session can't be taken over.
func (b *Broker) adoptPlayer(p PlayerSession) bool {
	if own := b.sessions[p.ID]; own != nil && own.server != p.Server && !b.adoptedIDs[p.ID] && b.nodes.AddEstablished(p.Server, p.ID) {
		// A session that may be set up again was, since the claim of it went unanswered.
		b.nodes.Release(p.Server, p.ID, CauseEnded)
	}
	if b.sessions[p.ID] != nil || b.adoptedIDs[p.ID] || p.SetUp.Class < 0 || p.SetUp.Class >= len(b.settings.Classes) || !b.nodes.AddEstablished(p.Server, p.ID) {
		return false
	}
	b.rememberAdopted(p.ID)
	if _, over := b.endedReplies[p.ID]; over || b.endedElsewhere[p.ID] { // its player has ended it here meanwhile
		b.nodes.Release(p.Server, p.ID, CauseEnded)
		return true
	}
	s := &session{Request: p.SetUp.request(p.ID, nil), server: p.Server, attemptNumber: 1, rung: p.Rung,
		playing: true, answered: true, finalReply: p.Reply.reply(p.ID)}
	if now := b.clock.now(); p.EstablishedAtNS > 0 {
		s.establishedAt = now.Add(-max(time.Duration(now.UnixNano()-p.EstablishedAtNS), 0))
	}
	b.sessions[p.ID] = s
	b.dispatch(control.Event{Kind: control.EventEstablished, Session: p.ID, Class: s.Class, Tenant: s.Team, Title: s.Title,
		HomeCell: s.Home, Copies: s.Copies, MaxRung: s.MaxRung, Server: p.Server, Rung: p.Rung})
	c := b.claims[p.ID]
	if c == nil || c.client == nil {
		b.loseClient(s)
	} else {
		s.client, s.requestedAt = c.client, c.ReceivedAt
		b.answerClaim(c, s.finalReply)
	}
	if c != nil {
		b.removeClaim(c)
	}
	return true
}

// adoptReply takes over the final reply of a session. A paid set-up that the process left
// unanswered may have run, so it has failed. An established session that can't be taken over,
// such as one on a node that is not on the list, is over: it is not set up again.
func (b *Broker) adoptReply(p PlayerSession) {
	reply := p.Reply.reply(p.ID)
	_, answeredHere := b.endedReplies[p.ID]
	switch {
	case b.sessions[p.ID] != nil || b.adoptedIDs[p.ID] || answeredHere:
		return
	case p.State == PlayerEstablished:
		reply = Reply{Kind: ReplyEnded, ID: p.ID, Cause: CauseInterrupted}
	case p.State == PlayerInFlight:
		if class := p.SetUp.Class; class < 0 || class >= len(b.settings.Classes) || b.settings.Classes[class].RepeatEffect == control.Idempotent {
			return
		}
		reply = Reply{Kind: ReplyFailed, ID: p.ID, Cause: CauseFailed}
	}
	if c := b.claims[p.ID]; c != nil {
		if c.client != nil {
			b.deliverClaimed(c, reply, nil)
			return
		}
		b.removeClaim(c)
	}
	b.keepReply(p.ID, reply)
}

// rememberAdopted records that a session was taken over.
//
// Guard: IDs of adopted sessions are never forgotten: otherwise a session that has ended
// here would be adopted again if a later Handover, perhaps of another predecessor, still
// lists it.
func (b *Broker) rememberAdopted(id control.SessionID) {
	if b.adoptedIDs == nil {
		b.adoptedIDs = make(map[control.SessionID]bool)
	}
	b.adoptedIDs[id] = true
}
