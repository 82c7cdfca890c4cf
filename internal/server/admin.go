package server

import (
	"context"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/control"
	"millethinge/internal/admin"
	"millethinge/internal/broker"
	"millethinge/internal/config"
	"millethinge/internal/diagnostic"
	"millethinge/internal/directory"
	"millethinge/internal/front/jsonl"
	"millethinge/internal/front/peer"
	"millethinge/internal/handover"
	"millethinge/internal/override"
)

// processCheckInterval is the time between two checks for other processes of this manager
// and for operator overrides that they stored. A check takes a few microseconds.
const processCheckInterval = 50 * time.Millisecond

// claimCheckInterval is the time between two such checks while other processes may send claims:
// players' set-ups wait for them.
const claimCheckInterval = 10 * time.Millisecond

// coordinatorTimeout bounds the time that readiness waits for the coordinator's first
// answer.
const coordinatorTimeout = 2 * time.Second

// adminService answers operators' calls, keeps operator overrides, and hands over to and
// from other processes of this manager in an upgrade. It exists only where an admin address
// is configured; a nil adminService stands for none, and most methods accept it.
type adminService struct {
	cfg           *config.Config
	gate          *override.Gate
	counts        *broker.Counters
	rejections    peer.Rejections
	nodeList      *directory.List
	listSink      directory.Sink // takes list changes to which the overrides have been applied
	sessionBroker *broker.Broker
	linesFront    *jsonl.Front
	log           *zap.Logger

	folder              *handover.Folder // shared by the processes of this manager; nil: none
	process             *handover.Process
	mail                *handover.Mail // to other processes, about sessions that must not be set up twice; nil: there are none
	shared              atomic.Bool    // whether another process of this manager is alive
	ready               atomic.Bool
	stopping            atomic.Bool                           // set once this process is asked to end
	coordinatorAnswered chan struct{}                         // closed at the coordinator's first answer since the start
	pendingPlayers      atomic.Pointer[broker.PlayerHandover] // to be stored for the successor; nil: nothing new
	overrides           *override.Overrides                   // owned by the list's actor goroutine

	mu                 sync.Mutex
	overrideState      handover.StoredOverrides // the overrides as they are stored for other processes
	handingOver        bool                     // whether this process leaves its sessions to a successor
	handingPlayersOver bool                     // whether the successor takes over players that may reconnect, too
	successorBorn      int64                    // identifies the successor: the time at which it started
	claimable          []broker.PeerID          // the processes that the broker knows to answer claims
	sources            listSources              // of the list that is shared with other processes
	finalHandover      bool                     // whether this process has handed over for the last time, and adopts no more
}

// newAdminService returns nil where no admin address is configured.
func newAdminService(cfg *config.Config, log *zap.Logger) *adminService {
	if cfg.AdminListen == "" {
		return nil
	}
	s := &adminService{cfg: cfg, gate: new(override.Gate), counts: broker.NewCounters(len(cfg.ClassNames)), overrides: override.NewOverrides(), log: log, coordinatorAnswered: make(chan struct{})}
	if cfg.SharedDir == "" {
		return s
	}
	folder, err := handover.Open(cfg.SharedDir, cfg.Name, cfg.Listen)
	if err == nil {
		s.process, err = folder.Register(time.Now())
	}
	if err != nil {
		warnOperator(log, err)
		return s
	}
	s.folder = folder
	if cfg.Operator.WebSocket != nil || anySetUpOnce(&cfg.Settings) {
		if s.mail, err = s.process.OpenMail(); err != nil {
			warnOperator(log, err)
		}
	}
	others, _ := s.checkProcesses()
	if others.Alive == 0 {
		folder.RemoveHandovers()
	}
	s.loadOverrides()
	if others.Alive == 0 && s.overrideState.Drain.Active {
		// A drain that an operator ordered continues through an upgrade only: a manager that
		// starts with no other process alive accepts clients.
		s.SetDraining(context.Background(), false)
	}
	return s
}

// anySetUpOnce reports whether set-ups of any class must not run twice. Other processes of this
// manager are then asked for a set-up before it is made.
func anySetUpOnce(settings *control.Settings) bool {
	return slices.ContainsFunc(settings.Classes, func(c control.Class) bool { return c.RepeatEffect != control.Idempotent })
}

