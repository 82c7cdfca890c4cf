// Package media sends session set-ups to media nodes over RTSP. Each node has an actor
// with an inbox, which owns the node's connections, attempts, established sessions and
// probes.
package media

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/mailbox"
	"millethinge/internal/pause"
)

// inboxLimit bounds the set-ups, probes and received messages that wait in one node's inbox.
// Releases, rungs and abandoned attempts are bounded by the number of sessions and are
// always taken.
const inboxLimit = 1024

// Config holds the settings and callbacks of a Pool.
type Config struct {
	ClassNames        []string            // by class
	LoadFields        []string            // names of the fields of load reports
	ConnectTimeout    time.Duration       // of a dial
	ConnIdleTimeout   time.Duration       // idle time after which nodes close a connection
	StreamsPerConn    int                 // maximum of open set-ups on one connection
	MaxConns          int                 // maximum of connections to all nodes
	DrainGrace        time.Duration       // time after which nothing may be sent to a node that drains
	DisableProbes     bool                // no probes are sent to nodes
	MaxConnsInUpgrade int                 // replaces MaxConns while UpgradeInProgress reports true
	UpgradeInProgress func() bool         // reports whether a second process of this manager (its predecessor or successor) runs, so that each may use only half of the descriptors; nil: never
	Dial              DialFunc            // opens connections; nil: over TCP
	OnSetUpSent       func()              // called for each SETUP that is written whole; may be nil
	Report            func(broker.Report) // called with each report to the broker
	OnPause           func(time.Duration) // called after a process pause: has the list fetched again, after which the caller calls Pool.ListRefreshed; may be nil
	Log               *zap.Logger
}

// DialFunc opens a connection to the address of a node.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Pool holds an actor for each media node in the list. It implements broker.Nodes.
type Pool struct {
	cfg        Config
	group      *errgroup.Group
	ctx        context.Context
	slots      connSlots
	pauseWatch pause.Detector

	mu    sync.RWMutex
	nodes map[control.ServerID]*node
}

// upgrading reports whether another process of this manager runs beside this one.
func (c *Config) upgrading() bool { return c.UpgradeInProgress != nil && c.UpgradeInProgress() }

// connLimit returns how many connections may be open now.
func (c *Config) connLimit() int {
	if c.upgrading() {
		return c.MaxConnsInUpgrade
	}
	return c.MaxConns
}

// NewPool returns a Pool whose actors run in group until ctx ends.
func NewPool(ctx context.Context, group *errgroup.Group, cfg Config) *Pool {
	if cfg.Dial == nil {
		dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	return &Pool{cfg: cfg, group: group, ctx: ctx, nodes: make(map[control.ServerID]*node),
		pauseWatch: pause.Detector{Threshold: pause.ThresholdForGrace(cfg.DrainGrace)}}
}

// Apply applies a change of the list. A node's new state holds for its next SETUP as soon
// as Apply returns, before the decision module is told of it.
func (p *Pool) Apply(change directory.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range change.Members {
		if m.State == control.Ready && p.nodes[m.Server] == nil {
			p.markAddrOwnerGone(m.Addr, change.Members)
		}
	}
	for _, m := range change.Members {
		n := p.nodes[m.Server]
		if n == nil {
			if m.State == control.Gone {
				continue
			}
			if len(p.nodes) == 0 {
				p.pauseWatch.Reset(time.Now()) // from now on the nodes' ticks call checkPause
			}
			n = newNode(p, m)
			p.nodes[m.Server] = n
			n.state.Store(int32(m.State))
			p.group.Go(n.run)
			continue
		}
		n.member = m
		n.state.Store(int32(m.State))
		n.inbox.Force(listChange{m})
	}
}

// checkPause records a heartbeat of this process, detects process pauses, and reports whether
// set-ups must wait.
//
// Guard: after a process pause the known list may be older than a drain's grace. Set-ups that
// are already queued, or taken from the inbox before the new list, would go to nodes that have
// drained meanwhile. No set-up is sent until the list has been fetched again, or the fetch has
// taken too long.
func (p *Pool) checkPause(now time.Time) (mustWait bool) {
	if pause := p.pauseWatch.Heartbeat(now); pause > 0 {
		p.cfg.Log.Warn("process was paused; fetching the list again", zap.Duration("for", pause))
		if p.cfg.OnPause != nil {
			p.cfg.OnPause(pause)
		}
	}
	return p.pauseWatch.Stale(now)
}

// ListRefreshed is called once Apply has received the answer to a request for the list that
// was made at the time asked. Set-ups that were held back are sent if that time is later than
// the end of the last process pause.
func (p *Pool) ListRefreshed(asked time.Time) {
	if !p.pauseWatch.Stale(time.Now()) {
		return
	}
	p.pauseWatch.Refreshed(asked)
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, n := range p.nodes {
		n.inbox.Force(resumeSetUps{})
	}
}

// markAddrOwnerGone marks as gone the node that had a new node's address, unless the same
// change names that node too.
//
// Guard: the old node's process is gone before the list says so, and what is meant for it
// must not reach the new node.
func (p *Pool) markAddrOwnerGone(addr string, changed []directory.Member) {
	for _, n := range p.nodes {
		same := func(m directory.Member) bool { return m.Server == n.server }
		if n.member.Addr == addr && !slices.ContainsFunc(changed, same) {
			n.state.Store(int32(control.Gone))
			n.inbox.Force(listChange{n.member})
		}
	}
}

// remove removes a node that is off the list and reports whether it did. A node with
// messages in its inbox stays.
func (p *Pool) remove(n *node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !n.inbox.Empty() || control.ServerState(n.state.Load()) != control.Gone {
		return false
	}
	delete(p.nodes, n.server)
	return true
}

// post puts a message into the inbox of a node's actor and reports whether it was taken. It is
// refused if no such node is listed, or if bounded is set and the inbox is full.
func (p *Pool) post(s control.ServerID, m any, bounded bool) bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	n := p.nodes[s]
	switch {
	case n == nil:
		return false
	case bounded:
		return n.inbox.Put(m)
	}
	n.inbox.Force(m)
	return true
}

