package server

import (
	"context"
	"slices"
	"time"

	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/handover"
)

// Peers returns the messages to other processes of this manager, or nil where no player may
// come back to another process.
func (s *adminService) Peers() broker.Peers {
	if s == nil || s.mail == nil {
		return nil
	}
	return s.mail
}

// PlayerHandoverFunc returns the function by which the broker hands players' sessions over while
// it drains, or nil where that is not possible. The function does not block.
func (s *adminService) PlayerHandoverFunc() func(broker.PlayerHandover) {
	if s == nil || s.mail == nil {
		return nil
	}
	return func(h broker.PlayerHandover) { s.pendingPlayers.Store(&h) }
}

// startPeers lets the broker know the other processes before the fronts serve.
func (s *adminService) startPeers(sessionBroker *broker.Broker, nodeList *directory.List) {
	if s == nil {
		return
	}
	s.sessionBroker, s.nodeList = sessionBroker, nodeList
	if others, known := s.checkProcesses(); known {
		s.exchangeWithPeers(others, func() {
			s.mu.Lock()
			s.inheritListLocked()
			s.mu.Unlock()
			nodeList.ProcessPending() // the list's actor does not run yet
		})
	}
}

// awaitPeersNotice waits until the other processes, if there are any, have noticed this one.
//
// Guard: until then they set up what a player asks for again without a claim.
func (s *adminService) awaitPeersNotice(ctx context.Context) {
	if s == nil || s.mail == nil || !s.Shared() {
		return
	}
	select {
	case <-time.After(2 * processCheckInterval):
	case <-ctx.Done():
	}
}

// exchangeWithPeers passes on what other processes have sent and handed over about players, and
// sends what is for them.
//
// Guard: others must be found before the files are read. What a process that is not among them
// any more has stored is then complete, and reaches the broker before the news of its end.
// inheritList is as for adoptSessions.
func (s *adminService) exchangeWithPeers(others handover.Others, inheritList func()) {
	if s.mail == nil {
		return
	}
	handovers := s.loadPlayers()
	if len(handovers) > 0 {
		inheritList()
	}
	for _, h := range handovers {
		s.sessionBroker.AdoptPlayers(h.from, h.PlayerHandover)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	messages, err := s.mail.Receive()
	if err != nil {
		warnOperator(s.log, err)
	}
	for _, m := range messages {
		s.sessionBroker.HandlePeerMessage(m.From, m.Message)
	}
	s.updatePeers(others)
	s.storePendingPlayers()
	if err := s.mail.Flush(); err != nil {
		warnOperator(s.log, err)
	}
}

// receivedPlayers are players' sessions that a predecessor has handed over.
type receivedPlayers struct {
	from broker.PeerID
	broker.PlayerHandover
}

// loadPlayers returns the players' sessions that predecessors have handed over since the last call.
func (s *adminService) loadPlayers() (received []receivedPlayers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finalHandover {
		return nil
	}
	for {
		from, h, changed, err := s.process.LoadPlayers()
		if err != nil {
			warnOperator(s.log, err)
		}
		if !changed {
			return received
		}
		received = append(received, receivedPlayers{from, h})
	}
}

// updatePeers tells the broker which processes answer claims, if they have changed. s.mu is held.
func (s *adminService) updatePeers(others handover.Others) {
	var claimable []broker.PeerID
	for _, start := range others.Claimable {
		claimable = append(claimable, broker.PeerID(start))
	}
	slices.Sort(claimable)
	if slices.Equal(claimable, s.claimable) {
		return
	}
	s.sessionBroker.UpdatePeers(claimable)
	for _, peer := range s.claimable {
		if !slices.Contains(claimable, peer) {
			s.mail.Forget(peer)
		}
	}
	s.claimable = claimable
}

// storePendingPlayers stores what the broker hands over before the final handover. s.mu is held.
func (s *adminService) storePendingPlayers() {
	pending := s.pendingPlayers.Swap(nil)
	if pending == nil || s.finalHandover {
		return
	}
	s.storeListLocked(time.Now())
	s.chooseSuccessor()
	if err := s.process.StorePlayers(*pending, s.successorBorn); err != nil {
		warnOperator(s.log, err)
	}
}

// handOverPlayers hands players' sessions over for the last time, after the messages that the
// broker has sent.
func (s *adminService) handOverPlayers(sessionBroker *broker.Broker) {
	h, ok := sessionBroker.FinalPlayerHandover()
	if !ok || s.mail == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.mail.Flush(); err != nil {
		warnOperator(s.log, err)
	}
	s.pendingPlayers.Store(nil)
	s.storeListLocked(time.Now())
	s.chooseSuccessor()
	if err := s.process.StorePlayers(h, s.successorBorn); err != nil {
		warnOperator(s.log, err)
	}
}
