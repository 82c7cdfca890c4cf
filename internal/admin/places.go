package admin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// evictionGrace is how long a caller keeps its place whatever comes: a whole call that is
// on its way is there by then.
const evictionGrace = 50 * time.Millisecond

// limitListener is a listener of few places. Guard: where all are taken, the caller that has
// been connected for longest without a whole call gives way: those who say nothing lock
// nobody out. One place is kept free ahead of who comes next. Those who come meanwhile wait in the kernel's queue for at most graceTime.
type limitListener struct {
	net.Listener
	maxConns func() int // callers at once; their descriptors are kept apart from those of viewers and nodes
	mu       sync.Mutex
	conns    []*limitedConn // the oldest first
}

// limitedConn is one caller's connection.
type limitedConn struct {
	net.Conn
	listener        *limitListener
	acceptedAt      time.Time
	requestReceived atomic.Bool // its call has come whole
	closeOnce       sync.Once
}

type connKey struct{}

func newLimitListener(listener net.Listener, maxConns func() int) *limitListener {
	return &limitListener{Listener: listener, maxConns: maxConns}
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		evicted, wait := l.nextEviction()
		if evicted != nil {
			evicted.Close()
		}
		if wait <= 0 {
			break
		}
		time.Sleep(wait)
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &limitedConn{Conn: c, listener: l, acceptedAt: time.Now()}
	l.mu.Lock()
	l.conns = append(l.conns, conn)
	l.mu.Unlock()
	return conn, nil
}

// nextEviction tells who gives way where all places are taken, or how long to wait for a place.
func (l *limitListener) nextEviction() (evicted *limitedConn, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.maxConns() {
		return nil, 0
	}
	for _, c := range l.conns {
		if !c.requestReceived.Load() {
			if wait = evictionGrace - time.Since(c.acceptedAt); wait > 0 {
				return nil, wait
			}
			return c, 0
		}
	}
	return nil, time.Millisecond // each is being answered
}

// Close frees the descriptor before its place.
func (c *limitedConn) Close() (err error) {
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.listener.mu.Lock()
		for i, other := range c.listener.conns {
			if other == c {
				c.listener.conns = append(c.listener.conns[:i], c.listener.conns[i+1:]...)
				break
			}
		}
		c.listener.mu.Unlock()
	})
	return err
}
