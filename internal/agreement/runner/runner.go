// Package runner runs an agreement.Machine and carries its messages between managers over TCP. All
// decisions are made by agreement.Machine. Messages that can't be sent at once are dropped, since
// the agreement repeats its requests.
package runner

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/internal/agreement"
	"millethinge/internal/mailbox"
)

const (
	maxQueuedEvents  = 4096 // events waiting for the machine
	maxQueuedFrames  = 256  // frames waiting for one other manager
	dialTimeout      = time.Second
	writeTimeout     = time.Second
	retryDelay       = 100 * time.Millisecond // after a connection or an accept that failed
	helloTimeout     = 2 * time.Second
	spareConnections = 16 // accepted beyond two for each manager
	maxRestarts      = 8  // of a machine that failed, until Run returns
)

// Config is the configuration of a Runner.
type Config struct {
	Machine            agreement.Config
	Listener           net.Listener      // closed by Run
	Addresses          map[string]string // of all managers by name, including this one
	Log                *zap.Logger
	OnInForce          func(*agreement.Document)       // called when a version comes into force; must not block; may be nil
	OnSubmissionResult func(version uint64, err error) // called with the result of a submission; must not block; may be nil
}

// A Runner runs the agreement of one manager. Effective, Submit and DroppedMessages are safe for
// concurrent use.
type Runner struct {
	config          Config
	startedAt       time.Time
	machine         *agreement.Machine
	events          *mailbox.Box[agreement.Event]
	peerQueues      map[string]*mailbox.Box[[]byte]
	current         atomic.Pointer[leasedConfig]
	droppedMessages atomic.Int64
}

// leasedConfig is an effective configuration with the expiry of its lease.
type leasedConfig struct {
	effective   agreement.EffectiveConfig
	leaseExpiry time.Duration
}

// New returns a Runner. Run starts it.
func New(c Config) *Runner {
	r := &Runner{config: c, startedAt: time.Now(), events: mailbox.New[agreement.Event](maxQueuedEvents), peerQueues: map[string]*mailbox.Box[[]byte]{}}
	r.machine = agreement.New(0, c.Machine)
	return r
}

// Effective returns what this manager may act on now; ok is false until a version is known to be
// in force. It must be called for each decision. It does not block.
func (r *Runner) Effective() (e agreement.EffectiveConfig, ok bool) {
	s := r.current.Load()
	if s == nil {
		return e, false
	}
	e = s.effective
	e.NoLease = time.Since(r.startedAt) >= s.leaseExpiry
	return e, true
}

// Submit submits a version. Config.OnSubmissionResult is called with the result.
func (r *Runner) Submit(d *agreement.Document) {
	r.events.Force(agreement.Event{Kind: agreement.EventSubmit, Document: d})
}

// DroppedMessages returns the number of messages that were dropped for lack of a connection or
// because a queue was full.
func (r *Runner) DroppedMessages() int64 { return r.droppedMessages.Load() }

// Run runs the agreement until ctx ends, the listener fails, or the machine has failed too often.
func (r *Runner) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return r.config.Listener.Close()
	})
	group.Go(func() error { return r.acceptConnections(ctx, group) })
	group.Go(func() error { return r.runMachine(ctx, group) })
	if err := group.Wait(); ctx.Err() == nil || err != context.Canceled {
		return err
	}
	return nil
}

// runMachine is the only goroutine that uses the machine.
func (r *Runner) runMachine(ctx context.Context, group *errgroup.Group) error {
	tick := time.NewTicker(r.config.Machine.TickInterval())
	defer tick.Stop()
	var batch []agreement.Event
	for restarts := 0; ; {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			batch = append(batch, agreement.Event{Kind: agreement.EventTick})
		case <-r.events.Ready():
			batch = r.events.Take(batch)
		}
		for _, e := range batch {
			actions, err := r.handle(e)
			if err != nil {
				// Guard: raft panics on a message that no correct voter sends. The machine
				// starts again as a new incarnation, which forgets all state of this one.
				if restarts++; restarts > maxRestarts {
					return err
				}
				r.config.Log.Error("agreement state machine failed; restarting it as a new incarnation", zap.Error(err))
				r.current.Store(nil)
				r.config.Machine.Incarnation++
				r.config.Machine.InitialReplicas = nil
				r.machine = agreement.New(time.Since(r.startedAt), r.config.Machine)
				break
			}
			r.perform(ctx, group, actions)
		}
	}
}

// handle passes an event to the machine. It returns a panic of the machine as an error.
func (r *Runner) handle(e agreement.Event) (actions []agreement.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("agreement state machine panicked: %v", p)
		}
	}()
	now := time.Since(r.startedAt)
	actions = r.machine.Handle(now, e)
	if e, ok := r.machine.Effective(now); ok {
		r.current.Store(&leasedConfig{e, r.machine.LeaseExpiry()})
	}
	return actions, nil
}

func (r *Runner) perform(ctx context.Context, group *errgroup.Group, actions []agreement.Action) {
	for _, a := range actions {
		switch a.Kind {
		case agreement.ActionSend:
			if !r.peerQueue(ctx, group, a.To).Put(a.Bytes) {
				r.droppedMessages.Add(1)
			}
		case agreement.ActionInForce:
			r.config.Log.Info("version in force", zap.Uint64("version", a.Document.Version))
			if r.config.OnInForce != nil {
				r.config.OnInForce(a.Document)
			}
		case agreement.ActionSubmissionResult:
			r.config.Log.Info("submission result", zap.Uint64("version", a.Version), zap.Error(a.Err))
			if r.config.OnSubmissionResult != nil {
				r.config.OnSubmissionResult(a.Version, a.Err)
			}
		case agreement.ActionLogError:
			r.config.Log.Warn("agreement error", zap.Error(a.Err))
		}
	}
}

// peerQueue returns the queue of messages to another manager. The goroutine that sends them is
// started with the first message.
func (r *Runner) peerQueue(ctx context.Context, group *errgroup.Group, name string) *mailbox.Box[[]byte] {
	box := r.peerQueues[name]
	if box == nil {
		box = mailbox.New[[]byte](maxQueuedFrames)
		r.peerQueues[name] = box
		if address, ok := r.config.Addresses[name]; ok {
			group.Go(func() error { return r.sendFrames(ctx, address, box) })
		}
	}
	return box
}

// sendFrames sends the messages of box, over one connection as long as it works.
func (r *Runner) sendFrames(ctx context.Context, address string, box *mailbox.Box[[]byte]) error {
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
				out = appendFrame(out, []byte(r.config.Machine.Name))
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
		r.droppedMessages.Add(int64(len(batch)))
		if conn != nil {
			conn.Close()
			conn = nil
		}
		select { // messages that arrive meanwhile are queued, or dropped if the queue is full
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryDelay):
		}
	}
}
