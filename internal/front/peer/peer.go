// Package peer is a viewer's connection as both fronts know it: an actor that
// writes what is in its mailbox, and a loop that accepts within a limit and
// closes what only takes up room.
package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/internal/mailbox"
)

const (
	outLimit  = 512             // messages that wait for one connection
	writeTime = 2 * time.Second // after which a reader is too slow
	// wordTime is how long a connection may take to send a whole message, and how
	// long one that is owed no answer may go without any word of ours.
	wordTime  = 2 * time.Second
	idleTime  = 30 * time.Second // without a message, and with no set-up open
	watchTime = 100 * time.Millisecond
	// mostOpen is how many set-ups may be open on one connection.
	mostOpen = 128
)

// Conn is one connection. Its owner reads; what is Put is written by an actor.
type Conn struct {
	net.Conn
	Host   string // the address at the other end, without the port
	out    *mailbox.Box[[]byte]
	gone   chan struct{}
	finish chan struct{}
	bye    atomic.Pointer[[]byte]
	once   sync.Once
	ending sync.Once

	came  time.Time
	begun atomic.Int64 // when the message under way began, after came; 0: none is
	whole atomic.Int64 // when the last whole message had come, after came
	told  atomic.Bool  // something was put
	known atomic.Bool  // a session of its stands or stood

	mu   sync.Mutex
	open map[uint64]struct{} // set-ups that are owed an answer
}

func newConn(nc net.Conn) *Conn {
	host, _, _ := net.SplitHostPort(nc.RemoteAddr().String())
	c := &Conn{
		Conn: nc, Host: host, out: mailbox.New[[]byte](outLimit),
		gone: make(chan struct{}), finish: make(chan struct{}), came: time.Now(),
		open: make(map[uint64]struct{}),
	}
	c.begun.Store(1)
	return c
}

// Whole tells that a message has been read, and whether a part of the next one
// has come with it.
func (c *Conn) Whole(more bool) {
	now := int64(time.Since(c.came)) + 1
	c.whole.Store(now)
	if !more {
		now = 0
	}
	c.begun.Store(now)
}

// Read notes when a message begins.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.begun.CompareAndSwap(0, int64(time.Since(c.came))+1)
	}
	return n, err
}

// Opened counts a set-up as open until Answered. False: too many are.
func (c *Conn) Opened(id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= mostOpen {
		return false
	}
	c.open[id] = struct{}{}
	return true
}

// Answered ends what Opened began.
func (c *Conn) Answered(id uint64) {
	c.mu.Lock()
	delete(c.open, id)
	c.mu.Unlock()
}

// owes tells whether a set-up is open.
func (c *Conn) owes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0
}

// Know marks a connection whose client has had a session.
func (c *Conn) Know() { c.known.Store(true) }

// Known tells whether its client has had a session.
func (c *Conn) Known() bool { return c.known.Load() }

// overdue tells why a connection is to be closed by now.
func (c *Conn) overdue(now time.Time) string {
	age := now.Sub(c.came)
	begun, whole := time.Duration(c.begun.Load()), time.Duration(c.whole.Load())
	switch {
	case begun > 0 && age-begun > wordTime:
		return "no whole message"
	case c.owes():
		return ""
	case !c.told.Load() && !c.Known() && age > wordTime:
		return "nothing to answer"
	case age-whole > idleTime:
		return "idle"
	}
	return ""
}

// Put queues bytes. A reader that lets too many wait loses its connection.
func (c *Conn) Put(b []byte) bool {
	select {
	case <-c.gone:
		return false
	case <-c.finish:
		return false
	default:
	}
	if !c.out.Put(b) {
		c.Close()
		return false
	}
	c.told.Store(true)
	return true
}

// Farewell sets what is written last when the program ends.
func (c *Conn) Farewell(b []byte) { c.bye.Store(&b) }

// Finish closes the connection once what is queued is written.
func (c *Conn) Finish() { c.ending.Do(func() { close(c.finish) }) }

// Close ends the connection at once.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.gone)
		c.Conn.Close()
	})
	return nil
}

func (c *Conn) write(ctx context.Context) {
	defer c.Close()
	var batch [][]byte
	for last := false; !last; {
		select {
		case <-c.gone:
			return
		case <-c.finish:
			last = true
		case <-ctx.Done():
			last = true
		case <-c.out.Ready():
		}
		batch = c.out.Take(batch)
		if ctx.Err() != nil {
			last = true
			if bye := c.bye.Load(); bye != nil {
				batch = append(batch, *bye)
			}
		}
		if len(batch) == 0 {
			continue
		}
		if err := c.SetWriteDeadline(time.Now().Add(writeTime)); err != nil {
			return
		}
		if _, err := c.Conn.Write(bytes.Join(batch, nil)); err != nil {
			return
		}
	}
}

// room is the connections that are open on one listener.
type room struct {
	most int
	mu   sync.Mutex
	all  map[*Conn]bool
}

// enter makes room for c. A full room loses the connection that is missed
// least; if all have set-ups open, c can't enter.
func (r *room) enter(c *Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.all) >= r.most {
		var least *Conn
		for o := range r.all {
			if !o.owes() && (least == nil || o.before(least)) {
				least = o
			}
		}
		if least == nil {
			return false
		}
		delete(r.all, least)
		least.Close()
	}
	r.all[c] = true
	return true
}

// before tells whether c is missed less than o: its client has had no session,
// or it has been idle for longer. Guard: one that has just come is missed most
// of these, since its first request is on its way.
func (c *Conn) before(o *Conn) bool {
	if k := c.Known(); k != o.Known() {
		return !k
	}
	return c.last().Before(o.last())
}

// last is when it last sent a whole message, or came.
func (c *Conn) last() time.Time { return c.came.Add(time.Duration(c.whole.Load())) }

func (r *room) leave(c *Conn) {
	r.mu.Lock()
	delete(r.all, c)
	r.mu.Unlock()
}

// watch closes what is overdue, until ctx ends.
func (r *room) watch(ctx context.Context, log *zap.Logger) error {
	tick := time.NewTicker(watchTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			r.mu.Lock()
			for c := range r.all {
				if why := c.overdue(now); why != "" {
					log.Debug("viewer's connection closed", zap.String("from", c.Host), zap.String("why", why))
					c.Finish()
				}
			}
			r.mu.Unlock()
		}
	}
}

// Serve accepts until ctx ends, holds up to most connections at once, and
// handles each until handle returns.
func Serve(ctx context.Context, l net.Listener, most int, log *zap.Logger, handle func(context.Context, *Conn)) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	r := &room{most: most, all: make(map[*Conn]bool)}
	group.Go(func() error { return r.watch(ctx, log) })
	for {
		nc, err := l.Accept()
		if ctx.Err() != nil {
			if err == nil {
				nc.Close()
			}
			return group.Wait()
		}
		if err != nil {
			log.Warn("accept", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := newConn(nc)
		// Guard: descriptors beyond the viewers' part are not held, and those who
		// say nothing or stay for good lock nobody out.
		if !r.enter(c) {
			nc.Close()
			continue
		}
		group.Go(func() error { c.write(ctx); return nil })
		group.Go(func() error {
			defer r.leave(c)
			defer c.Finish()
			defer func() {
				// Guard: what one peer sends costs at most its connection.
				if p := recover(); p != nil {
					log.Error("connection handler", zap.Any("panic", p), zap.Stack("stack"))
				}
			}()
			handle(ctx, c)
			return nil
		})
	}
}
