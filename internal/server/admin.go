package server

import (
	"context"
	"net"
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

// close removes the mark of this process from the shared folder.
func (s *adminService) close() {
	if s != nil && s.process != nil {
		s.process.Unregister()
	}
}

// The following methods, SetDisabled and SetDraining implement admin.Backend.

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