// warnOperator logs an error that an operator can resolve.
func warnOperator(log *zap.Logger, err error) {
	log.Warn("handover folder could not be used", diagnostic.Fields(err)...)
}

// withOverrides returns a sink that applies the operator overrides to each change of the
// list before it passes the change to listSink.
func (s *adminService) withOverrides(listSink directory.Sink) directory.Sink {
	if s == nil {
		return listSink
	}
	s.listSink = listSink
	return func(c directory.Change) { listSink(s.overrides.ApplyListChange(c)) }
}

// Gate returns the gate by which a drain turns clients away, or nil for a nil s.
func (s *adminService) Gate() *override.Gate {
	if s == nil {
		return nil
	}
	return s.gate
}

// Counts returns the counts of results by class, or nil for a nil s.
func (s *adminService) Counts() *broker.Counters {
	if s == nil {
		return nil
	}
	return s.counts
}

// Rejections returns the counts of what the fronts reject.
func (s *adminService) Rejections() *peer.Rejections {
	if s == nil {
		return nil
	}
	return &s.rejections
}

// CountRejectedCall implements admin.Backend.
func (s *adminService) CountRejectedCall() { s.rejections.Count(peer.RejectedTooManyHeaders) }

// Shared reports whether another process of this manager is alive and has half of the file
// descriptors.
func (s *adminService) Shared() bool { return s != nil && s.shared.Load() }

// maxCallers returns how many operators' connections may be open at once.
func (s *adminService) maxCallers() int {
	if s.Shared() {
		return s.cfg.WithHalfSockets().MaxOperatorConns()
	}
	return s.cfg.MaxOperatorConns()
}

// run answers operators' calls and watches for other processes of this manager until ctx
// ends.
func (s *adminService) run(ctx context.Context, listener net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		// Guard: in an upgrade, the list in the configuration may be hours old, and an
		// established session on a node that is not listed can't be taken over. So
		// readiness waits for the coordinator, but only for a bounded time: a
		// coordinator that does not answer must not keep the manager from serving.
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

// noteCoordinatorAnswer records that the coordinator has answered. It must be called only
// from the list's actor goroutine.
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

// markReady marks this process as ready, for operators and for the other processes.
func (s *adminService) markReady() {
	s.ready.Store(true)
	s.publishReadiness()
}

// publishReadiness tells the other processes whether this one is ready. Guard: a predecessor
// leaves its established sessions to a process that is, so a process that has been asked to
// end must not appear ready.
func (s *adminService) publishReadiness() {
	if s.process == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.process.SetServing(s.Ready()); err != nil {
		warnOperator(s.log, err)
	}
}

// watchProcesses regularly checks for other processes, loads the overrides that they stored,
// and adopts the sessions that they hand over, until ctx ends.
func (s *adminService) watchProcesses(ctx context.Context) error {
	tick := time.NewTicker(processCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			s.checkOnProcesses(ctx)
			tick.Reset(s.checkInterval())
		}
	}
}

// checkInterval returns the time until the next check: shorter while claims of players may wait
// for it.
func (s *adminService) checkInterval() time.Duration {
	if s.mail != nil && s.Shared() {
		return claimCheckInterval
	}
	return processCheckInterval
}

// checkOnProcesses checks for other processes once, and handles what they have stored.
func (s *adminService) checkOnProcesses(ctx context.Context) {
	wasShared := s.shared.Load()
	others, known := s.checkProcesses()
	if overrides := s.loadOverrides(); overrides != nil {
		s.nodeList.AfterPending(func() { s.applyOverrides(overrides) })
	}
	s.shareList(ctx)
	awaitList := func() { s.inheritList(ctx) }
	s.adoptSessions(awaitList)
	if known {
		s.exchangeWithPeers(others, awaitList)
	}
	if wasShared && !s.shared.Load() {
		s.folder.RemoveHandovers() // no process is left to use the files of one that was killed
	}
}