// SetUp implements broker.Nodes.
func (p *Pool) SetUp(s control.ServerID, a broker.Attempt) bool {
	return p.post(s, setUpRequest{a}, true)
}

// Abandon implements broker.Nodes.
func (p *Pool) Abandon(s control.ServerID, id control.SessionID, number int, timedOut bool) {
	p.post(s, abandonRequest{id, number, timedOut}, false)
}

// AddEstablished implements broker.Nodes.
func (p *Pool) AddEstablished(s control.ServerID, id control.SessionID) bool {
	return p.post(s, adoptRequest{id}, false)
}

// Release implements broker.Nodes.
func (p *Pool) Release(s control.ServerID, id control.SessionID, cause int) {
	p.post(s, releaseRequest{id, cause}, false)
}

// SetRung implements broker.Nodes.
func (p *Pool) SetRung(s control.ServerID, id control.SessionID, rung int) {
	p.post(s, setRungRequest{id, rung}, false)
}

// Probe implements broker.Nodes. A probe that cannot be sent is reported with status NotSent.
func (p *Pool) Probe(s control.ServerID) {
	if p.cfg.DisableProbes || !p.post(s, probeRequest{}, true) {
		p.cfg.Report(broker.Report{Kind: broker.ReportProbed, Server: s, Status: control.NotSent})
	}
}

// Messages to a node's actor.
type (
	setUpRequest   struct{ broker.Attempt }
	abandonRequest struct {
		id       control.SessionID
		number   int
		timedOut bool
	}
	adoptRequest   struct{ id control.SessionID }
	releaseRequest struct {
		id    control.SessionID
		cause int
	}
	setRungRequest struct {
		id   control.SessionID
		rung int
	}
	probeRequest struct{}
	resumeSetUps struct{}                    // set-ups that were held back may be sent
	slotGranted  struct{}                    // the connection that waited for a slot may be opened
	evictRequest struct{ rank evictionRank } // close the first connection to evict, if its rank is no higher
	listChange   struct{ member directory.Member }
	dialResult   struct {
		conn             *conn
		err              error
		addr             string
		lossCountAtStart int // node.lossCount when the dial began
	}
	connClosed struct {
		conn *conn
		err  error
	}
	received struct {
		conn *conn
		message
	}
)

var _ broker.Nodes = (*Pool)(nil)

// inbox is the mailbox of a node's actor.
type inbox = mailbox.Box[any]
