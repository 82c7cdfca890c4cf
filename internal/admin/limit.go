package admin

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// evictionGrace is how long a caller may keep the program waiting before its connection can be
// evicted. A complete request that is on its way arrives within this time.
const evictionGrace = 50 * time.Millisecond

// maxUnreadAge is how long a connection is kept that the program has not read from for so long.
const maxUnreadAge = time.Second

// maxHeaderLines limits the lines of a request, before it is parsed: a header takes more memory and
// time parsed than on the wire.
const maxHeaderLines = 100

// errTooManyHeaders reports a request with more than maxHeaderLines lines.
var errTooManyHeaders = errors.New("too many headers")

// evictionCheckInterval is the time between checks whether a connection can be evicted: one whose
// request has come meanwhile is not.
const evictionCheckInterval = 5 * time.Millisecond

// limitListener is a listener that limits the number of open connections.
//
// Guard: at the limit it closes the connection that has been open for longest without a
// complete request, so callers that send nothing can't lock others out. It does so before it
// accepts the next connection; connections that arrive meanwhile wait in the kernel's queue.
type limitListener struct {
	net.Listener
	onReject func(from net.Addr, why error) // called for a request that is rejected before it is parsed
	maxConns func() int                     // limit of open connections; their descriptors are reserved apart from those of viewers and nodes
	mu       sync.Mutex
	conns    []*limitedConn // the open connections, the oldest first
}

// limitedConn is one caller's connection.
type limitedConn struct {
	net.Conn
	listener        *limitListener
	acceptedAt      time.Time
	requestReceived atomic.Bool // whether the caller's request is complete, and being answered
	closeOnce       sync.Once

	mu        sync.Mutex
	waited    time.Duration // spent in Read so far, while the caller sent nothing
	waitStart time.Time     // when Read was called; zero: it has returned
	lines     int           // that were read; used by Read only
}

// Read reads from the connection, and fails once the request has too many headers.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.setWaiting(time.Now())
	n, err := c.Conn.Read(b)
	c.setWaiting(time.Time{})
	if c.lines += bytes.Count(b[:n], []byte("\n")); c.lines > maxHeaderLines {
		c.listener.onReject(c.RemoteAddr(), errTooManyHeaders)
		return 0, errTooManyHeaders
	}
	return n, err
}

// setWaiting records that Read is called at since, or has returned if that is zero.
func (c *limitedConn) setWaiting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waitStart.IsZero() {
		c.waited += time.Since(c.waitStart)
	}
	c.waitStart = since
}

// waitedFor returns how long the caller has kept the program waiting.
func (c *limitedConn) waitedFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitStart.IsZero() {
		return c.waited
	}
	return c.waited + time.Since(c.waitStart)
}

// connKey is the key under which the context of a request holds its connection.
type connKey struct{}

// newLimitListener returns a listener that keeps at most maxConns connections of listener open.
// onReject is called for each request that is rejected before it is parsed.
func newLimitListener(listener net.Listener, maxConns func() int, onReject func(net.Addr, error)) *limitListener {
	return &limitListener{Listener: listener, maxConns: maxConns, onReject: onReject}
}

// Accept waits until the number of open connections is below the limit, evicting one if need be,
// and accepts the next connection.
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

// nextEviction returns, at the limit, the connection to evict, or how long to wait before it is
// called again. Below the limit it returns neither.
func (l *limitListener) nextEviction() (evicted *limitedConn, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.maxConns() {
		return nil, 0
	}
	for _, c := range l.conns {
		if !c.requestReceived.Load() {
			if wait = min(evictionGrace-c.waitedFor(), maxUnreadAge-time.Since(c.acceptedAt)); wait > 0 {
				return nil, min(wait, evictionCheckInterval)
			}
			return c, 0
		}
	}
	return nil, time.Millisecond // the request of each connection is being answered
}

// Close closes the connection's descriptor before it counts the connection as closed.
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
