// Package carry takes the messages of the agreement between managers over TCP. It
// decides nothing: agreed.Machine does. Whatever can't be sent at once is dropped, since
// the agreement asks again.
package carry

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/internal/agreed"
	"millethinge/internal/mailbox"
)

const (
	mostEvents  = 4096 // that wait for the machine
	mostFrames  = 256  // that wait for one other manager
	callTime    = time.Second
	writeTime   = time.Second
	pause       = 100 * time.Millisecond // after a call that failed
	helloTime   = 2 * time.Second
	strangers   = 16 // connections beyond two for each manager
	mostWorries = 8  // machines that failed, until Run gives up
)

// Config is what a Carrier is told at its start.
type Config struct {
	Machine            agreed.Config
	Listener           net.Listener      // closed by Run
	Addresses          map[string]string // of all managers, this one's too
	Log                *zap.Logger
	OnInForce          func(*agreed.Document)          // a version came into force; must not wait; may be nil
	OnSubmissionResult func(version uint64, err error) // what became of a submission; must not wait; may be nil
}

// A Runner is one manager's actor. Decide and Submit are safe for any goroutine.
type Runner struct {
	c       Config
	start   time.Time
	machine *agreed.Machine
	events  *mailbox.Box[agreed.Event]
	peers   map[string]*mailbox.Box[[]byte]
	stands  atomic.Pointer[standing]
	dropped atomic.Int64
}

type standing struct {
	effective agreed.EffectiveConfig
	until     time.Duration
}

// New is a Carrier that has not started.
func New(c Config) *Runner {
	k := &Runner{c: c, start: time.Now(), events: mailbox.New[agreed.Event](mostEvents), peers: map[string]*mailbox.Box[[]byte]{}}
	k.machine = agreed.New(0, c.Machine)
	return k
}

// Effective is what this manager may do now; ok is false before a version is in force. It
// is to be asked at each decision, and waits for nothing.
func (k *Runner) Effective() (e agreed.EffectiveConfig, ok bool) {
	s := k.stands.Load()
	if s == nil {
		return e, false
	}
	e = s.effective
	e.NoLease = time.Since(k.start) >= s.until
	return e, true
}

// Submit hands in a version. Told says what becomes of it.
func (k *Runner) Submit(d *agreed.Document) {
	k.events.Force(agreed.Event{Kind: agreed.EventSubmit, Document: d})
}

// DroppedMessages counts the messages that were not sent, for want of a connection or of room.
func (k *Runner) DroppedMessages() int64 { return k.dropped.Load() }

// Run carries until ctx ends, or the listener fails.
func (k *Runner) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return k.c.Listener.Close()
	})
	g.Go(func() error { return k.accept(ctx, g) })
	g.Go(func() error { return k.act(ctx, g) })
	if err := g.Wait(); ctx.Err() == nil || err != context.Canceled {
		return err
	}
	return nil
}

// act is the actor: it alone touches the machine.
func (k *Runner) act(ctx context.Context, g *errgroup.Group) error {
	tick := time.NewTicker(k.c.Machine.TickInterval())
	defer tick.Stop()
	var batch []agreed.Event
	for worries := 0; ; {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			batch = append(batch, agreed.Event{Kind: agreed.EventTick})
		case <-k.events.Ready():
			batch = k.events.Take(batch)
		}
		for _, e := range batch {
			acts, err := k.handle(e)
			if err != nil {
				// Guard: the log's engine stops where a message can't come from a correct
				// voter. This life of the voter is over; the next one forgets all of it.
				if worries++; worries > mostWorries {
					return err
				}
				k.c.Log.Error("the agreement starts anew", zap.Error(err))
				k.stands.Store(nil)
				k.c.Machine.Incarnation++
				k.c.Machine.InitialReplicas = nil
				k.machine = agreed.New(time.Since(k.start), k.c.Machine)
				break
			}
			k.do(ctx, g, acts)
		}
	}
}

func (k *Runner) handle(e agreed.Event) (acts []agreed.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("the agreement's machine stopped: %v", p)
		}
	}()
	now := time.Since(k.start)
	acts = k.machine.Handle(now, e)
	if e, ok := k.machine.Effective(now); ok {
		k.stands.Store(&standing{e, k.machine.LeaseExpiry()})
	}
	return acts, nil
}

func (k *Runner) do(ctx context.Context, g *errgroup.Group, acts []agreed.Action) {
	for _, a := range acts {
		switch a.Kind {
		case agreed.ActionSend:
			if !k.peer(ctx, g, a.To).Put(a.Bytes) {
				k.dropped.Add(1)
			}
		case agreed.ActionInForce:
			k.c.Log.Info("version in force", zap.Uint64("version", a.Document.Version))
			if k.c.OnInForce != nil {
				k.c.OnInForce(a.Document)
			}
		case agreed.ActionSubmissionResult:
			k.c.Log.Info("version submitted", zap.Uint64("version", a.Version), zap.Error(a.Err))
			if k.c.OnSubmissionResult != nil {
				k.c.OnSubmissionResult(a.Version, a.Err)
			}
		case agreed.ActionLogError:
			k.c.Log.Warn("agreement", zap.Error(a.Err))
		}
	}
}

// peer is the queue to another manager. Its goroutine starts with the first message.
func (k *Runner) peer(ctx context.Context, g *errgroup.Group, name string) *mailbox.Box[[]byte] {
	box := k.peers[name]
	if box == nil {
		box = mailbox.New[[]byte](mostFrames)
		k.peers[name] = box
		if address, ok := k.c.Addresses[name]; ok {
			g.Go(func() error { return k.call(ctx, address, box) })
		}
	}
	return box
}

// call sends what comes into box, over one connection while that holds.
func (k *Runner) call(ctx context.Context, address string, box *mailbox.Box[[]byte]) error {
	var (
		conn  net.Conn
		batch [][]byte
		out   []byte
		dial  = net.Dialer{Timeout: callTime}
	)
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-box.Ready():
		}
		batch = box.Take(batch)
		if len(batch) == 0 {
			continue
		}
		out = out[:0]
		var err error
		if conn == nil {
			if conn, err = dial.DialContext(ctx, "tcp4", address); err == nil {
				out = frame(out, []byte(k.c.Machine.Name))
			}
		}
		if err == nil {
			for _, b := range batch {
				out = frame(out, b)
			}
			conn.SetWriteDeadline(time.Now().Add(writeTime))
			_, err = conn.Write(out)
		}
		if err == nil {
			continue
		}
		k.dropped.Add(int64(len(batch)))
		if conn != nil {
			conn.Close()
			conn = nil
		}
		select { // what comes meanwhile waits, or is dropped
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}
