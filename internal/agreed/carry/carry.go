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
	maxQueuedEvents  = 4096 // that wait for the machine
	maxQueuedFrames  = 256  // that wait for one other manager
	dialTimeout      = time.Second
	writeTimeout     = time.Second
	retryDelay       = 100 * time.Millisecond // after a call that failed
	helloTimeout     = 2 * time.Second
	spareConnections = 16 // connections beyond two for each manager
	maxRestarts      = 8  // machines that failed, until Run gives up
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
	config          Config
	startedAt       time.Time
	machine         *agreed.Machine
	events          *mailbox.Box[agreed.Event]
	peerQueues      map[string]*mailbox.Box[[]byte]
	current         atomic.Pointer[leasedConfig]
	droppedMessages atomic.Int64
}

type leasedConfig struct {
	effective   agreed.EffectiveConfig
	leaseExpiry time.Duration
}

// New is a Carrier that has not started.
func New(c Config) *Runner {
	k := &Runner{config: c, startedAt: time.Now(), events: mailbox.New[agreed.Event](maxQueuedEvents), peerQueues: map[string]*mailbox.Box[[]byte]{}}
	k.machine = agreed.New(0, c.Machine)
	return k
}

// Effective is what this manager may do now; ok is false before a version is in force. It
// is to be asked at each decision, and waits for nothing.
func (k *Runner) Effective() (e agreed.EffectiveConfig, ok bool) {
	s := k.current.Load()
	if s == nil {
		return e, false
	}
	e = s.effective
	e.NoLease = time.Since(k.startedAt) >= s.leaseExpiry
	return e, true
}

// Submit hands in a version. Told says what becomes of it.
func (k *Runner) Submit(d *agreed.Document) {
	k.events.Force(agreed.Event{Kind: agreed.EventSubmit, Document: d})
}

// DroppedMessages counts the messages that were not sent, for want of a connection or of room.
func (k *Runner) DroppedMessages() int64 { return k.droppedMessages.Load() }

// Run carries until ctx ends, or the listener fails.
func (k *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return k.config.Listener.Close()
	})
	group.Go(func() error { return k.acceptConnections(ctx, group) })
	group.Go(func() error { return k.runMachine(ctx, group) })
	if err := group.Wait(); ctx.Err() == nil || err != context.Canceled {
		return err
	}
	return nil
}

// runMachine is the actor: it alone touches the machine.
func (k *Runner) runMachine(ctx context.Context, group *errgroup.Group) error {
	tick := time.NewTicker(k.config.Machine.TickInterval())
	defer tick.Stop()
	var batch []agreed.Event
	for restarts := 0; ; {
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
			actions, err := k.handle(e)
			if err != nil {
				// Guard: the log's engine stops where a message can't come from a correct
				// voter. This life of the voter is over; the next one forgets all of it.
				if restarts++; restarts > maxRestarts {
					return err
				}
				k.config.Log.Error("the agreement starts anew", zap.Error(err))
				k.current.Store(nil)
				k.config.Machine.Incarnation++
				k.config.Machine.InitialReplicas = nil
				k.machine = agreed.New(time.Since(k.startedAt), k.config.Machine)
				break
			}
			k.perform(ctx, group, actions)
		}
	}
}

func (k *Runner) handle(e agreed.Event) (actions []agreed.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("the agreement's machine stopped: %v", p)
		}
	}()
	now := time.Since(k.startedAt)
	actions = k.machine.Handle(now, e)
	if e, ok := k.machine.Effective(now); ok {
		k.current.Store(&leasedConfig{e, k.machine.LeaseExpiry()})
	}
	return actions, nil
}

func (k *Runner) perform(ctx context.Context, group *errgroup.Group, actions []agreed.Action) {
	for _, a := range actions {
		switch a.Kind {
		case agreed.ActionSend:
			if !k.peerQueue(ctx, group, a.To).Put(a.Bytes) {
				k.droppedMessages.Add(1)
			}
		case agreed.ActionInForce:
			k.config.Log.Info("version in force", zap.Uint64("version", a.Document.Version))
			if k.config.OnInForce != nil {
				k.config.OnInForce(a.Document)
			}
		case agreed.ActionSubmissionResult:
			k.config.Log.Info("version submitted", zap.Uint64("version", a.Version), zap.Error(a.Err))
			if k.config.OnSubmissionResult != nil {
				k.config.OnSubmissionResult(a.Version, a.Err)
			}
		case agreed.ActionLogError:
			k.config.Log.Warn("agreement", zap.Error(a.Err))
		}
	}
}

// peerQueue is the queue to another manager. Its goroutine starts with the first message.
func (k *Runner) peerQueue(ctx context.Context, group *errgroup.Group, name string) *mailbox.Box[[]byte] {
	box := k.peerQueues[name]
	if box == nil {
		box = mailbox.New[[]byte](maxQueuedFrames)
		k.peerQueues[name] = box
		if address, ok := k.config.Addresses[name]; ok {
			group.Go(func() error { return k.sendFrames(ctx, address, box) })
		}
	}
	return box
}

// sendFrames sends what comes into box, over one connection while that holds.
func (k *Runner) sendFrames(ctx context.Context, address string, box *mailbox.Box[[]byte]) error {
	var (
		conn  net.Conn
		batch [][]byte
		out   []byte
		dial  = net.Dialer{Timeout: dialTimeout}
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
				out = appendFrame(out, []byte(k.config.Machine.Name))
			}
		}
		if err == nil {
			for _, b := range batch {
				out = appendFrame(out, b)
			}
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = conn.Write(out)
		}
		if err == nil {
			continue
		}
		k.droppedMessages.Add(int64(len(batch)))
		if conn != nil {
			conn.Close()
			conn = nil
		}
		select { // what comes meanwhile waits, or is dropped
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryDelay):
		}
	}
}
