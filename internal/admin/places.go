package admin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// graceTime is how long a caller keeps its place whatever comes: a whole call that is
// on its way is there by then.
const graceTime = 50 * time.Millisecond

// places is a listener of few places. Guard: where all are taken, the caller that has
// been connected for longest without a whole call gives way: those who say nothing lock
// nobody out. One place is kept free ahead of who comes next. Those who come meanwhile wait in the kernel's queue for at most graceTime.
type places struct {
	net.Listener
	most func() int // callers at once; their descriptors are kept apart from those of viewers and nodes
	mu   sync.Mutex
	all  []*place // the oldest first
}

// place is one caller's connection.
type place struct {
	net.Conn
	from  *places
	came  time.Time
	whole atomic.Bool // its call has come whole
	once  sync.Once
}

type placeKey struct{}

func newPlaces(l net.Listener, most func() int) *places { return &places{Listener: l, most: most} }

func (p *places) Accept() (net.Conn, error) {
	for {
		out, wait := p.full()
		if out != nil {
			out.Close()
		}
		if wait <= 0 {
			break
		}
		time.Sleep(wait)
	}
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	pl := &place{Conn: c, from: p, came: time.Now()}
	p.mu.Lock()
	p.all = append(p.all, pl)
	p.mu.Unlock()
	return pl, nil
}

// full tells who gives way where all places are taken, or how long to wait for a place.
func (p *places) full() (out *place, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.all) < p.most() {
		return nil, 0
	}
	for _, o := range p.all {
		if !o.whole.Load() {
			if wait = graceTime - time.Since(o.came); wait > 0 {
				return nil, wait
			}
			return o, 0
		}
	}
	return nil, time.Millisecond // each is being answered
}

// Close frees the descriptor before its place.
func (c *place) Close() (err error) {
	c.once.Do(func() {
		err = c.Conn.Close()
		c.from.mu.Lock()
		for i, o := range c.from.all {
			if o == c {
				c.from.all = append(c.from.all[:i], c.from.all[i+1:]...)
				break
			}
		}
		c.from.mu.Unlock()
	})
	return err
}
