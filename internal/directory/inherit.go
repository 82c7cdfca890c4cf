package directory

import (
	"time"

	"go.uber.org/zap"
)

// silentAfter is the time without a response after which the coordinator counts as silent here. It
// holds a poll for pollWait at most.
const silentAfter = 2 * pollWait

// inheritedList is the list that another process of the manager was told, while it is used in
// place of the one received here.
type inheritedList struct {
	snapshot Snapshot
	nodes    nodeSet
	behind   int // responses of the coordinator since that stay behind its index
}

// Inherit uses a list that another process of the manager was told, if it is newer than the one
// used here, until the coordinator has told this process what it has. used reports whether it is
// newer. The error is an *UpdateError.
func (c *CoordinatorClient) Inherit(s Snapshot) (used bool, err error) {
	if err := s.validate(); err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isOlderThan(&s) {
		return false, nil
	}
	next := &inheritedList{snapshot: s, nodes: newNodeSet(s.Nodes)}
	c.replaceList(c.nodesInUse(), next.nodes)
	c.inherited = next
	return true, nil
}

// isOlderThan reports whether a snapshot of another process is newer than the list used here.
// c.mu is held.
//
// Guard: while the coordinator answers here, the list of another series of updates is not used: it may
// lack an update that this process has received, although a later one reached the other process.
func (c *CoordinatorClient) isOlderThan(s *Snapshot) bool {
	switch {
	case c.inherited != nil:
		return s.newerThan(&c.inherited.snapshot)
	case c.receivedAt.IsZero():
		return !c.known.newerThan(s)
	}
	received := c.receivedHeader()
	if !s.sameNumbering(&received) && s.ReceivedAt.Before(c.answeredAt.Add(silentAfter)) {
		return false
	}
	return s.newerThan(&received)
}

// nodesInUse returns the list that was passed on to Sink. c.mu is held.
func (c *CoordinatorClient) nodesInUse() nodeSet {
	if c.inherited != nil {
		return c.inherited.nodes
	}
	return c.received
}

// replaceList passes the difference between two lists on to Sink. c.mu is held.
func (c *CoordinatorClient) replaceList(from, to nodeSet) {
	if change := from.changeTo(to, c.Names); len(change.Members) > 0 {
		c.Sink(change)
	}
}

// reviewInherited replaces the inherited list by the received one once the coordinator has told
// all that it has. c.mu is held.
//
// Guard: what the coordinator tells later wins, whatever the numbers. Only a response that stays
// behind the inherited index in the same series may come from a replica that lags, so the coordinator
// is asked again at once, on a new connection. If it stays behind maxBehind times, it numbers its
// updates anew, and the list in the configuration is not the beginning of the new series.
func (c *CoordinatorClient) reviewInherited(response *Updates) {
	moreToCome := len(response.Updates) > 0 && c.lastIndex < response.Index
	if c.inherited == nil || moreToCome || c.refetching() {
		return
	}
	header, snapshot := c.receivedHeader(), &c.inherited.snapshot
	if snapshot.sameNumbering(&header) && c.lastIndex < snapshot.Index {
		if c.inherited.behind++; c.inherited.behind >= maxBehind {
			c.startAnew(snapshot.Index, c.lastIndex)
		}
		c.PollNow()
		return
	}
	c.Log.Info("coordinator's list replaces the inherited one", zap.Uint64("event", c.lastIndex), zap.Uint64("inherited", snapshot.Index))
	nodes := c.inherited.nodes
	c.inherited = nil
	c.replaceList(nodes, c.received)
}

// receivedHeader returns the snapshot of what was received here, without the nodes. c.mu is held.
func (c *CoordinatorClient) receivedHeader() Snapshot {
	return Snapshot{Index: c.lastIndex, ReceivedAt: c.receivedAt, KnownHash: c.known.hash, Renumbered: c.renumbered}
}

// Snapshot returns the list for other processes of the manager, unless revision is that of the last
// change, and the new revision. ok is false if nothing has changed or if the coordinator has told
// this process nothing yet: an inherited list is stored by the process that was told.
func (c *CoordinatorClient) Snapshot(revision uint64) (s Snapshot, newRevision uint64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() || c.inherited != nil || c.refetching() || revision == c.revision {
		return s, revision, false
	}
	s = c.receivedHeader()
	s.Nodes = c.received.sorted()
	return s, c.revision, true
}

// IsNewerThan reports whether the coordinator has told this process something later than s.
func (c *CoordinatorClient) IsNewerThan(s *Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	received := c.receivedHeader()
	return !c.receivedAt.IsZero() && c.inherited == nil && received.newerThan(s)
}

// noteReceived records a response of the coordinator, and that it has brought something if it had an
// update or is the first. c.mu is held.
func (c *CoordinatorClient) noteReceived(now time.Time, anyUpdate bool) {
	c.answeredAt = now
	if anyUpdate || c.receivedAt.IsZero() {
		c.receivedAt = now
		c.revision++
	}
}
