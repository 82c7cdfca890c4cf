package jsonl

import (
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
)

// endLifetime is how long a front tries to deliver the end of a session to its viewer.
const endLifetime = 8 * time.Second

// sessionEnd is the message that an established session has ended or is to move. It is tied
// to no connection: it is sent on that of the set-up, or else on any open one, or else on the
// next one that opens.
//
// Guard: data written to a connection that breaks at that moment is lost, although the write
// succeeded. So an end that its viewer has not acknowledged when its connection ends is sent
// again on another one. Viewers need not acknowledge: one that has received the end before
// knows no session of that id any more.
type sessionEnd struct {
	reply        broker.Reply
	host         string    // where its set-up came from
	expires      time.Time // when to stop sending it
	acknowledged atomic.Bool
}

// settled reports whether e need not be sent any more.
func (e *sessionEnd) settled(now time.Time) bool {
	return e.acknowledged.Load() || now.After(e.expires)
}

// sendEnd sends e on c and keeps it until it is acknowledged or expires. It reports whether c
// could carry e.
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

// acknowledgeEnd records that the viewer has received the end of the session of that id.
func (c *conn) acknowledgeEnd(id control.SessionID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.IndexFunc(c.unacknowledged, func(e *sessionEnd) bool { return e.reply.ID == id }); i >= 0 {
		c.unacknowledged[i].acknowledged.Store(true)
		c.unacknowledged = slices.Delete(c.unacknowledged, i, i+1)
	}
}

// takeUnacknowledged has no more ends sent on c, and returns those that the viewer may not
// have received.
func (c *conn) takeUnacknowledged() []*sessionEnd {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsStopped = true
	now := time.Now()
	return slices.DeleteFunc(c.unacknowledged, func(e *sessionEnd) bool { return e.settled(now) })
}

// resendEnds sends ends again that a viewer may not have received.
func (f *Front) resendEnds(ends []*sessionEnd) {
	for _, e := range ends {
		f.Log.Info("resending end of session", zap.Uint64("session", uint64(e.reply.ID)), zap.String("host", e.host))
		f.routeEnd(e)
	}
}

// routeEnd sends an end whose own connection is gone on the connections from its viewer's
// host, or else on another one that has had a session, or keeps it until one opens.
//
// Guard: a connection that has had no session may belong to anyone, even at the viewer's
// host, and its client would ignore the end. The end is sent on it, since it may be the
// viewer's new connection, but does not count as delivered.
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
	if withoutSession > 0 { // logged since it is rare, and ends were once lost this way
		f.Log.Info("end of session also sent on connections without a session", zap.Uint64("session", uint64(e.reply.ID)),
			zap.String("host", e.host), zap.Int("strangers", withoutSession), zap.Bool("known", sent))
	}
	for _, c := range slices.Backward(f.conns) { // the newest first
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
	// Logged since it is rare, and the only way in which an end reaches its viewer late.
	f.Log.Info("end of session waits for a connection", zap.Uint64("session", uint64(e.reply.ID)), zap.String("host", e.host))
}

// sendPendingEnds sends on c the pending ends that it may carry. An end stays pending if c
// has had no session. f.mu is held.
func (f *Front) sendPendingEnds(c *conn) {
	now := time.Now()
	f.pendingEnds = slices.DeleteFunc(f.pendingEnds, func(e *sessionEnd) bool {
		if e.settled(now) {
			return true
		}
		if !c.mayCarryEnd(e.host) || !c.sendEnd(e) {
			return false
		}
		f.Log.Info("end of session sent late", zap.Uint64("session", uint64(e.reply.ID)),
			zap.Duration("after", endLifetime-e.expires.Sub(now)))
		return c.HadSession()
	})
}

// InheritedClient returns a client for a session that was taken over from the predecessor,
// which holds the viewer's connection. It carries only the end of the session, to a
// connection from host.
func (f *Front) InheritedClient(host string) broker.Client { return inheritedClient{f, host} }

// inheritedClient is a broker.Client without a connection of its own.
type inheritedClient struct {
	front *Front
	host  string
}

// From returns the viewer's host.
func (c inheritedClient) From() string { return c.host }

// Gone is part of broker.Client. Its answer does not matter, since no set-up is started for
// this client.
func (c inheritedClient) Gone(control.SessionID) bool { return false }

// Deliver sends the end of a session, and ignores all other replies.
func (c inheritedClient) Deliver(r broker.Reply) bool {
	if r.Kind == broker.ReplyEnded || r.Kind == broker.ReplyMoved {
		c.front.routeEnd(&sessionEnd{reply: r, host: c.host, expires: time.Now().Add(endLifetime)})
	}
	return true
}
