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

// processCheckInterval is between two looks for another process of this manager and its orders. A
// look costs some microseconds.
const processCheckInterval = 50 * time.Millisecond

// coordinatorTimeout is how long readiness waits for the coordinator's first answer.
const coordinatorTimeout = 2 * time.Second

// adminService is how the program is run by hand: calls, orders, and the process that
// replaces this one. It exists only where the configuration gives an address for calls.
type adminService struct {
	cfg           *config.Config
	gate          *duty.Gate
	counts        *broker.Counters
	nodeList      *directory.List
	listSink      directory.Sink // of nodes, with the orders laid over
	sessionBroker *broker.Broker
	linesFront    *jsonl.Front
	log           *zap.Logger

	folder              *handover.Folder // nil: there is none
	process             *handover.Process
	shared              atomic.Bool // another process is alive
	ready               atomic.Bool
	stopping            atomic.Bool   // it is asked to end
	coordinatorAnswered chan struct{} // closed once the coordinator has answered since the start
	overrides           *duty.Orders  // the list's actor owns it

	mu            sync.Mutex
	overrideState handover.State // what was ordered
	handingOver   bool           // a younger process takes over
	successorBorn int64          // which one: when it was born
	finalHandover bool           // it has handed over all, and takes over no more
}

// newAdminService returns nil where nothing is run by hand.
func newAdminService(cfg *config.Config, log *zap.Logger) *adminService {
	if cfg.Admin == "" {
		return nil
	}
	s := &adminService{cfg: cfg, gate: new(duty.Gate), counts: broker.NewCounters(len(cfg.Classes)), overrides: duty.NewOrders(), log: log, coordinatorAnswered: make(chan struct{})}
	if cfg.Temp == "" {
		return s
	}
	folder, err := handover.Open(cfg.Temp, cfg.Name, cfg.Listen)
	if err == nil {
		s.process, err = folder.Enter(time.Now())
	}
	if err != nil {
		warnOperator(log, err)
		return s
	}
	s.folder = folder
	others := s.checkProcesses()
	if others.Alive == 0 {
		folder.Forget()
	}
	s.loadOverrides()
	if others.Alive == 0 && s.overrideState.Away.Out {
		// A manager that is started anew serves. Only an upgrade goes on sending clients away.
		s.Drain(context.Background(), false)
	}
	return s
}

// warnOperator logs an error that an operator can do something about.
func warnOperator(log *zap.Logger, err error) {
	log.Warn("operation", remedy.Fields(err)...)
}

// withOverrides lays the orders over the list, on its way to sink.
func (s *adminService) withOverrides(listSink directory.Sink) directory.Sink {
	if s == nil {
		return listSink
	}
	s.listSink = listSink
	return func(c directory.Change) { listSink(s.overrides.Listed(c)) }
}

// Gate is nil where nothing is run by hand.
func (s *adminService) Gate() *duty.Gate {
	if s == nil {
		return nil
	}
	return s.gate
}

func (s *adminService) Counts() *broker.Counters {
	if s == nil {
		return nil
	}
	return s.counts
}

// Shared tells whether another process has half of the descriptors.
func (s *adminService) Shared() bool { return s != nil && s.shared.Load() }

// maxCallers is how many may be connected at once.
func (s *adminService) maxCallers() int {
	if s.Shared() {
		return s.cfg.Half().CallerConns()
	}
	return s.cfg.CallerConns()
}

// run answers calls and looks after the other process, until ctx ends.
func (s *adminService) run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// Guard: the configuration's list may be hours old at an upgrade, and what stands
		// at a node that is not listed can't be taken over. A coordinator that stands
		// still keeps nobody from serving.
		select {
		case <-s.coordinatorAnswered:
		case <-time.After(coordinatorTimeout):
		case <-ctx.Done():
		}
		s.markReady()
		return nil
	})
	if s.folder != nil {
		group.Go(func() error { return s.watchProcesses(ctx) })
	}
	group.Go(func() error { return admin.Serve(ctx, listener, s.maxCallers, s, s.log) })
	return group.Wait()
}

