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

// boxLimit bounds the attempts and probes that wait before one node. Ends,
// releases and rungs are bounded by the sessions and always pass.
const boxLimit = 1024

// Config is what a Pool needs.
type Config struct {
	Classes        []string // names by class
	Fields         []string // of load reports
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // after which nodes close a connection
	StreamsPerConn int           // set-ups open on one connection
	MaxConns       int           // connections to all nodes
	DrainGrace     time.Duration // after which nothing goes to a node that drains
	NoProbes       bool          // nodes may not be tested
	HalfConns      int           // of them while Shared says so
	Shared         func() bool   // another process has its half of the descriptors; nil: none ever has
	Tried          func()        // told of each SETUP that is written whole; nil: nobody
	Report         func(broker.Report)
	Stalled        func(time.Duration) // told when the program has stood still; Fresh is to follow; nil: nobody
	Log            *zap.Logger
}

// Pool is the nodes of the list.
type Pool struct {
	cfg   Config
	group *errgroup.Group
	ctx   context.Context
	conns atomic.Int64
	watch stall.Watch

	mu    sync.RWMutex
	nodes map[control.ServerID]*node
}

func (c *Config) shared() bool { return c.Shared != nil && c.Shared() }

// most is how many connections may be open now.
func (c *Config) most() int64 {
	if c.shared() {
		return int64(c.HalfConns)
	}
	return int64(c.MaxConns)
}

// NewPool returns a Pool whose actors run in group until ctx ends.
func NewPool(ctx context.Context, group *errgroup.Group, cfg Config) *Pool {
	return &Pool{cfg: cfg, group: group, ctx: ctx, nodes: make(map[control.ServerID]*node),
		watch: stall.Watch{After: stall.Within(cfg.DrainGrace)}}
}

// Apply takes a change to the list. A node's state binds its next SETUP as soon
// as Apply returns, before the module hears of it.
func (p *Pool) Apply(c directory.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range c.Members {
		if m.State == control.Ready && p.nodes[m.Server] == nil {
			p.replace(m.Addr, c.Members)
		}
	}
	for _, m := range c.Members {
		n := p.nodes[m.Server]
		if n == nil {
			if m.State == control.Gone {
				continue
			}
			if len(p.nodes) == 0 {
				p.watch.Start(time.Now()) // nodes' ticks are its beats
			}
			n = newNode(p, m)
			p.nodes[m.Server] = n
			n.state.Store(int32(m.State))
			p.group.Go(n.run)
			continue
		}
		n.member = m
		n.state.Store(int32(m.State))
		n.box.Force(listChange{m})
	}
}

// beat notes that the program runs, and tells whether set-ups are held back.
//
// Guard: a program that was stopped and goes on believes a list that may be older
// than a drain's grace: what drained meanwhile would get what had been queued, and what was
// read first. Nothing is sent until the list has been asked again, or can't be.
func (p *Pool) beat(now time.Time) (held bool) {
	if stood := p.watch.Beat(now); stood > 0 {
		p.cfg.Log.Warn("the program stood still; the list is asked again", zap.Duration("for", stood))
		if p.cfg.Stalled != nil {
			p.cfg.Stalled(stood)
		}
	}
	return p.watch.Held(now)
}

// Fresh tells that the list has answered what was asked at a time, and that Apply
// has been told of it.
func (p *Pool) Fresh(asked time.Time) {
	if !p.watch.Held(time.Now()) {
		return
	}
	p.watch.Fresh(asked)
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, n := range p.nodes {
		n.box.Force(goOn{})
	}
}

// replace takes a new node's address from whichever had it, but for those that
// the same change names. Guard: the old one's process is gone before the list
// says so, and what is meant for it must not reach its successor.
func (p *Pool) replace(addr string, named []directory.Member) {
	for _, n := range p.nodes {
		same := func(m directory.Member) bool { return m.Server == n.server }
		if n.member.Addr == addr && !slices.ContainsFunc(named, same) {
			n.state.Store(int32(control.Gone))
			n.box.Force(listChange{n.member})
		}
	}
}

// remove drops a node that is gone and has nothing left to do.
func (p *Pool) remove(n *node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !n.box.Empty() || control.ServerState(n.state.Load()) != control.Gone {
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
		return n.box.Put(m)
	}
	n.box.Force(m)
	return true
}

// The calls of broker.Nodes.

func (p *Pool) SetUp(s control.ServerID, a broker.Attempt) bool { return p.post(s, setUp{a}, true) }

func (p *Pool) GiveUp(s control.ServerID, id control.SessionID, number int, timedOut bool) {
	p.post(s, giveUp{id, number, timedOut}, false)
}

func (p *Pool) Stands(s control.ServerID, id control.SessionID) bool {
	return p.post(s, stands{id}, false)
}

func (p *Pool) Release(s control.ServerID, id control.SessionID, cause int) {
	p.post(s, release{id, cause}, false)
}

func (p *Pool) SetRung(s control.ServerID, id control.SessionID, rung int) {
	p.post(s, setRung{id, rung}, false)
}

func (p *Pool) Probe(s control.ServerID) {
	if p.cfg.NoProbes || !p.post(s, probe{}, true) {
		p.cfg.Report(broker.Report{Kind: broker.Probed, Server: s, Status: control.NotSent})
	}
}

// Messages to a node's actor.
type (
	setUp  struct{ broker.Attempt }
	giveUp struct {
		id       control.SessionID
		number   int
		timedOut bool
	}
	stands  struct{ id control.SessionID }
	release struct {
		id    control.SessionID
		cause int
	}
	setRung struct {
		id   control.SessionID
		rung int
	}
	probe      struct{}
	goOn       struct{} // what was held back may be sent
	listChange struct{ member directory.Member }
	dialled    struct {
		conn   *conn
		err    error
		addr   string
		breaks int // node.breaks when it was begun
	}
	closed struct {
		conn *conn
		err  error
	}
	heard struct {
		conn *conn
		message
	}
)

var _ broker.Nodes = (*Pool)(nil)

// box is a node's mailbox.
type box = mailbox.Box[any]
