// Package media carries attempts to media nodes over RTSP. Each node has an
// actor with a mailbox, which owns the node's connections, attempts, standing
// sessions and probes.
package media

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/mailbox"
	"millethinge/internal/stall"
)

// inboxLimit bounds the attempts and probes that wait before one node. Ends,
// releases and rungs are bounded by the sessions and always pass.
const inboxLimit = 1024

// Config is what a Pool needs.
type Config struct {
	ClassNames        []string // names by class
	LoadFields        []string // of load reports
	ConnectTimeout    time.Duration
	ConnIdleTimeout   time.Duration // after which nodes close a connection
	StreamsPerConn    int           // set-ups open on one connection
	MaxConns          int           // connections to all nodes
	DrainGrace        time.Duration // after which nothing goes to a node that drains
	DisableProbes     bool          // nodes may not be tested
	MaxConnsInUpgrade int           // of them while Shared says so
	UpgradeInProgress func() bool   // another process has its half of the descriptors; nil: none ever has
	OnSetUpSent       func()        // told of each SETUP that is written whole; nil: nobody
	Report            func(broker.Report)
	OnPause           func(time.Duration) // told when the program has stood still; Fresh is to follow; nil: nobody
	Log               *zap.Logger
}

// Pool is the nodes of the list.
type Pool struct {
	cfg        Config
	group      *errgroup.Group
	ctx        context.Context
	openConns  atomic.Int64
	pauseWatch stall.Detector

	mu    sync.RWMutex
	nodes map[control.ServerID]*node
}

func (c *Config) upgrading() bool { return c.UpgradeInProgress != nil && c.UpgradeInProgress() }

// connLimit is how many connections may be open now.
func (c *Config) connLimit() int64 {
	if c.upgrading() {
		return int64(c.MaxConnsInUpgrade)
	}
	return int64(c.MaxConns)
}

// NewPool returns a Pool whose actors run in group until ctx ends.
func NewPool(ctx context.Context, group *errgroup.Group, cfg Config) *Pool {
	return &Pool{cfg: cfg, group: group, ctx: ctx, nodes: make(map[control.ServerID]*node),
		pauseWatch: stall.Detector{Threshold: stall.ThresholdForGrace(cfg.DrainGrace)}}
}

// Apply takes a change to the list. A node's state binds its next SETUP as soon
// as Apply returns, before the module hears of it.
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
				p.pauseWatch.Reset(time.Now()) // nodes' ticks are its beats
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

// checkPause notes that the program runs, and tells whether set-ups are held back.
//
// Guard: a program that was stopped and goes on believes a list that may be older
// than a drain's grace: what drained meanwhile would get what had been queued, and what was
// read first. Nothing is sent until the list has been asked again, or can't be.
func (p *Pool) checkPause(now time.Time) (held bool) {
	if pause := p.pauseWatch.Heartbeat(now); pause > 0 {
		p.cfg.Log.Warn("the program stood still; the list is asked again", zap.Duration("for", pause))
		if p.cfg.OnPause != nil {
			p.cfg.OnPause(pause)
		}
	}
	return p.pauseWatch.Stale(now)
}

// ListRefreshed tells that the list has answered what was asked at a time, and that Apply
// has been told of it.
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

// markAddrOwnerGone takes a new node's address from whichever had it, but for those that
// the same change names. Guard: the old one's process is gone before the list
// says so, and what is meant for it must not reach its successor.
func (p *Pool) markAddrOwnerGone(addr string, changed []directory.Member) {
	for _, n := range p.nodes {
		same := func(m directory.Member) bool { return m.Server == n.server }
		if n.member.Addr == addr && !slices.ContainsFunc(changed, same) {
			n.state.Store(int32(control.Gone))
			n.inbox.Force(listChange{n.member})
		}
	}
}

// remove drops a node that is gone and has nothing left to do.
func (p *Pool) remove(n *node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !n.inbox.Empty() || control.ServerState(n.state.Load()) != control.Gone {
		return false
	}
	delete(p.nodes, n.server)
	return true
}

// post hands a message to a node's actor.
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

// The calls of broker.Nodes.

func (p *Pool) SetUp(s control.ServerID, a broker.Attempt) bool {
	return p.post(s, setUpRequest{a}, true)
}

func (p *Pool) Abandon(s control.ServerID, id control.SessionID, number int, timedOut bool) {
	p.post(s, abandonRequest{id, number, timedOut}, false)
}

func (p *Pool) AddEstablished(s control.ServerID, id control.SessionID) bool {
	return p.post(s, adoptRequest{id}, false)
}

func (p *Pool) Release(s control.ServerID, id control.SessionID, cause int) {
	p.post(s, releaseRequest{id, cause}, false)
}

func (p *Pool) SetRung(s control.ServerID, id control.SessionID, rung int) {
	p.post(s, setRungRequest{id, rung}, false)
}

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
	resumeSetUps struct{} // what was held back may be sent
	listChange   struct{ member directory.Member }
	dialResult   struct {
		conn         *conn
		err          error
		addr         string
		lossesAtDial int // node.breaks when it was begun
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

// inbox is a node's mailbox.
type inbox = mailbox.Box[any]