// checkProcesses returns the other live processes of this manager, and halves the memory
// limit and the limits on connections while there are any. known is false if it could not find
// out. Guard: watchProcesses and the handling of a signal may call it
// at the same time; the limits are those of the last check.
func (s *adminService) checkProcesses() (others handover.Others, known bool) {
	if s.process == nil {
		return handover.Others{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	others, err := s.process.FindOthers()
	if err != nil {
		return others, false
	}
	if shared := others.Alive > 0; s.shared.Swap(shared) != shared {
		part := int64(1)
		if shared {
			part = 2
		}
		debug.SetMemoryLimit(int64(s.cfg.MemoryMB) << 20 * 3 / 4 / part)
		s.log.Info("processes of this manager", zap.Int("others", others.Alive))
	}
	return others, true
}

// loadOverrides merges the overrides that another process stored. It returns those for media
// nodes if any override is new, otherwise nil.
func (s *adminService) loadOverrides() map[string]override.Override {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loadOverridesLocked()
}

// loadOverridesLocked is loadOverrides for callers that hold s.mu.
func (s *adminService) loadOverridesLocked() map[string]override.Override {
	stored, changed, err := s.folder.LoadOverrides()
	if err != nil {
		warnOperator(s.log, err)
	}
	if !changed {
		return nil
	}
	previousDrain := s.overrideState.Drain
	if !s.overrideState.Merge(stored) {
		return nil
	}
	if s.overrideState.Drain != previousDrain {
		s.applyDrain(s.overrideState.Drain)
	}
	return stored.Nodes
}

// adoptSessions takes over the sessions that predecessors have handed over. inheritList has the list
// here include what other processes have stored.
//
// Guard: a predecessor stores its list before its sessions. The list is read after them, so that no
// session is at a media node that it lacks.
func (s *adminService) adoptSessions(inheritList func()) {
	for _, h := range s.loadHandovers() {
		inheritList()
		s.sessionBroker.Adopt(h, s.linesFront.InheritedClient)
	}
}

// loadHandovers returns what predecessors have handed over since the last call.
func (s *adminService) loadHandovers() (handovers []broker.Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finalHandover {
		return nil
	}
	for {
		h, changed, err := s.process.LoadHandover()
		if err != nil {
			warnOperator(s.log, err)
		}
		if !changed {
			return handovers
		}
		handovers = append(handovers, h)
	}
}

// HandoverFunc returns the function by which the broker hands its established sessions over
// to a successor, or nil where no successor is possible. The function does not block, since
// the write to disk may.
func (s *adminService) HandoverFunc() func(broker.Handover) {
	if s == nil || s.folder == nil {
		return nil
	}
	return func(h broker.Handover) { go s.handOver(h) }
}

// handOverRemaining hands over the sessions that are still established once the broker has
// ended, if this process is leaving its sessions to a successor.
func (s *adminService) handOverRemaining(sessionBroker *broker.Broker) {
	if s != nil && s.handingOver {
		s.handOverPlayers(sessionBroker)
		s.handOver(sessionBroker.FinalHandover())
	}
}

// handOver stores h for the successor, unless this process has handed over for the last time.
func (s *adminService) handOver(h broker.Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.folder == nil || s.finalHandover {
		return
	}
	s.finalHandover = h.Final
	s.storeListLocked(time.Now())
	s.chooseSuccessor()
	if err := s.process.StoreHandover(h, s.successorBorn); err != nil {
		warnOperator(s.log, err)
	}
}

// chooseSuccessor chooses the process that takes the sessions over. s.mu is held.
//
// Guard: the successor may have ended, or may have been asked to end, since it was chosen,
// so it is chosen anew.
func (s *adminService) chooseSuccessor() {
	if others, err := s.process.FindOthers(); err == nil {
		s.successorBorn = others.ChooseSuccessor(s.successorBorn)
	}
}

// applyDrain closes or opens the gate for clients as ordered.
func (s *adminService) applyDrain(override override.Override) {
	if override.Active {
		s.gate.StartDrain(override.At)
	} else {
		s.gate.StopDrain()
	}
}

// applyOverrides puts overrides for media nodes into effect. It must be called only from the
// list's actor goroutine.
func (s *adminService) applyOverrides(overrides map[string]override.Override) {
	if c := s.overrides.Merge(overrides); len(c.Members) > 0 {
		s.listSink(c)
	}
}

// restoreOverrides applies the stored overrides to the initial list.
func (s *adminService) restoreOverrides() {
	if s != nil {
		s.overrides.Merge(s.overrideState.Nodes)
	}
}

// storeOverrides merges newer overrides and stores the result for the other processes.
func (s *adminService) storeOverrides(newer handover.StoredOverrides) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overrideState.Merge(newer)
	if s.folder == nil {
		return
	}
	if overrides := s.loadOverridesLocked(); overrides != nil {
		s.nodeList.AfterPending(func() { s.applyOverrides(overrides) })
	}
	if err := s.folder.StoreOverrides(s.overrideState); err != nil {
		warnOperator(s.log, err)
	}
}

// leaveToSuccessor marks this process as stopping and reports whether a successor takes over.
// If one does, new connections are directed to it, and this process's established sessions
// are left to it.
func (s *adminService) leaveToSuccessor(listeners ...net.Listener) bool {
	if s == nil {
		return false
	}
	s.stopping.Store(true)
	s.publishReadiness()
	others, _ := s.checkProcesses()
	if len(others.Successors) == 0 {
		return false
	}
	if n := len(others.Successors); n > 1 {
		s.log.Info("several younger processes serve; the youngest takes over the established sessions", zap.Int("serve", n), zap.Int64("born", others.Successors[0]))
	}
	for _, l := range listeners {
		if l == nil || !others.AtMostOneSeen {
			continue
		}
		if err := handover.DirectToSuccessor(l); err != nil {
			s.log.Warn("new connections are not led to the younger process", zap.Error(err))
		}
	}
	s.gate.StartHandover(time.Now())
	s.handingOver = true
	s.handingPlayersOver = s.mail != nil && slices.Contains(others.Claimable, others.Successors[0])
	return true
}

// close removes the mark of this process from the shared folder.
func (s *adminService) close() {
	if s != nil && s.process != nil {
		s.process.Unregister()
	}
}

// The following methods implement admin.Backend.

// Ready reports whether this process serves and has not been asked to end.
func (s *adminService) Ready() bool { return s.ready.Load() && !s.stopping.Load() }

// Metrics returns the counts of results, sessions and media nodes.
func (s *adminService) Metrics(ctx context.Context) (admin.Metrics, error) {
	perClass := func(counts []atomic.Int64) map[string]int64 {
		m := make(map[string]int64, len(counts))
		for i := range counts {
			m[s.cfg.ClassNames[i]] = counts[i].Load()
		}
		return m
	}
	c, err := s.sessionBroker.Stats(ctx)
	if err != nil {
		return admin.Metrics{}, &admin.TimeoutError{Operation: "the figures"}
	}
	type size struct{ listed, disabled int }
	memberCounts := make(chan size, 1)
	s.nodeList.AfterPending(func() {
		listed, disabled := s.overrides.NodeCounts()
		memberCounts <- size{listed, disabled}
	})
	var members size
	select {
	case members = <-memberCounts:
	case <-ctx.Done():
		return admin.Metrics{}, &admin.TimeoutError{Operation: "the figures"}
	}
	return admin.Metrics{
		OK: perClass(s.counts.Served), Shed: perClass(s.counts.Refused), Errors: perClass(s.counts.Failed), AttemptsSent: s.counts.Attempts.Load(),
		Active: c.Open + c.Playing, PoolSize: members.listed, PoolEjected: members.disabled + c.Avoided,
		Rejected: s.rejections.Counts(),
	}, nil
}

// SetDisabled disables a media node, or enables it again.
func (s *adminService) SetDisabled(ctx context.Context, member string, disable bool) error {
	ordered := override.Override{Active: disable, At: time.Now()}
	done := make(chan error, 1)
	s.nodeList.AfterPending(func() {
		c, known := s.overrides.Set(member, ordered)
		if !known {
			listed, _ := s.overrides.NodeCounts()
			done <- &admin.UnknownMemberError{Member: member, ListedCount: listed}
			return
		}
		if len(c.Members) > 0 {
			s.listSink(c)
		}
		s.storeOverrides(handover.StoredOverrides{Nodes: map[string]override.Override{member: ordered}})
		done <- nil
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return &admin.TimeoutError{Operation: "the order for " + member}
	}
}

// SetDraining begins or ends a drain of clients.
func (s *adminService) SetDraining(_ context.Context, on bool) error {
	override := override.Override{Active: on, At: time.Now()}
	s.mu.Lock()
	if current := s.overrideState.Drain; current.Active == on {
		override = current // a repeated call keeps the time of the first
	}
	s.mu.Unlock()
	s.applyDrain(override)
	s.storeOverrides(handover.StoredOverrides{Drain: override})
	return nil
}
