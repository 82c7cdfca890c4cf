// Package peer is a viewer's connection as both fronts know it: an actor that
// writes what is in its mailbox, and a loop that accepts within a limit.
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
)

// Conn is one connection. Its owner reads; what is Put is written by an actor.
type Conn struct {
	net.Conn
	out    *mailbox.Box[[]byte]
	gone   chan struct{}
	finish chan struct{}
	bye    atomic.Pointer[[]byte]
	once   sync.Once
	ending sync.Once
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

// Serve accepts up to most connections at once until ctx ends, and handles
// each until handle returns.
func Serve(ctx context.Context, l net.Listener, most int, log *zap.Logger, handle func(context.Context, *Conn)) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	// Guard: descriptors beyond the viewers' part are not accepted.
	slots := make(chan struct{}, most)
	for {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return group.Wait()
		}
		nc, err := l.Accept()
		if ctx.Err() != nil {
			return group.Wait()
		}
		if err != nil {
			<-slots
			log.Warn("accept", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := &Conn{
			Conn: nc, out: mailbox.New[[]byte](outLimit),
			gone: make(chan struct{}), finish: make(chan struct{}),
		}
		var both sync.WaitGroup
		both.Add(2)
		group.Go(func() error { defer both.Done(); c.write(ctx); return nil })
		group.Go(func() error {
			defer both.Done()
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
		group.Go(func() error { both.Wait(); <-slots; return nil })
	}
}
