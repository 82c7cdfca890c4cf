// Package jsonl is the platform's front: session API messages as JSON lines
// over TCP.
package jsonl

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/front/message"
	"millethinge/internal/mailbox"
	"millethinge/internal/stream"
)

const (
	outLimit   = 512             // messages that wait for one connection
	writeTime  = 2 * time.Second // after which a reader is too slow
	keepUnsent = 8 * time.Second // how long an end waits for an open connection
)

// Core is the broker, as the front sees it.
type Core interface {
	Submit(broker.Request) bool
	End(broker.ViewerEnd) bool
	Lost(broker.Client)
}

// Front serves viewers on one address.
type Front struct {
	Core     Core
	Catalog  message.Catalog
	MaxConns int
	Log      *zap.Logger

	mu     sync.Mutex
	conns  []*conn
	unsent []unsent
}

// unsent is a session's end that found no open connection.
type unsent struct {
	reply broker.Reply
	until time.Time
}

// conn is one viewers' connection. A goroutine reads, another writes what is
// in its mailbox.
type conn struct {
	net.Conn
	front *Front
	out   *mailbox.Box[[]byte]
	gone  chan struct{}
	once  sync.Once
}

// Serve accepts until ctx ends.
func (f *Front) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	slots := make(chan struct{}, f.MaxConns)
	for {
		// Guard: descriptors beyond the viewers' part are not accepted.
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return group.Wait()
		}
		nc, err := l.Accept()
		if err != nil {
			<-slots
			if ctx.Err() != nil {
				return group.Wait()
			}
			f.Log.Warn("accept", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := &conn{Conn: nc, front: f, out: mailbox.New[[]byte](outLimit), gone: make(chan struct{})}
		f.add(c)
		group.Go(func() error { c.write(ctx); return nil })
		group.Go(func() error {
			c.read()
			f.remove(c)
			<-slots
			return nil
		})
	}
}

// add makes c known, and sends it the ends that found no connection.
func (f *Front) add(c *conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns = append(f.conns, c)
	for _, u := range f.unsent {
		if time.Now().Before(u.until) {
			c.send(u.reply)
		}
	}
	f.unsent = nil
}

func (f *Front) remove(c *conn) {
	f.mu.Lock()
	f.conns = slices.DeleteFunc(f.conns, func(o *conn) bool { return o == c })
	f.mu.Unlock()
	c.close()
	f.Core.Lost(c)
}

// Deliver sends an answer on the connection of its set-up. What ends a session
// that stood goes on any open one: none owns it.
func (c *conn) Deliver(r broker.Reply) bool {
	if c.send(r) {
		return true
	}
	if r.Kind != broker.Over && r.Kind != broker.Moved {
		return false
	}
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range f.conns {
		if o.send(r) {
			return true
		}
	}
	f.unsent = append(f.unsent, unsent{r, time.Now().Add(keepUnsent)})
	return true
}

func (c *conn) send(r broker.Reply) bool {
	return c.put(append(message.AppendReply(nil, r), '\n'))
}

// put queues a line. A reader that lets too many wait loses its connection.
func (c *conn) put(line []byte) bool {
	select {
	case <-c.gone:
		return false
	default:
	}
	if !c.out.Put(line) {
		c.close()
		return false
	}
	return true
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.gone)
		c.Close()
	})
}

// write is the connection's actor: it writes what its mailbox holds.
func (c *conn) write(ctx context.Context) {
	var batch [][]byte
	for {
		last := false
		select {
		case <-c.gone:
			return
		case <-ctx.Done():
			last = true // what is queued still goes out
		case <-c.out.Ready():
		}
		batch = c.out.Take(batch)
		if len(batch) > 0 {
			c.SetWriteDeadline(time.Now().Add(writeTime))
			if _, err := c.Write(bytes.Join(batch, nil)); err != nil {
				last = true
			}
		}
		if last {
			c.close()
			return
		}
	}
}

// read handles lines until the connection ends or sends what is no message.
func (c *conn) read() {
	in := stream.NewReader(c, message.Max)
	var m message.Message
	for {
		var line []byte
		err := in.Next(func(b []byte) (int, error) {
			i := bytes.IndexByte(b, '\n')
			line = b[:max(i, 0)]
			return i + 1, nil
		})
		if err != nil {
			return
		}
		if len(bytes.TrimSpace(line)) == 0 {
			continue
		}
		if err := message.Parse(line, &m); err != nil {
			c.front.Log.Info("viewer sent what is no message", zap.Stringer("from", c.RemoteAddr()))
			return
		}
		if !c.handle(&m) {
			return
		}
	}
}

// handle takes one message; false ends the connection.
func (c *conn) handle(m *message.Message) bool {
	switch string(m.Type) {
	case "setup":
		return c.setUp(m)
	case "release":
		id, err := message.ParseID(m.ID)
		return err == nil && c.front.Core.End(broker.ViewerEnd{ID: id, Cause: m.Cause})
	case "ping":
		return c.put(append(message.AppendPong(nil, m.ID, true), '\n'))
	}
	return true // progress and released mean nothing
}

func (c *conn) setUp(m *message.Message) bool {
	r, err := c.front.Catalog.Setup(m, time.Now())
	r.Client = c
	at := m.At()
	if at != nil {
		r.Playing = directory.ServerOf(string(at))
	}
	if err != nil {
		c.front.Log.Info("set-up not understood", zap.Error(err))
		if at == nil && r.ID != control.SessionID(0) {
			return c.send(broker.Reply{Kind: broker.Failed, ID: r.ID, Cause: broker.CauseFailed})
		}
		return at != nil
	}
	if !c.front.Core.Submit(r) && at == nil {
		// The module's mailbox is full: nothing has been tried.
		return c.send(broker.Reply{Kind: broker.Refused, ID: r.ID, Cause: broker.CauseRefused, Wait: time.Second})
	}
	return true
}
