package server

import (
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/broker"
	"millethinge/internal/handover"
)

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
