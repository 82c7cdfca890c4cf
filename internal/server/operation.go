package server

import (
	"context"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/internal/admin"
	"millethinge/internal/broker"
	"millethinge/internal/config"
	"millethinge/internal/directory"
	"millethinge/internal/duty"
	"millethinge/internal/front/jsonl"
	"millethinge/internal/handover"
	"millethinge/internal/remedy"
)

// watchTime is between two looks for another process of this manager and its orders. A
// look costs some microseconds.
const watchTime = 50 * time.Millisecond

// freshTime is how long readiness waits for the coordinator's first answer.
const freshTime = 2 * time.Second

// operation is how the program is run by hand: calls, orders, and the process that
// replaces this one. It exists only where the configuration gives an address for calls.
type operation struct {
	cfg    *config.Config
	gate   *duty.Gate
	counts *broker.Counters
	nodes  *directory.List
	sink   directory.Sink // of nodes, with the orders laid over
	core   *broker.Broker
	front  *jsonl.Front
	log    *zap.Logger

	folder *handover.Folder // nil: there is none
	self   *handover.Process
	shared atomic.Bool // another process is alive
	ready  atomic.Bool
	ended  atomic.Bool   // it is asked to end
	fresh  chan struct{} // closed once the coordinator has answered since the start
	orders *duty.Orders  // the list's actor owns it

	mu        sync.Mutex
	state     handover.State // what was ordered
	left      bool           // a younger process takes over
	successor int64          // which one: when it was born
	final     bool           // it has handed over all, and takes over no more
}

// newOperation returns nil where nothing is run by hand.
func newOperation(cfg *config.Config, log *zap.Logger) *operation {
	if cfg.Admin == "" {
		return nil
	}
	o := &operation{cfg: cfg, gate: new(duty.Gate), counts: broker.NewCounters(len(cfg.Classes)), orders: duty.NewOrders(), log: log, fresh: make(chan struct{})}
	if cfg.Temp == "" {
		return o
	}
	folder, err := handover.Open(cfg.Temp, cfg.Name, cfg.Listen)
	if err == nil {
		o.self, err = folder.Enter(time.Now())
	}
	if err != nil {
		trouble(log, err)
		return o
	}
	o.folder = folder
	others := o.look()
	if others.Alive == 0 {
		folder.Forget()
	}
	o.take()
	if others.Alive == 0 && o.state.Away.Out {
		// A manager that is started anew serves. Only an upgrade goes on sending clients away.
		o.Drain(context.Background(), false)
	}
	return o
}

// trouble logs an error that an operator can do something about.
func trouble(log *zap.Logger, err error) {
	log.Warn("operation", remedy.Fields(err)...)
}

// over lays the orders over the list, on its way to sink.
func (o *operation) over(sink directory.Sink) directory.Sink {
	if o == nil {
		return sink
	}
	o.sink = sink
	return func(c directory.Change) { sink(o.orders.Listed(c)) }
}

// Gate is nil where nothing is run by hand.
func (o *operation) Gate() *duty.Gate {
	if o == nil {
		return nil
	}
	return o.gate
}

func (o *operation) Counts() *broker.Counters {
	if o == nil {
		return nil
	}
	return o.counts
}

// Shared tells whether another process has half of the descriptors.
func (o *operation) Shared() bool { return o != nil && o.shared.Load() }

// callers is how many may be connected at once.
func (o *operation) callers() int {
	if o.Shared() {
		return o.cfg.Half().CallerConns()
	}
	return o.cfg.CallerConns()
}

// run answers calls and looks after the other process, until ctx ends.
func (o *operation) run(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// Guard: the configuration's list may be hours old at an upgrade, and what stands
		// at a node that is not listed can't be taken over. A coordinator that stands
		// still keeps nobody from serving.
		select {
		case <-o.fresh:
		case <-time.After(freshTime):
		case <-ctx.Done():
		}
		o.serves()
		return nil
	})
	if o.folder != nil {
		group.Go(func() error { return o.watch(ctx) })
	}
	group.Go(func() error { return admin.Serve(ctx, l, o.callers, o, o.log) })
	return group.Wait()
}

// listed notes that the coordinator has answered. The list's actor calls it.
func (o *operation) listed() {
	if o == nil {
		return
	}
	select {
	case <-o.fresh:
	default:
		close(o.fresh)
	}
}

func (o *operation) serves() {
	o.ready.Store(true)
	o.mark()
}

// mark tells the other processes whether this one serves. Guard: an older one leaves what
// stands to it by that, so it is not to be told by one that has been asked to end.
func (o *operation) mark() {
	if o.self == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err := o.self.Serves(o.Ready()); err != nil {
		trouble(o.log, err)
	}
}

func (o *operation) watch(ctx context.Context) error {
	tick := time.NewTicker(watchTime)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			before := o.shared.Load()
			o.look()
			if changed := o.take(); changed != nil {
				o.nodes.After(func() { o.apply(changed) })
			}
			o.takeOver()
			if before && !o.shared.Load() {
				o.folder.Forget() // what a process that was killed left is for nobody else
			}
		}
	}
}

