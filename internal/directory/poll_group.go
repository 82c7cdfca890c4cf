package directory

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/diagnostic"
)

// pollGroup polls the coordinator at one address. It uses one connection, and opens another when
// the response there is overdue. The overdue response is still awaited meanwhile.
//
// Guard: a response that comes late counts. If the connection were replaced at that time and the
// next one got the same time, a coordinator slower than that would never be heard.
type pollGroup struct {
	client  *CoordinatorClient
	addr    string
	events  chan pollEvent
	ended   chan struct{} // closed once events are not read any more
	running sync.WaitGroup

	newest  *pollConn // the connection that is polled on; nil: none is open
	overdue *pollConn // an earlier connection, whose response is still awaited; nil: none
	closing *pollConn // the newest one while it is being closed for the next; nil: it is not
	maxWait time.Duration
	redial  *time.Timer // fires when the next connection is to be opened
}

// pollEvent is what happened on a connection.
type pollEvent struct {
	conn   *pollConn
	kind   pollEventKind
	err    error // why it is overdue, or why it ended; nil: it ended in order
	anyNew bool  // the connection has brought a new update
}

type pollEventKind uint8

const (
	pollAnswered pollEventKind = iota // a response was applied
	pollOverdue                       // a response, or the connection itself, is overdue
	pollEnded                         // the connection is closed
)

func newPollGroup(c *CoordinatorClient, addr string) *pollGroup {
	return &pollGroup{client: c, addr: addr, events: make(chan pollEvent), ended: make(chan struct{}), redial: time.NewTimer(time.Hour)}
}

// run polls until ctx ends. The coordinator may hold the polls for firstWait until it has
// responded once or is overdue, and for pollWait from then on: a poll that must not be held is
// thus repeated as such if its connection breaks.
func (g *pollGroup) run(ctx context.Context, firstWait time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer g.running.Wait()
	defer close(g.ended)
	defer cancel()
	defer g.redial.Stop()
	g.maxWait = firstWait
	select {
	case <-g.client.pollRequested: // PollNow was called before the first poll
		g.maxWait = 0
	default:
	}
	g.open(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.client.pollRequested:
			g.maxWait = 0
			g.replaceNewest(ctx)
		case <-g.redial.C:
			g.open(ctx)
		case e := <-g.events:
			g.handle(ctx, e)
		}
	}
}

// open opens the connection that is polled on from now on.
func (g *pollGroup) open(ctx context.Context) {
	g.redial.Stop()
	connCtx, cancel := context.WithCancel(ctx)
	conn := &pollConn{client: g.client, addr: g.addr, cancel: cancel}
	conn.notify = func(kind pollEventKind, err error) {
		select {
		case g.events <- pollEvent{conn: conn, kind: kind, err: err, anyNew: conn.broughtNew.Load()}:
		case <-g.ended:
		}
	}
	g.newest = conn
	maxWait := g.maxWait
	g.running.Go(func() {
		defer cancel()
		conn.notify(pollEnded, conn.run(connCtx, maxWait))
	})
}

// replaceNewest opens another connection. The newest one is kept for its response, or closed if
// there is an earlier one, whose response should come first.
func (g *pollGroup) replaceNewest(ctx context.Context) {
	switch {
	case g.closing != nil:
		return
	case g.newest != nil && g.overdue != nil:
		g.closing = g.newest
		g.closing.cancel()
		return
	case g.newest != nil:
		g.overdue = g.newest
	}
	g.open(ctx)
}

func (g *pollGroup) handle(ctx context.Context, e pollEvent) {
	switch e.kind {
	case pollAnswered:
		g.handleAnswer(e)
	case pollOverdue:
		if e.conn != g.newest || e.conn == g.closing {
			return
		}
		g.log(ctx, e.err)
		g.maxWait = pollWait // the coordinator may be too slow for an immediate response
		g.replaceNewest(ctx)
	case pollEnded:
		g.handleEnd(ctx, e)
	}
}

// handleAnswer closes the connection that is not needed any more. Once the newest one has
// brought a response, the earlier one can bring nothing later.
func (g *pollGroup) handleAnswer(e pollEvent) {
	if e.conn != g.newest {
		e.conn.cancel()
		return
	}
	if e.conn != g.closing {
		g.maxWait = pollWait
	}
	if g.overdue != nil {
		g.overdue.cancel()
	}
}

func (g *pollGroup) handleEnd(ctx context.Context, e pollEvent) {
	g.log(ctx, e.err)
	if e.conn == g.overdue {
		g.overdue = nil
	}
	if e.conn != g.newest {
		return
	}
	g.newest = nil
	if e.anyNew || e.conn == g.closing {
		g.closing = nil
		g.open(ctx)
	} else {
		g.redial.Reset(redialDelay)
	}
}

// log logs an error that is not due to a connection closed here.
func (g *pollGroup) log(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil && !errors.Is(err, context.Canceled) {
		g.client.Log.Warn("coordinator", diagnostic.Fields(err)...)
	}
}

// logLate logs a response that was overdue.
func (c *CoordinatorClient) logLate(addr string, took, maxWait time.Duration) {
	c.Log.Info("coordinator answered late", zap.String("address", addr), zap.Duration("took", took), zap.Duration("held up to", maxWait))
}
