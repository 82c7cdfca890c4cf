package broker

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// EstablishedSession is an established session as a process hands it over to its
// successor. It is stored in a file: the numbers and types of the fields must not change.
type EstablishedSession struct {
	ID              control.SessionID `cbor:"1,keyasint"`
	Class           int               `cbor:"2,keyasint"`
	Team            int               `cbor:"3,keyasint"`
	Key             string            `cbor:"4,keyasint"`
	Title           uint64            `cbor:"5,keyasint"`
	Home            int               `cbor:"6,keyasint"`
	Copies          int               `cbor:"7,keyasint"`
	MaxRung         float64           `cbor:"8,keyasint"`
	Server          control.ServerID  `cbor:"9,keyasint"`
	Rung            int               `cbor:"10,keyasint"`
	EstablishedAtNS int64             `cbor:"11,keyasint"` // Unix time in ns; 0: unknown
	ViewerHost      string            `cbor:"12,keyasint"` // host of the viewer
}

// Handover is what a process hands over to its successor. A process that drains for a
// successor sends two: the first at the start of the drain, with the sessions that are
// established then, and the last at the end, with the sessions that are established then
// and, in Ended, those that have ended since the first.
type Handover struct {
	Sessions []EstablishedSession      `cbor:"1,keyasint"`
	Ended    map[control.SessionID]int `cbor:"2,keyasint"` // causes of the ends of sessions that have ended since the first Handover; nil in the first
	Final    bool                      `cbor:"3,keyasint"` // the last Handover before the process ends
}

// hostedClient is a Client that knows its viewer's host.
type hostedClient interface{ From() string }

// FinalHandover returns the last Handover, made at the end of the drain. It may be called
// once the channel of Drained is closed.
func (b *Broker) FinalHandover() Handover { return b.finalHandover }

// buildHandover returns a Handover with the sessions that are established now, but for those
// whose player may reconnect (Grace over 0): they are in a PlayerHandover.
func (b *Broker) buildHandover(final bool) Handover {
	result := Handover{Ended: maps.Clone(b.endedSinceHandover), Final: final}
	for _, s := range b.sessions {
		h, ok := s.client.(hostedClient)
		if !s.playing || !ok || s.Grace > 0 {
			continue
		}
		e := EstablishedSession{s.ID, s.Class, s.Team, s.Key, s.Title, s.Home, s.Copies, s.MaxRung, s.server, s.rung, 0, h.From()}
		if !s.establishedAt.IsZero() {
			e.EstablishedAtNS = s.establishedAt.UnixNano()
		}
		result.Sessions = append(result.Sessions, e)
	}
	slices.SortFunc(result.Sessions, func(a, b EstablishedSession) int { return int(min(max(a.EstablishedAtNS-b.EstablishedAtNS, -1), 1)) })
	return result
}

// Adopt takes over the sessions of a predecessor. clientFor returns the Client that
// delivers the end of a session to a viewer at a host.
func (b *Broker) Adopt(h Handover, clientFor func(host string) Client) {
	b.inbox.Force(adoption{h, clientFor})
}

// adoption is the message of Broker.Adopt.
type adoption struct {
	Handover
	clientFor func(string) Client
}

func (b *Broker) handleAdoption(m adoption) {
	now, added := b.clock.now(), 0
	for _, e := range m.Sessions {
		if b.sessions[e.ID] != nil || b.adoptedIDs[e.ID] || e.Class < 0 || e.Class >= len(b.settings.Classes) || !b.nodes.AddEstablished(e.Server, e.ID) {
			continue
		}
		s := &session{
			Request: Request{ID: e.ID, Class: e.Class, Team: e.Team, Key: e.Key, Title: e.Title,
				Home: e.Home, Copies: e.Copies, MaxRung: e.MaxRung, PlayingOn: e.Server},
			client: m.clientFor(e.ViewerHost), server: e.Server, attemptNumber: 1, rung: e.Rung,
			playing: true, answered: true, unclaimed: true, finalReply: Reply{Kind: ReplyFailed, ID: e.ID, Cause: CauseFailed},
		}
		if e.EstablishedAtNS > 0 {
			s.establishedAt = now.Add(-max(time.Duration(now.UnixNano()-e.EstablishedAtNS), 0))
		}
		b.sessions[e.ID] = s
		b.rememberAdopted(e.ID)
		b.dispatch(control.Event{Kind: control.EventEstablished, Session: e.ID, Class: e.Class, Tenant: e.Team, Title: e.Title,
			HomeCell: e.Home, Copies: e.Copies, MaxRung: e.MaxRung, Server: e.Server, Rung: e.Rung})
		added++
	}
	for id, cause := range m.Ended {
		if s := b.sessions[id]; s != nil && s.unclaimed {
			// The predecessor may have told the viewer already, who then ignores this reply.
			b.nodes.Release(s.server, id, CauseEnded)
			b.notifyEnded(s, Reply{Kind: ReplyEnded, ID: id, Cause: cause})
			b.endSession(s, Report{Status: control.Cancelled})
		}
	}
	b.log.Info("sessions taken over", zap.Int("sessions", added), zap.Int("over", len(m.Ended)), zap.Bool("last", m.Final))
}

// startHandover sends the first Handover, if there is a function to send it, and has
// sessions that end from now on recorded for the last one.
func (b *Broker) startHandover() {
	b.hasSuccessor = true
	if b.sendHandover == nil {
		return
	}
	h := b.buildHandover(false)
	b.endedSinceHandover = make(map[control.SessionID]int)
	b.sendHandover(h)
}