// noteCoordinatorAnswer notes that the coordinator has answered. The list's actor calls it.
func (s *adminService) noteCoordinatorAnswer() {
	if s == nil {
		return
	}
	select {
	case <-s.coordinatorAnswered:
	default:
		close(s.coordinatorAnswered)
	}
}

func (s *adminService) markReady() {
	s.ready.Store(true)
	s.publishReadiness()
}

// publishReadiness tells the other processes whether this one serves. Guard: an older one leaves what
// stands to it by that, so it is not to be told by one that has been asked to end.
func (s *adminService) publishReadiness() {
	if s.process == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.process.Serves(s.Ready()); err != nil {
		warnOperator(s.log, err)
	}
}

func (s *adminService) watchProcesses(ctx context.Context) error {
	tick := time.NewTicker(processCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			wasShared := s.shared.Load()
			s.checkProcesses()
			if overrides := s.loadOverrides(); overrides != nil {
				s.nodeList.After(func() { s.applyOverrides(overrides) })
			}
			s.adoptSessions()
			if wasShared && !s.shared.Load() {
				s.folder.Forget() // what a process that was killed left is for nobody else
			}
		}
	}
}

// checkProcesses shares the limits while another process is alive. Guard: the watch and a signal
// may look at once; the limits are those of who looked last.
func (s *adminService) checkProcesses() handover.Others {
	if s.process == nil {
		return handover.Others{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	others, err := s.process.Others()
	if err != nil {
		return others
	}
	if shared := others.Alive > 0; s.shared.Swap(shared) != shared {
		part := int64(1)
		if shared {
			part = 2
		}
		debug.SetMemoryLimit(int64(s.cfg.MemoryMB) << 20 * 3 / 4 / part)
		s.log.Info("processes of this manager", zap.Int("others", others.Alive))
	}
	return others
}

// loadOverrides takes what another process stored. It returns the orders for nodes, if any are new.
func (s *adminService) loadOverrides() map[string]duty.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadOverridesLocked()
}

// loadOverridesLocked is take, under o.mu.
func (s *adminService) loadOverridesLocked() map[string]duty.Order {
	stored, changed, err := s.folder.Orders()
	if err != nil {
		warnOperator(s.log, err)
	}
	if !changed {
		return nil
	}
	previousDrain := s.overrideState.Away
	if !s.overrideState.Merge(stored) {
		return nil
	}
	if s.overrideState.Away != previousDrain {
		s.applyDrain(s.overrideState.Away)
	}
	return stored.Nodes
}

// adoptSessions takes what an older process hands over.
func (s *adminService) adoptSessions() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finalHandover {
		return
	}
	for {
		h, changed, err := s.process.Handover()
		if err != nil {
			warnOperator(s.log, err)
		}
		if !changed {
			return
		}
		s.sessionBroker.Adopt(h, s.linesFront.InheritedClient)
	}
}

// HandoverFunc returns what takes what stands once a younger process takes over; nil where none
// ever does. It does not wait: the disk may.
func (s *adminService) HandoverFunc() func(broker.Handover) {
	if s == nil || s.folder == nil {
		return nil
	}
	return func(h broker.Handover) { go s.handOver(h) }
}

// handOverRemaining hands over what stands when the broker has ended, if it has handed over before.
func (s *adminService) handOverRemaining(sessionBroker *broker.Broker) {
	if s != nil && s.handingOver {
		s.handOver(sessionBroker.Handover())
	}
}

func (s *adminService) handOver(h broker.Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.folder == nil || s.finalHandover {
		return
	}
	s.finalHandover = h.Final
	// Guard: the successor may have ended, or may end itself, since it was chosen.
	if others, err := s.process.Others(); err == nil {
		s.successorBorn = others.Successor(s.successorBorn)
	}
	if err := s.process.StoreHandover(h, s.successorBorn); err != nil {
		warnOperator(s.log, err)
	}
}

func (s *adminService) applyDrain(override duty.Order) {
	if override.Out {
		s.gate.Shut(override.At)
	} else {
		s.gate.Open()
	}
}

