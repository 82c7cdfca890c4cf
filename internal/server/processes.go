package server

import (
	"context"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/handover"
)

// processCheckInterval is the time between two checks for other processes of this manager
// and for operator overrides that they stored. A check takes a few microseconds.
const processCheckInterval = 50 * time.Millisecond

// claimCheckInterval is the time between two such checks while other processes may send claims:
// players' set-ups wait for them.
const claimCheckInterval = 10 * time.Millisecond

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
