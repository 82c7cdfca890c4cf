package jsonl

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
)

const (
	// keepEnd is how long the end of a session is brought to its viewer.
	keepEnd = 8 * time.Second
	// hearTime is how long one that was sent counts as unheard until its viewer says
	// that it heard it. Viewers need not say so.
	hearTime = 2 * time.Second
)

// end is the end of a session that stood. No connection owns it: it goes on that of
// the set-up, else on any open one, else on the next that opens.
//
// Guard: what is written on a connection that breaks at that moment is lost, though
// the write went well. So an end that its viewer has not said to have heard by the
// time its connection ends goes again on another one. A viewer who has heard it
// knows no session of that name any more.
type end struct {
	reply broker.Reply
	host  string // of its set-up
	until time.Time
	sent  time.Time // the zero time: not yet
}

// sendEnd sends e on c and keeps it until it is heard. False: c can't carry it.
func (c *conn) sendEnd(e end) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left || !c.send(e.reply) {
		return false
	}
	e.sent = time.Now()
	old := 0
	for old < len(c.ends) && e.sent.Sub(c.ends[old].sent) > hearTime {
		old++
	}
	c.ends = append(slices.Delete(c.ends, 0, old), e)
	return true
}

// heard takes a viewer's word that it heard the end of a session.
func (c *conn) heard(id control.SessionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(c.ends, func(e end) bool { return e.reply.ID == id }); i >= 0 {
		c.ends = slices.Delete(c.ends, i, i+1)
	}
}

// leave has no more ends go on c, and returns those that may not have been heard.
func (c *conn) leave() []end {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	now := time.Now()
	return slices.DeleteFunc(c.ends, func(e end) bool { return now.Sub(e.sent) > hearTime || now.After(e.until) })
}

// sendAgain sends ends that may not have been heard.
func (f *Front) sendAgain(unheard []end) {
	for _, e := range unheard {
		f.Log.Info("end of a session goes again", zap.Uint64("session", uint64(e.reply.ID)), zap.String("host", e.host))
		f.sendEnd(e)
	}
}

// sendEnd sends an end on any connection, or has it wait for one.
func (f *Front) sendEnd(e end) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, same := range []bool{true, false} { // its viewer's own ones first, the youngest first
		for _, o := range slices.Backward(f.conns) {
			if (o.Host == e.host) == same && o.carries(e.host) && o.sendEnd(e) {
				return
			}
		}
	}
	now := time.Now()
	f.unsent = slices.DeleteFunc(f.unsent, func(u end) bool { return now.After(u.until) })
	f.unsent = append(f.unsent, e)
	// Rare, and the one way an end reaches its viewer late: worth a line.
	f.Log.Info("end of a session waits for a connection", zap.Uint64("session", uint64(e.reply.ID)), zap.String("host", e.host))
}

// flush sends c the ends that found no connection and that it may carry. f.mu is
// held.
func (f *Front) flush(c *conn) {
	now := time.Now()
	f.unsent = slices.DeleteFunc(f.unsent, func(e end) bool {
		sent := !now.After(e.until) && c.carries(e.host) && c.sendEnd(e)
		if sent {
			f.Log.Info("end of a session sent late", zap.Uint64("session", uint64(e.reply.ID)),
				zap.Duration("after", keepEnd-e.until.Sub(now)))
		}
		return sent || now.After(e.until)
	})
}

// Viewer returns a client that only carries ends of sessions, to a viewer at a host whose
// connections an older process of this manager has.
func (f *Front) Viewer(host string) broker.Client { return viewer{f, host} }

type viewer struct {
	front *Front
	host  string
}

// From tells where the viewer is.
func (v viewer) From() string { return v.host }

// Gone is part of broker.Client: nothing is begun for it anyway.
func (v viewer) Gone(control.SessionID) bool { return false }

func (v viewer) Deliver(r broker.Reply) bool {
	if r.Kind == broker.Over || r.Kind == broker.Moved {
		v.front.sendEnd(end{reply: r, host: v.host, until: time.Now().Add(keepEnd)})
	}
	return true
}
