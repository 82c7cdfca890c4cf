package server

import (
	"context"
	"time"

	"millethinge/internal/admin"
	"millethinge/internal/directory"
	"millethinge/internal/handover"
	"millethinge/internal/override"
)

// withOverrides returns a sink that applies the operator overrides to each change of the
// list before it passes the change to listSink.
func (s *adminService) withOverrides(listSink directory.Sink) directory.Sink {
	if s == nil {
		return listSink
	}
	s.listSink = listSink
	return func(c directory.Change) { listSink(s.overrides.ApplyListChange(c)) }
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
