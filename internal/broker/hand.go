package broker

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
)

// Standing is a session that plays, as one process of a manager hands it to the next. It
// goes into a file: each field keeps its number.
type Standing struct {
	ID      control.SessionID `cbor:"1,keyasint"`
	Class   int               `cbor:"2,keyasint"`
	Team    int               `cbor:"3,keyasint"`
	Key     string            `cbor:"4,keyasint"`
	Title   uint64            `cbor:"5,keyasint"`
	Home    int               `cbor:"6,keyasint"`
	Span    int               `cbor:"7,keyasint"`
	MaxRung float64           `cbor:"8,keyasint"`
	Server  control.ServerID  `cbor:"9,keyasint"`
	Rung    int               `cbor:"10,keyasint"`
	Since   int64             `cbor:"11,keyasint"` // Unix time in ns; 0: not known
	Host    string            `cbor:"12,keyasint"` // where its viewer is
}

// Handover is all that a process that leaves hands over.
type Handover struct {
	Standing []Standing                `cbor:"1,keyasint"`
	Over     map[control.SessionID]int `cbor:"2,keyasint"` // of what was handed over before: the cause by which it has ended
	Last     bool                      `cbor:"3,keyasint"` // the process ends with this
}

// hosted is a client that knows where its viewer is.
type hosted interface{ From() string }

// Handover is what stands at the end. It is for after Drained.
func (b *Broker) Handover() Handover { return b.final }

// handover is what stands now. Guard: a player who may come back to its session is not
// handed over, since the socket's own state isn't: its session is ended as at any stop.
func (b *Broker) handover(last bool) Handover {
	e := Handover{Over: maps.Clone(b.handed), Last: last}
	for _, s := range b.sessions {
		h, ok := s.client.(hosted)
		if !s.playing || !ok || s.Grace > 0 {
			continue
		}
		st := Standing{s.ID, s.Class, s.Team, s.Key, s.Title, s.Home, s.Span, s.MaxRung, s.server, s.rung, 0, h.From()}
		if !s.stood.IsZero() {
			st.Since = s.stood.UnixNano()
		}
		e.Standing = append(e.Standing, st)
	}
	slices.SortFunc(e.Standing, func(a, b Standing) int { return int(min(max(a.Since-b.Since, -1), 1)) })
	return e
}

// Adopt takes what an older process of this manager hands over. client carries the ends
// to a viewer at a host.
func (b *Broker) Adopt(e Handover, client func(host string) Client) { b.inbox.Force(adopt{e, client}) }

type adopt struct {
	Handover
	client func(string) Client
}

func (b *Broker) adopt(a adopt) {
	now, taken := b.clock.now(), 0
	// Guard: what was taken is noted for good. Another process's last word may name it when
	// it has ended here.
	if b.taken == nil {
		b.taken = make(map[control.SessionID]bool)
	}
	for _, st := range a.Standing {
		if b.sessions[st.ID] != nil || b.taken[st.ID] || st.Class < 0 || st.Class >= len(b.set.Classes) || !b.nodes.Stands(st.Server, st.ID) {
			continue
		}
		s := &session{
			Request: Request{ID: st.ID, Class: st.Class, Team: st.Team, Key: st.Key, Title: st.Title,
				Home: st.Home, Span: st.Span, MaxRung: st.MaxRung, Playing: st.Server},
			client: a.client(st.Host), server: st.Server, attempt: 1, rung: st.Rung,
			playing: true, answered: true, adopted: true, reply: Reply{Kind: Failed, ID: st.ID, Cause: CauseFailed},
		}
		if st.Since > 0 {
			s.stood = now.Add(-max(time.Duration(now.UnixNano()-st.Since), 0))
		}
		b.sessions[st.ID], b.taken[st.ID] = s, true
		b.tell(control.Event{Kind: control.EventEstablished, Session: st.ID, Class: st.Class, Tenant: st.Team, Title: st.Title,
			HomeCell: st.Home, Copies: st.Span, MaxRung: st.MaxRung, Server: st.Server, Rung: st.Rung})
		taken++
	}
	for id, cause := range a.Over {
		if s := b.sessions[id]; s != nil && s.adopted {
			// The older process may have told its viewer, who then takes no notice.
			b.nodes.Release(s.server, id, CauseEnded)
			b.toldOver(s, Reply{Kind: Over, ID: id, Cause: cause})
			b.over(s, Report{Status: control.Cancelled})
		}
	}
	b.log.Info("sessions taken over", zap.Int("sessions", taken), zap.Int("over", len(a.Over)), zap.Bool("last", a.Last))
}

// leave hands over what stands, and from then on notes what of it ends.
func (b *Broker) leave() {
	b.leaving = true
	if b.hand == nil {
		return
	}
	e := b.handover(false)
	b.handed = make(map[control.SessionID]int)
	b.hand(e)
}