// applyOverrides has orders bind, on the list's actor.
func (s *adminService) applyOverrides(overrides map[string]duty.Order) {
	if c := s.overrides.Take(overrides); len(c.Members) > 0 {
		s.listSink(c)
	}
}

// restoreOverrides lays the orders that stand over the list of the start.
func (s *adminService) restoreOverrides() {
	if s != nil {
		s.overrides.Take(s.overrideState.Nodes)
	}
}

// storeOverrides keeps what is ordered for the next process.
func (s *adminService) storeOverrides(newer handover.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overrideState.Merge(newer)
	if s.folder == nil {
		return
	}
	if overrides := s.loadOverridesLocked(); overrides != nil {
		s.nodeList.After(func() { s.applyOverrides(overrides) })
	}
	if err := s.folder.StoreOrders(s.overrideState); err != nil {
		warnOperator(s.log, err)
	}
}

// leaveToSuccessor tells whether a younger process takes over, and leads clients there.
func (s *adminService) leaveToSuccessor(listeners ...net.Listener) bool {
	if s == nil {
		return false
	}
	s.stopping.Store(true)
	s.publishReadiness()
	others := s.checkProcesses()
	if len(others.Younger) == 0 {
		return false
	}
	if n := len(others.Younger); n > 1 {
		s.log.Info("several younger processes serve; the youngest takes over what stands", zap.Int("serve", n), zap.Int64("born", others.Younger[0]))
	}
	for _, l := range listeners {
		if l == nil || !others.Alone {
			continue
		}
		if err := handover.LeadAway(l); err != nil {
			s.log.Warn("new connections are not led to the younger process", zap.Error(err))
		}
	}
	s.gate.Move(time.Now())
	s.handingOver = true
	return true
}

func (s *adminService) close() {
	if s != nil && s.process != nil {
		s.process.Leave()
	}
}

// The calls of admin.Program.

func (s *adminService) Ready() bool { return s.ready.Load() && !s.stopping.Load() }

func (s *adminService) Figures(ctx context.Context) (admin.Figures, error) {
	perClass := func(counts []atomic.Int64) map[string]int64 {
		m := make(map[string]int64, len(counts))
		for i := range counts {
			m[s.cfg.Classes[i]] = counts[i].Load()
		}
		return m
	}
	c, err := s.sessionBroker.Stats(ctx)
	if err != nil {
		return admin.Figures{}, &admin.Late{What: "the figures"}
	}
	type size struct{ listed, out int }
	memberCounts := make(chan size, 1)
	s.nodeList.After(func() {
		listed, out := s.overrides.Size()
		memberCounts <- size{listed, out}
	})
	var members size
	select {
	case members = <-memberCounts:
	case <-ctx.Done():
		return admin.Figures{}, &admin.Late{What: "the figures"}
	}
	return admin.Figures{
		OK: perClass(s.counts.Served), Shed: perClass(s.counts.Refused), Errors: perClass(s.counts.Failed), Tries: s.counts.Attempts.Load(),
		Active: c.Open + c.Playing, Size: members.listed, Ejected: members.out + c.Avoided,
	}, nil
}

func (s *adminService) Out(ctx context.Context, member string, disable bool) error {
	override := duty.Order{Out: disable, At: time.Now()}
	done := make(chan error, 1)
	s.nodeList.After(func() {
		c, known := s.overrides.Give(member, override)
		if !known {
			listed, _ := s.overrides.Size()
			done <- &admin.UnknownMember{Member: member, Listed: listed}
			return
		}
		if len(c.Members) > 0 {
			s.listSink(c)
		}
		s.storeOverrides(handover.State{Nodes: map[string]duty.Order{member: override}})
		done <- nil
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &admin.Late{What: "the order for " + member}
	}
}

func (s *adminService) Drain(_ context.Context, on bool) error {
	override := duty.Order{Out: on, At: time.Now()}
	s.mu.Lock()
	if current := s.overrideState.Away; current.Out == on {
		override = current // a call that is repeated moves no time
	}
	s.mu.Unlock()
	s.applyDrain(override)
	s.storeOverrides(handover.State{Away: override})
	return nil
}
