package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/directory"
)

// listStoreRetryInterval is the time after which a list that could not be stored is stored again.
const listStoreRetryInterval = 5 * time.Second

// listSources are the sources of the list of media nodes that processes of this manager share.
type listSources struct {
	coordinator *directory.CoordinatorClient // nil: there is none
	discovery   *directory.DNSSDClient       // nil: there is none
	// listRevision and instancesRevision are those of what was last stored.
	listRevision, instancesRevision uint64
	retryAt                         time.Time // before it nothing is stored, since storing has failed
}

// startSharedList has the initial list include what other processes of this manager were told. It
// must be called before the list's actor runs.
//
// Guard: the list in the configuration may be as old as the start of the predecessor. While the
// sources of the list do not answer, media nodes that drain would get new sessions, and sessions at
// those that have joined could not be taken over.
func (s *adminService) startSharedList(coordinator *directory.CoordinatorClient, discovery *directory.DNSSDClient) {
	if s == nil || s.folder == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Coordinator != "" {
		s.sources.coordinator = coordinator
	}
	s.sources.discovery = discovery
	if !s.inheritListLocked() && s.sources.coordinator != nil && s.Shared() {
		s.log.Info("no newer list of media nodes handed over; serving by that of the configuration until the coordinator answers")
	}
	s.inheritInstancesLocked()
}

// shareList uses the list that other processes have stored, if it is newer than the one here, and
// stores what is new here.
func (s *adminService) shareList(ctx context.Context) {
	s.inheritList(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeListLocked(time.Now())
}

// inheritList uses the list that other processes have stored, if it is newer than the one here, and
// returns once the list's actor has passed it on. Until then, what is handed over about sessions
// can't be taken over. s.mu must not be held, since the actor may wait for it.
func (s *adminService) inheritList(ctx context.Context) {
	s.mu.Lock()
	changed := s.inheritListLocked()
	changed = s.inheritInstancesLocked() || changed
	s.mu.Unlock()
	if !changed {
		return
	}
	passedOn := make(chan struct{})
	s.nodeList.AfterPending(func() { close(passedOn) })
	select {
	case <-passedOn:
	case <-ctx.Done():
	}
}

// inheritListLocked uses the coordinator's list that another process has stored, if it is newer than
// the one here, and reports whether it is. s.mu is held.
func (s *adminService) inheritListLocked() (used bool) {
	if s.sources.coordinator == nil {
		return false
	}
	stored, changed, err := s.folder.LoadList()
	if err == nil && changed {
		used, err = s.sources.coordinator.Inherit(stored)
	}
	if err != nil {
		warnOperator(s.log, err)
	}
	if used {
		s.log.Info("list of media nodes taken over", zap.Uint64("event", stored.Index), zap.Int("nodes", len(stored.Nodes)), zap.Time("received", stored.ReceivedAt))
	} else if changed && s.sources.coordinator.IsNewerThan(&stored) {
		s.sources.listRevision = 0 // an older list has replaced this process's one
	}
	return used
}

// inheritInstancesLocked uses the DNS-SD instances that another process has stored, and reports
// whether it does. s.mu is held.
func (s *adminService) inheritInstancesLocked() (used bool) {
	if s.sources.discovery == nil {
		return false
	}
	stored, changed, err := s.folder.LoadInstances()
	count := 0
	if err == nil && changed {
		count, err = s.sources.discovery.Inherit(stored, time.Now())
	}
	if err != nil {
		warnOperator(s.log, err)
	}
	if count > 0 {
		s.log.Info("DNS-SD instances taken over", zap.Int("instances", count))
	}
	return count > 0
}

// storeListLocked stores what the sources of the list have told this process, if that is new. s.mu
// is held.
func (s *adminService) storeListLocked(now time.Time) {
	if s.folder == nil || now.Before(s.sources.retryAt) {
		return
	}
	if c := s.sources.coordinator; c != nil {
		if list, revision, changed := c.Snapshot(s.sources.listRevision); changed {
			s.noteListStored(&s.sources.listRevision, revision, s.folder.StoreList(list), now)
		}
	}
	if d := s.sources.discovery; d != nil {
		if instances, revision, changed := d.Instances(s.sources.instancesRevision); changed {
			s.noteListStored(&s.sources.instancesRevision, revision, s.folder.StoreInstances(instances), now)
		}
	}
}

// noteListStored records which revision was stored, or that storing it failed with err.
func (s *adminService) noteListStored(stored *uint64, revision uint64, err error, now time.Time) {
	if err != nil {
		s.sources.retryAt = now.Add(listStoreRetryInterval)
		warnOperator(s.log, err)
		return
	}
	*stored = revision
}
