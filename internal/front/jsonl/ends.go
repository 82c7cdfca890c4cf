package jsonl

import (
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
)

// keepEnd is how long the end of a session is brought to its viewer.
const keepEnd = 8 * time.Second

// end is the end of a session that stood. No connection owns it: it goes on that of
// the set-up, else on any open one, else on the next that opens.
//
// Guard: what is written on a connection that breaks at that moment is lost, though
// the write went well. So an end that its viewer has not said to have heard by the
// time its connection ends goes again on another one. Viewers need not say so; one who
// has heard it knows no session of that name any more.
type end struct {
	reply broker.Reply
	host  string // of its set-up
	until time.Time
	heard atomic.Bool
}

// done tells whether e goes on no connection any more.
func (e *end) done(now time.Time) bool { return e.heard.Load() || now.After(e.until) }

// sendEnd sends e on c and keeps it until it is heard. False: c can't carry it.
func (c *conn) sendEnd(e *end) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.ends, e) {
		return true
	}
	if c.left || !c.send(e.reply) {
		return false
	}
	now, old := time.Now(), 0
	for old < len(c.ends) && c.ends[old].done(now) {
		old++
	}
	c.ends = append(slices.Delete(c.ends, 0, old), e)
	return true
}

// heard takes a viewer's word that it heard the end of a session.
func (c *conn) heard(id control.SessionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(c.ends, func(e *end) bool { return e.reply.ID == id }); i >= 0 {
		c.ends[i].heard.Store(true)
		c.ends = slices.Delete(c.ends, i, i+1)
	}
}

// leave has no more ends go on c, and returns those that may not have been heard.
func (c *conn) leave() []*end {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	now := time.Now()
	return slices.DeleteFunc(c.ends, func(e *end) bool { return e.done(now) })
}

// sendAgain sends ends that may not have been heard.
func (f *Front) sendAgain(unheard []*end) {
	for _, e := range unheard {
		f.Log.Info("end of a session goes again", zap.Uint64("session", uint64(e.reply.ID)), zap.String("host", e.host))
		f.sendEnd(e)
	}
}

// sendEnd sends an end that has no connection of its own any more on those that may be
// its viewer's, or has it wait for one.
//
// Guard: whoever has had no session may be anybody, also at the viewer's host, and takes
// no notice. It is told, since it may be the viewer come back, and does not count.
func (f *Front) sendEnd(e *end) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, strangers := false, 0
	for _, o := range f.conns {
		switch {
		case o.Host != e.host || !o.sendEnd(e):
		case o.Known():
			sent = true
		default:
			strangers++
		}
	}
	if strangers > 0 { // rare as well, and once the way in which ends were lost
		f.Log.Info("end of a session told to strangers too", zap.Uint64("session", uint64(e.reply.ID)),
			zap.String("host", e.host), zap.Int("strangers", strangers), zap.Bool("known", sent))
	}
	for _, o := range slices.Backward(f.conns) { // the youngest first
		if sent {
			return
		}
		sent = o.Known() && o.sendEnd(e)
	}
	if sent {
		return
	}
	now := time.Now()
	f.unsent = slices.DeleteFunc(f.unsent, func(u *end) bool { return u.done(now) })
	f.unsent = append(f.unsent, e)
	// Rare, and the one way an end reaches its viewer late: worth a line.
	f.Log.Info("end of a session waits for a connection", zap.Uint64("session", uint64(e.reply.ID)), zap.String("host", e.host))
}

// flush sends c the ends that found no connection and that it may carry. f.mu is
// held.
func (f *Front) flush(c *conn) {
	now := time.Now()
	f.unsent = slices.DeleteFunc(f.unsent, func(e *end) bool {
		if e.done(now) {
			return true
		}
		if !c.carries(e.host) || !c.sendEnd(e) {
			return false
		}
		f.Log.Info("end of a session sent late", zap.Uint64("session", uint64(e.reply.ID)),
			zap.Duration("after", keepEnd-e.until.Sub(now)))
		return c.Known()
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
	if r.Kind == broker.ReplyEnded || r.Kind == broker.ReplyMoved {
		v.front.sendEnd(&end{reply: r, host: v.host, until: time.Now().Add(keepEnd)})
	}
	return true
}
