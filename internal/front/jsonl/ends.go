package jsonl

import (
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
)

// endLifetime is how long the end of a session is brought to its viewer.
const endLifetime = 8 * time.Second

// sessionEnd is the end of a session that stood. No connection owns it: it goes on that of
// the set-up, else on any open one, else on the next that opens.
//
// Guard: what is written on a connection that breaks at that moment is lost, though
// the write went well. So an end that its viewer has not said to have heard by the
// time its connection ends goes again on another one. Viewers need not say so; one who
// has heard it knows no session of that name any more.
type sessionEnd struct {
	reply        broker.Reply
	host         string // of its set-up
	expires      time.Time
	acknowledged atomic.Bool
}

// settled tells whether e goes on no connection any more.
func (e *sessionEnd) settled(now time.Time) bool {
	return e.acknowledged.Load() || now.After(e.expires)
}

// sendEnd sends e on c and keeps it until it is heard. False: c can't carry it.
func (c *conn) sendEnd(e *sessionEnd) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slices.Contains(c.unacknowledged, e) {
		return true
	}
	if c.endsStopped || !c.sendReply(e.reply) {
		return false
	}
	now, obsolete := time.Now(), 0
	for obsolete < len(c.unacknowledged) && c.unacknowledged[obsolete].settled(now) {
		obsolete++
	}
	c.unacknowledged = append(slices.Delete(c.unacknowledged, 0, obsolete), e)
	return true
}

// acknowledgeEnd takes a viewer's word that it heard the end of a session.
func (c *conn) acknowledgeEnd(id control.SessionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(c.unacknowledged, func(e *sessionEnd) bool { return e.reply.ID == id }); i >= 0 {
		c.unacknowledged[i].acknowledged.Store(true)
		c.unacknowledged = slices.Delete(c.unacknowledged, i, i+1)
	}
}

// takeUnacknowledged has no more ends go on c, and returns those that may not have been heard.
func (c *conn) takeUnacknowledged() []*sessionEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsStopped = true
	now := time.Now()
	return slices.DeleteFunc(c.unacknowledged, func(e *sessionEnd) bool { return e.settled(now) })
}

// resendEnds sends ends that may not have been heard.
func (f *Front) resendEnds(ends []*sessionEnd) {
	for _, e := range ends {
		f.Log.Info("end of a session goes again", zap.Uint64("session", uint64(e.reply.ID)), zap.String("host", e.host))
		f.routeEnd(e)
	}
}

// routeEnd sends an end that has no connection of its own any more on those that may be
// its viewer's, or has it wait for one.
//
// Guard: whoever has had no session may be anybody, also at the viewer's host, and takes
// no notice. It is told, since it may be the viewer come back, and does not count.
func (f *Front) routeEnd(e *sessionEnd) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sent, withoutSession := false, 0
	for _, c := range f.conns {
		switch {
		case c.Host != e.host || !c.sendEnd(e):
		case c.HadSession():
			sent = true
		default:
			withoutSession++
		}
	}
	if withoutSession > 0 { // rare as well, and once the way in which ends were lost
		f.Log.Info("end of a session told to strangers too", zap.Uint64("session", uint64(e.reply.ID)),
			zap.String("host", e.host), zap.Int("strangers", withoutSession), zap.Bool("known", sent))
	}
	for _, c := range slices.Backward(f.conns) { // the youngest first
		if sent {
			return
		}
		sent = c.HadSession() && c.sendEnd(e)
	}
	if sent {
		return
	}
	now := time.Now()
	f.pendingEnds = slices.DeleteFunc(f.pendingEnds, func(u *sessionEnd) bool { return u.settled(now) })
	f.pendingEnds = append(f.pendingEnds, e)
	// Rare, and the one way an end reaches its viewer late: worth a line.
	f.Log.Info("end of a session waits for a connection", zap.Uint64("session", uint64(e.reply.ID)), zap.String("host", e.host))
}

// sendPendingEnds sends c the ends that found no connection and that it may carry. f.mu is
// held.
func (f *Front) sendPendingEnds(c *conn) {
	now := time.Now()
	f.pendingEnds = slices.DeleteFunc(f.pendingEnds, func(e *sessionEnd) bool {
		if e.settled(now) {
			return true
		}
		if !c.mayCarryEnd(e.host) || !c.sendEnd(e) {
			return false
		}
		f.Log.Info("end of a session sent late", zap.Uint64("session", uint64(e.reply.ID)),
			zap.Duration("after", endLifetime-e.expires.Sub(now)))
		return c.HadSession()
	})
}

// InheritedClient returns a client that only carries ends of sessions, to a viewer at a host whose
// connections an older process of this manager has.
func (f *Front) InheritedClient(host string) broker.Client { return inheritedClient{f, host} }

type inheritedClient struct {
	front *Front
	host  string
}

// From tells where the viewer is.
func (c inheritedClient) From() string { return c.host }

// Gone is part of broker.Client: nothing is begun for it anyway.
func (v inheritedClient) Gone(control.SessionID) bool { return false }

func (c inheritedClient) Deliver(r broker.Reply) bool {
	if r.Kind == broker.ReplyEnded || r.Kind == broker.ReplyMoved {
		c.front.routeEnd(&sessionEnd{reply: r, host: c.host, expires: time.Now().Add(endLifetime)})
	}
	return true
}
