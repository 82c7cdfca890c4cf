package media

import (
	"io"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"millethinge/internal/broker"
)

// scriptedNode drives a node's actor and plays the media node that it talks to. The media node
// sends the end of session 1 once, on a connection of the test's choice whatever has become of
// that one, and once more on the next connection that opens.
type scriptedNode struct {
	n                               *node
	sessionConn, idleConn, busyConn *conn          // of session 1's set-up; without a session; of session 2, which gets ANNOUNCEs
	lossy                           map[*conn]bool // what the media node sends on these is lost
	stalled                         bool           // the media node is stalled
	unaccepted                      []*conn        // opened while the media node was stalled
	acceptsLast                     bool           // once it resumes, the media node sends ends before it accepts those
	endPending                      bool           // the end is to be sent again on the next connection that opens
	failNextConn                    func(c *conn)
	reports                         *[]broker.Report
	dialling                        bool
	lossCountAtStart, openedConns   int
}

func newScriptedNode(t *testing.T) *scriptedNode {
	n, _, _, reports := newTestNode(t)
	n.pool.cfg.MaxConns = 0 // startDial dials nothing: the test sends the dialResult
	f := &scriptedNode{n: n, sessionConn: newStubConn(), idleConn: newStubConn(), busyConn: newStubConn(), lossy: map[*conn]bool{}, reports: reports}
	n.conns = []*conn{f.sessionConn, f.idleConn, f.busyConn}
	n.established[1] = &establishedSession{conn: f.sessionConn, setUpSentAt: time.Now()}
	n.established[2] = &establishedSession{conn: f.busyConn, setUpSentAt: time.Now()}
	return f
}

// handle passes messages to the actor and notes whether it starts a dial.
func (f *scriptedNode) handle(messages ...any) {
	for _, m := range messages {
		f.n.handle(m)
	}
	f.noteDial()
}

// noteDial notes a dial that the actor has started.
func (f *scriptedNode) noteDial() {
	if f.n.dialling && !f.dialling {
		f.dialling, f.lossCountAtStart = true, f.n.lossCount
	}
}

// tick lets a tick pass: an ANNOUNCE arrives on the busy connection, maintain runs, and a dial
// that was in progress succeeds.
func (f *scriptedNode) tick() {
	time.Sleep(tickInterval)
	if !f.stalled {
		f.handle(received{f.busyConn, message{kind: kindAnnounce, id: 2}})
	}
	dialled := f.dialling
	f.n.maintain(time.Now())
	f.noteDial()
	if !dialled {
		return
	}
	c := newStubConn()
	c.carriedMessage, f.dialling = false, false
	f.openedConns++
	if f.failNextConn != nil && !f.stalled {
		f.endPending = true // the end was sent once, and is still to be repeated
		f.failNextConn(c)
		f.failNextConn = nil
		return
	}
	if f.stalled {
		f.unaccepted = append(f.unaccepted, c)
	}
	repeat := f.endPending && !f.stalled
	f.endPending = f.endPending && !repeat
	f.handle(dialResult{conn: c, lossCountAtStart: f.lossCountAtStart})
	if repeat {
		f.handle(received{c, message{kind: kindTearDown, id: 1, cause: 16}})
	}
}

// sendEnd has the media node send the end of session 1 on c, or if c is nil on none yet.
func (f *scriptedNode) sendEnd(c *conn) {
	f.deliverEnd(c)
	f.endPending = true
	for _, u := range f.unaccepted {
		if f.acceptsLast && (u.breakCounted || u == f.unaccepted[len(f.unaccepted)-1]) { // the worst case for the actor
			f.endPending = false
			f.deliverEnd(u)
			break
		}
	}
	for _, u := range f.unaccepted {
		if !u.breakCounted {
			f.handle(received{u, message{status: 200, id: 9}}) // the answer to a TEARDOWN
		}
	}
}

// deliverEnd passes the end of session 1 on c to the actor unless it is lost.
func (f *scriptedNode) deliverEnd(c *conn) {
	if c != nil && !f.lossy[c] && !c.breakCounted {
		f.handle(received{c, message{kind: kindTearDown, id: 1, cause: 16}})
	}
}

// stall stalls the media node for 1.5 s. A set-up times out on a connection that opens
// meanwhile.
func (f *scriptedNode) stall() {
	f.stalled = true
	for i := range 15 {
		f.tick()
		if last := len(f.unaccepted) - 1; last >= 0 && i == 5 {
			f.sendSetUp(f.unaccepted[last])
			f.handle(abandonRequest{9, 1, true})
		}
	}
	f.stalled = false
}

// viewerTold reports whether the end of session 1 has been reported.
func (f *scriptedNode) viewerTold() bool {
	for _, r := range *f.reports {
		if r.Kind == broker.ReportEnded && r.ID == 1 {
			return true
		}
	}
	return false
}