// look shares the limits while another process is alive. Guard: the watch and a signal
// may look at once; the limits are those of who looked last.
func (o *operation) look() handover.Others {
	if o.self == nil {
		return handover.Others{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	others, err := o.self.Others()
	if err != nil {
		return others
	}
	if shared := others.Alive > 0; o.shared.Swap(shared) != shared {
		part := int64(1)
		if shared {
			part = 2
		}
		debug.SetMemoryLimit(int64(o.cfg.MemoryMB) << 20 * 3 / 4 / part)
		o.log.Info("processes of this manager", zap.Int("others", others.Alive))
	}
	return others
}

// take takes what another process stored. It returns the orders for nodes, if any are new.
func (o *operation) take() map[string]duty.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.taken()
}

// taken is take, under o.mu.
func (o *operation) taken() map[string]duty.Order {
	stored, changed, err := o.folder.Orders()
	if err != nil {
		trouble(o.log, err)
	}
	if !changed {
		return nil
	}
	away := o.state.Away
	if !o.state.Merge(stored) {
		return nil
	}
	if o.state.Away != away {
		o.away(o.state.Away)
	}
	return stored.Nodes
}

// takeOver takes what an older process hands over.
func (o *operation) takeOver() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.final {
		return
	}
	for {
		e, changed, err := o.self.Handover()
		if err != nil {
			trouble(o.log, err)
		}
		if !changed {
			return
		}
		o.core.Adopt(e, o.front.Viewer)
	}
}

// Hand returns what takes what stands once a younger process takes over; nil where none
// ever does. It does not wait: the disk may.
func (o *operation) Hand() func(broker.Handover) {
	if o == nil || o.folder == nil {
		return nil
	}
	return func(e broker.Handover) { go o.handOver(e) }
}

// last hands over what stands when the broker has ended, if it has handed over before.
func (o *operation) last(core *broker.Broker) {
	if o != nil && o.left {
		o.handOver(core.Handover())
	}
}

func (o *operation) handOver(e broker.Handover) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.folder == nil || o.final {
		return
	}
	o.final = e.Final
	// Guard: the successor may have ended, or may end itself, since it was chosen.
	if others, err := o.self.Others(); err == nil {
		o.successor = others.Successor(o.successor)
	}
	if err := o.self.StoreHandover(e, o.successor); err != nil {
		trouble(o.log, err)
	}
}

func (o *operation) away(order duty.Order) {
	if order.Out {
		o.gate.Shut(order.At)
	} else {
		o.gate.Open()
	}
}

// apply has orders bind, on the list's actor.
func (o *operation) apply(orders map[string]duty.Order) {
	if c := o.orders.Take(orders); len(c.Members) > 0 {
		o.sink(c)
	}
}

// settle lays the orders that stand over the list of the start.
func (o *operation) settle() {
	if o != nil {
		o.orders.Take(o.state.Nodes)
	}
}

// store keeps what is ordered for the next process.
func (o *operation) store(order handover.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Merge(order)
	if o.folder == nil {
		return
	}
	if changed := o.taken(); changed != nil {
		o.nodes.After(func() { o.apply(changed) })
	}
	if err := o.folder.StoreOrders(o.state); err != nil {
		trouble(o.log, err)
	}
}

// leave tells whether a younger process takes over, and leads clients there.
func (o *operation) leave(listeners ...net.Listener) bool {
	if o == nil {
		return false
	}
	o.ended.Store(true)
	o.mark()
	others := o.look()
	if len(others.Younger) == 0 {
		return false
	}
	if n := len(others.Younger); n > 1 {
		o.log.Info("several younger processes serve; the youngest takes over what stands", zap.Int("serve", n), zap.Int64("born", others.Younger[0]))
	}
	for _, l := range listeners {
		if l == nil || !others.Alone {
			continue
		}
		if err := handover.LeadAway(l); err != nil {
			o.log.Warn("new connections are not led to the younger process", zap.Error(err))
		}
	}
	o.gate.Move(time.Now())
	o.left = true
	return true
}

func (o *operation) close() {
	if o != nil && o.self != nil {
		o.self.Leave()
	}
}

// The calls of admin.Program.

func (o *operation) Ready() bool { return o.ready.Load() && !o.ended.Load() }

func (o *operation) Figures(ctx context.Context) (admin.Figures, error) {
	by := func(counts []atomic.Int64) map[string]int64 {
		m := make(map[string]int64, len(counts))
		for i := range counts {
			m[o.cfg.Classes[i]] = counts[i].Load()
		}
		return m
	}
	c, err := o.core.Stats(ctx)
	if err != nil {
		return admin.Figures{}, &admin.Late{What: "the figures"}
	}
	type size struct{ listed, out int }
	sizes := make(chan size, 1)
	o.nodes.After(func() {
		listed, out := o.orders.Size()
		sizes <- size{listed, out}
	})
	var n size
	select {
	case n = <-sizes:
	case <-ctx.Done():
		return admin.Figures{}, &admin.Late{What: "the figures"}
	}
	return admin.Figures{
		OK: by(o.counts.Served), Shed: by(o.counts.Refused), Errors: by(o.counts.Failed), Tries: o.counts.Attempts.Load(),
		Active: c.Open + c.Playing, Size: n.listed, Ejected: n.out + c.Avoided,
	}, nil
}

func (o *operation) Out(ctx context.Context, member string, out bool) error {
	order := duty.Order{Out: out, At: time.Now()}
	done := make(chan error, 1)
	o.nodes.After(func() {
		c, known := o.orders.Give(member, order)
		if !known {
			listed, _ := o.orders.Size()
			done <- &admin.UnknownMember{Member: member, Listed: listed}
			return
		}
		if len(c.Members) > 0 {
			o.sink(c)
		}
		o.store(handover.State{Nodes: map[string]duty.Order{member: order}})
		done <- nil
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &admin.Late{What: "the order for " + member}
	}
}

func (o *operation) Drain(_ context.Context, on bool) error {
	order := duty.Order{Out: on, At: time.Now()}
	o.mu.Lock()
	if was := o.state.Away; was.Out == on {
		order = was // a call that is repeated moves no time
	}
	o.mu.Unlock()
	o.away(order)
	o.store(handover.State{Away: order})
	return nil
}
