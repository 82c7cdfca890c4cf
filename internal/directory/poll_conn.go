package directory

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// pollConn is a connection on which the coordinator is polled.
type pollConn struct {
	client     *CoordinatorClient
	addr       string
	cancel     context.CancelFunc
	notify     func(kind pollEventKind, err error) // called for each pollAnswered and pollOverdue
	broughtNew atomic.Bool                         // whether a response had a new update
}

// dialFunc opens a connection to an address within a time.
type dialFunc func(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error)

func dialTCP(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", addr)
}

// run polls on the connection until that can't be used any more, or ctx ends. The coordinator
// may hold the first poll for maxWait. The error is nil if the coordinator announced that it
// closes the connection, or if it responded without an update in less than half of maxWait.
//
// Of net/http only the parser of responses is used: its client would start goroutines of its
// own, and would repeat a poll on a broken connection within the deadline of the first one.
func (p *pollConn) run(ctx context.Context, maxWait time.Duration) error {
	conn, err := p.open(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	responses := newResponseReader(conn)
	for {
		goOn, err := p.poll(conn, responses, maxWait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil || !goOn {
			return err
		}
		maxWait = pollWait
	}
}

// open opens the connection.
func (p *pollConn) open(ctx context.Context) (net.Conn, error) {
	p.client.mu.Lock()
	bound := p.client.timing.patience.bound()
	p.client.mu.Unlock()
	overdue := time.AfterFunc(dialOverdue, func() {
		p.notify(pollOverdue, &UnreachableError{p.addr, fmt.Errorf("no connection within %v", dialOverdue)})
	})
	defer overdue.Stop()
	conn, err := p.client.dial(ctx, p.addr, bound)
	switch {
	case ctx.Err() != nil && err != nil:
		return nil, ctx.Err()
	case err != nil:
		if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
			p.gaveUp()
		}
		return nil, &UnreachableError{p.addr, err}
	}
	return conn, nil
}

// gaveUp records that the coordinator was awaited in vain.
func (p *pollConn) gaveUp() {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	p.client.timing.gaveUp()
}

// poll makes one poll and applies its response. It reports whether the connection may be polled
// on at once.
func (p *pollConn) poll(conn net.Conn, responses *responseReader, maxWait time.Duration) (goOn bool, err error) {
	c := p.client
	c.mu.Lock()
	lastIndex, overdueAfter, giveUpAfter := c.lastIndex, c.timing.overdueAfter(maxWait), c.timing.giveUpAfter(maxWait)
	c.mu.Unlock()
	request := fmt.Appendf(nil, "GET /v2/stream?follow=%d&wait_ms=%d HTTP/1.1\r\nHost: %s\r\n\r\n",
		lastIndex, maxWait.Milliseconds(), p.addr)
	requested := time.Now()
	if err := conn.SetDeadline(requested.Add(giveUpAfter)); err != nil {
		return false, &ConnClosedError{p.addr, err}
	}
	overdue := time.AfterFunc(overdueAfter, func() { p.notify(pollOverdue, &TimeoutError{p.addr, maxWait, overdueAfter}) })
	defer overdue.Stop()
	if _, err := conn.Write(request); err != nil {
		return false, p.pollError(maxWait, giveUpAfter, err)
	}
	status, body, connEnds, err := responses.next()
	if err != nil {
		return false, p.pollError(maxWait, giveUpAfter, err)
	}
	took := time.Since(requested)
	if status != http.StatusOK {
		return false, &StatusError{p.addr, status}
	}
	updates, err := ParseUpdates(body)
	if err != nil {
		return false, err
	}
	anyNew := c.applyResponse(updates, lastIndex, requested)
	if anyNew {
		p.broughtNew.Store(true)
	}
	c.noteHeard(took, maxWait)
	if took > overdueAfter {
		c.logLate(p.addr, took, maxWait)
	}
	p.notify(pollAnswered, nil)
	// Guard: a coordinator that does not hold polls must not be polled without a pause.
	return !connEnds && (anyNew || took >= maxWait/2), nil
}

// noteHeard records how long a response took.
func (c *CoordinatorClient) noteHeard(took, maxWait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timing.heard(took, maxWait)
}

// pollError returns the error for a poll that failed with err, given the time that the
// coordinator could hold it and the time after which it was given up.
func (p *pollConn) pollError(maxWait, waited time.Duration, err error) error {
	failure := classifyPollError(p.addr, maxWait, waited, err)
	if _, silent := failure.(*TimeoutError); silent {
		p.gaveUp()
	}
	return failure
}