// sendSetUp has the actor send a set-up on c.
func (f *scriptedNode) sendSetUp(c *conn) {
	for _, o := range f.n.conns {
		o.openSetUps += 100 * len(f.n.conns) // so that all are full
	}
	c.openSetUps -= 100 * len(f.n.conns)
	f.handle(newSetUp(9))
	for _, o := range f.n.conns {
		o.openSetUps -= 100 * len(f.n.conns)
	}
	c.openSetUps += 100 * len(f.n.conns)
}

// makeUnresponsive lets nothing more arrive on c, and a set-up on it time out.
func (f *scriptedNode) makeUnresponsive(c *conn) {
	f.lossy[c] = true
	f.sendSetUp(c)
	f.handle(abandonRequest{9, 1, true})
}

// The end of a session must reach its viewer within 8 s whatever becomes of the connection of
// the session's set-up (fates) and wherever the node then sends the end (places). Few
// connections may be opened for it.
//
// Left out: a session's connection that was half-closed, since none is retired that a set-up or
// a session needs (TestConnectionLimit), and since a half-close by the node counts as its
// orderly close; and an end sent on a connection that the node has closed in order, since the
// node knows that it did. A connection that becomes unresponsive with no set-up on it is not
// detected by anything (README).
func TestEndIsDeliveredAfterConnectionFailures(t *testing.T) {
	const deadline = 8 * time.Second
	fates := map[string]func(f *scriptedNode){
		"orderly close": func(f *scriptedNode) { f.handle(connClosed{f.sessionConn, io.EOF}) },
		"reset":         func(f *scriptedNode) { f.handle(connClosed{f.sessionConn, syscall.ECONNRESET}) },
		"unresponsive":  func(f *scriptedNode) { f.makeUnresponsive(f.sessionConn) },
	}
	places := map[string]func(f *scriptedNode) *conn{
		"session": func(f *scriptedNode) *conn { return f.sessionConn },
		"busy":    func(f *scriptedNode) *conn { return f.busyConn },
		"idle":    func(f *scriptedNode) *conn { return f.idleConn },
		"unresponsive": func(f *scriptedNode) *conn {
			f.makeUnresponsive(f.idleConn)
			return f.idleConn
		},
		"unresponsive after a delayed message": func(f *scriptedNode) *conn {
			f.lossy[f.idleConn] = true
			f.sendSetUp(f.idleConn)
			f.handle(received{f.idleConn, message{status: 200, id: 77}}, abandonRequest{9, 1, true})
			return f.idleConn
		},
		"unresponsive, set-up cancelled": func(f *scriptedNode) *conn {
			f.lossy[f.idleConn] = true
			f.sendSetUp(f.idleConn)
			f.handle(abandonRequest{9, 1, false})
			return f.idleConn
		},
		"being retired": func(f *scriptedNode) *conn {
			f.idleConn.retire(time.Hour) // before the session was established
			f.lossy[f.idleConn] = true
			return f.idleConn
		},
		"newly opened, reset": func(f *scriptedNode) *conn {
			f.failNextConn = func(c *conn) {
				f.handle(dialResult{conn: c, lossCountAtStart: f.lossCountAtStart}, connClosed{c, syscall.ECONNRESET})
			}
			return nil
		},
		"newly opened, dial timed out": func(f *scriptedNode) *conn {
			f.failNextConn = func(c *conn) { f.handle(dialResult{err: syscall.ETIMEDOUT}) }
			return nil
		},
	}
	for fate, applyFate := range fates {
		for place, prepare := range places {
			if fate == "orderly close" && place == "session" {
				continue
			}
			for _, stallCase := range []string{"", "/stalled, accepts first", "/stalled, accepts last"} {
				t.Run(fate+"/"+place+stallCase, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newScriptedNode(t)
						f.stalled, f.acceptsLast = stallCase != "", strings.HasSuffix(stallCase, "last")
						applyFate(f)
						if place != "session" && !f.stalled { // on the session's own, the end and the failure cross
							for range 8 { // connections that the fate calls for open before the end is sent
								f.tick()
							}
						}
						c := prepare(f)
						if f.stalled {
							f.stall()
						}
						if c != nil {
							f.sendEnd(c)
						} else { // on the next connection that opens
							f.n.startDial()
							f.noteDial()
						}
						if place == "being retired" {
							f.handle(connClosed{f.idleConn, syscall.ECONNRESET})
						}
						sentAt := time.Now()
						for !f.viewerTold() && time.Since(sentAt) < deadline {
							f.tick()
						}
						if !f.viewerTold() {
							t.Error("the end was not reported")
						}
						if f.openedConns > 4 {
							t.Errorf("%d connections were opened, want at most 4", f.openedConns)
						}
					})
				})
			}
		}
	}
}
