package media

import (
	"context"
	"io"
	"math"
	"net"
	"os"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/rtsp"
)

// newTestNode returns a node whose actor the test runs in place of its goroutine, and a
// connection whose other end is far. The reports to the broker are collected in reports.
func newTestNode(t *testing.T) (n *node, c *conn, far net.Conn, reports *[]broker.Report) {
	t.Helper()
	reports = new([]broker.Report)
	p := NewPool(t.Context(), new(errgroup.Group), Config{
		ClassNames: []string{"clip"}, ConnIdleTimeout: time.Hour, StreamsPerConn: 4, MaxConns: 9, DrainGrace: time.Second,
		Report: func(r broker.Report) { *reports = append(*reports, r) }, Log: zap.NewNop(),
	})
	n = newNode(p, directory.Member{Entry: control.Entry{Server: 7}})
	n.state.Store(int32(control.Ready))
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	c = &conn{Conn: near, lastUsedAt: time.Now()}
	return n, c, far, reports
}

// newSetUp returns the first attempt of session id.
func newSetUp(id control.SessionID) setUpRequest {
	return setUpRequest{broker.Attempt{ID: id, Number: 1, Key: "1", Deadline: time.Now().Add(time.Hour), Client: new(fakeClient)}}
}

// fakeClient is a viewer that only knows whether it is gone.
type fakeClient struct{ gone atomic.Bool }

func (*fakeClient) Deliver(broker.Reply) bool     { return true }
func (c *fakeClient) Gone(control.SessionID) bool { return c.gone.Load() }

// checkEndStatuses fails t unless the reported ends have exactly the statuses want, in order.
func checkEndStatuses(t *testing.T, reports *[]broker.Report, want ...control.Status) {
	t.Helper()
	var got []control.Status
	for _, r := range *reports {
		if r.Kind == broker.ReportEnded {
			got = append(got, r.Status)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("ended with %v, want %v", got, want)
	}
}

// A set-up that waited for a connection is not sent to a node that drains by then: the state is
// checked just before the first byte.
func TestQueuedSetUpNotSentToDrainingNode(t *testing.T) {
	n, c, _, reports := newTestNode(t)
	n.dialling = true // a connection is being opened
	n.handle(newSetUp(1))
	n.state.Store(int32(control.Draining))
	n.handle(dialResult{conn: c})
	checkEndStatuses(t, reports, control.NotSent)
}

// Nothing is written for a set-up whose client is gone by then, whatever it waited for. The next
// set-up is written.
func TestNoSetUpForClosedClient(t *testing.T) {
	for name, wait := range map[string]func(n *node, c *conn, queued setUpRequest, closeClient func()){
		"for a slow dial": func(n *node, c *conn, queued setUpRequest, closeClient func()) {
			n.dialling = true
			n.handle(queued)
			closeClient()
			n.handle(dialResult{conn: c})
		},
		"for the list, after a pause": func(n *node, c *conn, queued setUpRequest, closeClient func()) {
			n.conns = []*conn{c}
			n.pool.pauseWatch.Reset(time.Now().Add(-time.Minute))
			n.handle(queued)
			closeClient()
			n.pool.pauseWatch.Reset(time.Now())
			n.handle(resumeSetUps{})
		},
		"in the mailbox": func(n *node, c *conn, queued setUpRequest, closeClient func()) {
			n.conns = []*conn{c}
			closeClient()
			n.handle(queued)
		},
	} {
		n, c, far, reports := newTestNode(t)
		queued, written := newSetUp(1), make(chan string, 9)
		go func() {
			b := make([]byte, 4096)
			k, _ := far.Read(b)
			written <- string(b[:k])
		}()
		wait(n, c, queued, func() { queued.Client.(*fakeClient).gone.Store(true) })
		n.handle(newSetUp(2))
		if got := <-written; !strings.Contains(got, "Session: 0000000000000002") {
			t.Errorf("waiting %s: wrote %q", name, got)
		}
		checkEndStatuses(t, reports, control.NotSent)
	}
}

// A set-up whose connection breaks ends with Reset once a byte of its SETUP was written, since it
// may have run. Before that it ends with ConnectFailed.
func TestConnectionBreakDuringSetUp(t *testing.T) {
	n, c, far, reports := newTestNode(t)
	n.conns = []*conn{c}
	go func() { // the far end reads some bytes and closes
		far.Read(make([]byte, 5))
		far.Close()
	}()
	n.handle(newSetUp(1))
	checkEndStatuses(t, reports, control.ConnectionReset)

	n, c, far, reports = newTestNode(t)
	n.conns = []*conn{c}
	far.Close()
	n.dialling = true // the next connection is being opened
	n.handle(newSetUp(1))
	checkEndStatuses(t, reports)
	n.handle(dialResult{err: io.EOF})
	checkEndStatuses(t, reports, control.ConnectFailed)

	n, c, far, reports = newTestNode(t)
	n.conns = []*conn{c}
	go io.Copy(io.Discard, far)
	n.handle(newSetUp(1))
	n.dialling = true // a dial checks whether the node is reachable
	n.handle(connClosed{c, io.EOF})
	n.handle(dialResult{err: io.EOF})
	checkEndStatuses(t, reports, control.ConnectionReset)
}

// An abandoned set-up ends once its TEARDOWN is written. A late 200 to it is answered by another
// TEARDOWN.
func TestAbandon(t *testing.T) {
	n, c, far, reports := newTestNode(t)
	n.conns = []*conn{c}
	methods := make(chan string, 9)
	go func() {
		for {
			b := make([]byte, 4096)
			k, err := far.Read(b)
			if err != nil {
				close(methods)
				return
			}
			var m rtsp.Message
			rtsp.Parse(b[:k], &m)
			methods <- string(m.Method)
		}
	}()
	n.handle(newSetUp(1))
	n.handle(abandonRequest{1, 1, true})
	checkEndStatuses(t, reports, control.TimedOut)
	n.handle(received{c, message{kind: kindSetUpAnswer, id: 1, status: 200}})
	c.Close()
	var got []string
	for m := range methods {
		got = append(got, m)
	}
	if want := []string{"SETUP", "TEARDOWN", "TEARDOWN"}; !slices.Equal(got, want) {
		t.Errorf("wrote %v, want %v", got, want)
	}
	n.dialling = true
	n.handle(newSetUp(3))
	n.handle(abandonRequest{3, 1, true}) // nothing was written: a billed set-up may be tried elsewhere
	checkEndStatuses(t, reports, control.TimedOut, control.ConnectFailed)
	// If the connection closed after the late 200, the TEARDOWN goes on another connection, or on
	// the next that opens.
	for name, spare := range map[string]bool{"another connection": true, "next connection": false} {
		n, _, _, _ := newTestNode(t)
		n.pool.cfg.MaxConns = 0 // the test dials
		c, wrote := newStubConn(), new(recordingConn)
		other := &conn{Conn: wrote, lastUsedAt: time.Now()}
		n.conns = []*conn{c}
		n.handle(newSetUp(1))
		n.handle(abandonRequest{1, 1, true})
		if spare {
			n.conns = append(n.conns, other)
		}
		c.Conn = failingConn{}
		n.handle(received{c, message{kind: kindSetUpAnswer, id: 1, status: 200}})
		n.handle(connClosed{c, io.EOF})
		if !spare {
			n.handle(dialResult{conn: other})
		}
		if !strings.HasPrefix(string(wrote.written), "TEARDOWN") || len(n.established)+len(n.pendingReleases) != 0 {
			t.Errorf("%s: wrote %q", name, wrote.written)
		}
	}
	// If the node reads nothing, the connection is closed in place of a TEARDOWN.
	n, c, far, _ = newTestNode(t)
	n.conns, n.dialling = []*conn{c}, true
	n.handle(newSetUp(1))
	far.SetReadDeadline(time.Now())
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Error("connection not closed at once:", err)
	}
}

// The sessions of a node end, and their viewers are told, if it cannot be reached for some
// seconds, has restarted or is off the list.
func TestLostNode(t *testing.T) {
	for name, lose := range map[string]func(*node){
		"silent":    func(n *node) { n.lastAliveAt = time.Now().Add(-nodeLostTimeout); n.handle(dialResult{err: io.EOF}) },
		"restarted": func(n *node) { n.handle(listChange{directory.Member{StartedAt: time.Now().Add(time.Second)}}) },
		"off the list": func(n *node) {
			n.state.Store(int32(control.Gone))
			n.handle(listChange{})
		},
	} {
		n, _, _, reports := newTestNode(t)
		n.dialling = true
		n.handle(adoptRequest{1})
		lose(n)
		if len(*reports) != 1 || (*reports)[0].Status != control.ConnectionReset || (*reports)[0].Cause != broker.CauseInterrupted {
			t.Errorf("%s: %+v", name, *reports)
		}
	}
	n, _, _, reports := newTestNode(t)
	n.dialling = true
	n.handle(adoptRequest{1})
	n.handle(dialResult{err: io.EOF}) // a single failed dial is not enough
	checkEndStatuses(t, reports)
}

// Messages from a node process that is gone may be in the inbox before the list change that says
// so, or after it. Either way they establish no session, whichever process has the address by
// then, and each set-up ends once. Steps: a answer 200, f answer 453, e end, c close, l list change.
func TestAnswerRacesListChange(t *testing.T) {
	for name, lose := range map[string]func(n *node, up time.Time){
		"off the list": func(n *node, _ time.Time) {
			n.state.Store(int32(control.Gone))
			n.handle(listChange{})
		},
		"restarted": func(n *node, up time.Time) { n.handle(listChange{directory.Member{StartedAt: up}}) },
	} {
		for order, steps := range map[string]string{
			"answer, list": "al", "list, answer": "la", "answer, close, list": "acl", "answer, list, close": "alc",
			"list, refusal": "lf", "refusal, list": "fl", "list": "l", "list, answer, end": "lae", "answer, list, end": "ale", "close, list": "cl",
		} {
			t.Run(name+"/"+order, func(t *testing.T) {
				n, _, _, reports := newTestNode(t)
				n.pool.cfg.MaxConns = 0 // the test dials
				c := newStubConn()
				n.conns = []*conn{c}
				n.handle(newSetUp(1))
				up := time.Now() // when the next process started; the steps are handled after that
				for _, step := range steps {
					switch step {
					case 'a':
						n.handle(received{c, message{kind: kindSetUpAnswer, id: 1, status: 200}})
					case 'f':
						n.handle(received{c, message{kind: kindSetUpAnswer, id: 1, status: 453}})
					case 'e':
						n.handle(received{c, message{kind: kindTearDown, id: 1, cause: broker.CauseEnded}})
					case 'c':
						n.handle(connClosed{c, syscall.ECONNRESET})
					case 'l':
						lose(n, up)
					}
				}
				if !strings.Contains(steps, "c") {
					n.handle(connClosed{c, net.ErrClosed})
				}
				want := control.ConnectionReset
				if strings.Contains(steps, "f") {
					want = control.Full
				}
				if name == "off the list" {
					checkEndStatuses(t, reports, want) // before any dial completes
				}
				if n.dialling {
					n.handle(dialResult{conn: newStubConn()}) // to another process at the address
				}
				checkEndStatuses(t, reports, want)
				last := (*reports)[len(*reports)-1] // a set-up's end says whether the node is reachable
				if len(n.established)+len(n.attempts)+len(n.interrupted) != 0 || last.Cause == 0 && last.ConnectionOnly != (want == control.ConnectionReset && name == "restarted") {
					t.Errorf("%d established, %d attempts, %d interrupted; %+v", len(n.established), len(n.attempts), len(n.interrupted), last)
				}
			})
		}
	}
	// A set-up that still waits for a connection ends at once, whatever becomes of the dial.
	for _, state := range []control.ServerState{control.Gone, control.Draining} {
		n, _, _, reports := newTestNode(t)
		n.dialling = true
		n.handle(newSetUp(1))
		n.state.Store(int32(state))
		n.handle(listChange{})
		checkEndStatuses(t, reports, control.NotSent)
	}
}

func TestDecode(t *testing.T) {
	for text, want := range map[string]message{
		"RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: 0a\r\nLink-State: x1:1.5;load_share:0.25\r\nContent-Length: 0\r\n\r\n":           {kind: kindProbeAnswer, id: 10, status: 200, load: []float64{0.25, 1.5}},
		"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: 0a\r\nContent-Length: 0\r\n\r\n":                                                 {id: 10, status: 200},
		"RTSP/1.0 100 Trying\r\nCSeq: 1\r\nSession: 0a\r\nContent-Length: 0\r\n\r\n":                                             {id: 10, status: 100},
		"RTSP/1.0 453 Full\r\nCSeq: 1\r\nSession: 0a\r\nLink-State: x1:2\r\nContent-Length: 0\r\n\r\n":                           {kind: kindSetUpAnswer, id: 10, status: 453, description: []byte{}},
		"TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nReason: cause=41\r\nContent-Length: 0\r\n\r\n":                       {kind: kindTearDown, id: 10, cause: 41},
		"TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nContent-Length: 0\r\n\r\n":                                           {kind: kindTearDown, id: 10, cause: 16},
		"ANNOUNCE rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nFail-Word: delivered\r\nX-Reading: 0.5\r\nContent-Length: 0\r\n\r\n": {kind: kindAnnounce, id: 10, note: control.NoteDeliveredShare, value: 0.5},
		"ANNOUNCE rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nFail-Word: delivered\r\nX-Reading: x\r\nContent-Length: 0\r\n\r\n":   {id: 10, note: control.NoteDeliveredShare},
	} {
		var raw rtsp.Message
		if _, err := rtsp.Parse([]byte(text), &raw); err != nil {
			t.Fatal(err)
		}
		if got, ok := decode(&raw, []string{"load_share", "x1"}); !ok || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

// After an invalid message nothing more is read from a connection, and the invalid message is
// dropped. A Content-Length of gigabytes allocates no memory.
func TestInvalidMessages(t *testing.T) {
	valid := "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0a\r\nContent-Length: 3\r\n\r\na\r\n"
	for _, change := range [][2]string{
		{"CSeq: 1", "CSeq: x"}, {"Session: 0a", "Session: zz"}, {"Session: 0a", "Sess"}, {"Content-Length: 3\r\n", ""},
		{"Content-Length: 3", "Content-Length: 3000000000"}, {"Content-Length: 3", "Content-Length: -3"},
		{"Content-Length: 3", "Content-Length: 2"}, {"Content-Length: 3", "Content-Length: 9"}, {"Content-Length: 3", "Content-Length: 90"},
		{"RTSP/1.0 200", "\x00\xff RTSP/1.0 200"}, {"RTSP/1.0 200", "RTSP/1.0 2x0"}, {"\r\n\r\n", ""},
	} {
		near, far := net.Pipe()
		go func() {
			io.WriteString(far, strings.Replace(valid, change[0], change[1], 1)+strings.Replace(valid, "0a", "0b", 1))
		}()
		var got []message
		err := (&conn{Conn: near}).readMessages(nil, func(m message) bool { got = append(got, m); return true })
		if len(got) != 0 || err == nil {
			t.Errorf("%q: passed on %+v", change[1], got)
		}
		near.Close()
		far.Close()
	}
}

// When a connection breaks with set-ups open on it, the next dial shows whether the node is still
// reachable. In either case they end and are not sent again.
func TestInterruptedSetUpIsResolved(t *testing.T) {
	for name, e := range map[string]struct {
		err      error
		then     dialResult
		confined bool
	}{
		"invalid message": {errInvalidMessage, dialResult{}, true},
		"reset":           {io.ErrUnexpectedEOF, dialResult{conn: &conn{}}, true},
		"refused":         {io.ErrUnexpectedEOF, dialResult{err: syscall.ECONNREFUSED}, false},
		"time-out":        {io.ErrUnexpectedEOF, dialResult{err: os.ErrDeadlineExceeded}, false},
	} {
		n, c, far, reports := newTestNode(t)
		n.conns, n.dialling = []*conn{c}, true
		go io.Copy(io.Discard, far)
		n.handle(newSetUp(1))
		n.handle(connClosed{c, e.err})
		if name != "invalid message" {
			checkEndStatuses(t, reports)
			n.handle(e.then)
		}
		if len(*reports) != 1 || (*reports)[0].Status != control.ConnectionReset || (*reports)[0].ConnectionOnly != e.confined ||
			(*reports)[0].Down != (name == "refused") ||
			len(n.attempts)+len(n.interrupted) != 0 {
			t.Errorf("%s: %+v", name, *reports)
		}
	}
	n, c, far, reports := newTestNode(t)
	n.conns, n.dialling = []*conn{c}, true
	go io.Copy(io.Discard, far)
	n.handle(newSetUp(1))
	n.handle(connClosed{c, io.EOF})
	n.handle(abandonRequest{1, 1, true}) // abandoned before the dial ends
	n.handle(dialResult{err: io.EOF})
	checkEndStatuses(t, reports, control.ConnectionReset)
}

// No new set-up is sent on a connection that has been silent since a set-up, nor on one on which
// a set-up timed out with no message after it.
func TestSuspectConnection(t *testing.T) {
	n, c, far, _ := newTestNode(t)
	n.conns, n.dialling = []*conn{c}, true
	go io.Copy(io.Discard, far)
	n.handle(newSetUp(1))
	if n.connForSetUp() != c {
		t.Error("not used right after a set-up")
	}
	c.unconfirmedSince = c.unconfirmedSince.Add(-2 * connSuspectTimeout)
	n.attempts[1].sentAt = c.unconfirmedSince
	if n.connForSetUp() != nil {
		t.Error("used while silent")
	}
	n.handle(received{c, message{kind: kindSetUpAnswer, id: 99, status: 200}}) // shows that the node is alive
	if n.connForSetUp() != c {
		t.Error("not used after a message")
	}
	n.handle(newSetUp(2))
	n.handle(abandonRequest{2, 1, true})
	if n.connForSetUp() != nil || !c.unusable {
		t.Error("used after a time-out without a message")
	}
}

// A second copy of an answer, and an answer to an id that was never sent, have no effect.
func TestDuplicateAndUnknownAnswers(t *testing.T) {
	n, c, far, reports := newTestNode(t)
	n.conns = []*conn{c}
	written := make(chan []byte, 9)
	go func() {
		for b := make([]byte, 4096); ; b = make([]byte, 4096) {
			k, err := far.Read(b)
			if err != nil {
				close(written)
				return
			}
			written <- b[:k]
		}
	}()
	n.handle(newSetUp(1))
	for _, id := range []control.SessionID{9, 1, 1} {
		n.handle(received{c, message{kind: kindSetUpAnswer, id: id, status: 200}})
	}
	c.Close()
	if len(*reports) != 1 || (*reports)[0].Kind != broker.ReportStarted || (*reports)[0].ID != 1 || n.established[1] == nil {
		t.Errorf("%+v", *reports)
	}
	for b := range written {
		if !strings.HasPrefix(string(b), "SETUP") {
			t.Errorf("wrote %q", b)
		}
	}
}

// If the process is at its connection limit, set-ups end as moot and the node is not lost.
// Connections that nothing needs are retired.
func TestConnectionLimit(t *testing.T) {
	n, _, _, reports := newTestNode(t)
	n.pool.cfg.MaxConns = 0
	n.handle(adoptRequest{1})
	n.lastAliveAt = time.Now().Add(-nodeLostTimeout)
	n.handle(newSetUp(2))
	for _, m := range n.inbox.Take(nil) {
		n.handle(m)
	}
	checkEndStatuses(t, reports, control.NotSent)
	for i := range 5 {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		n.conns = append(n.conns, &conn{Conn: near, lastUsedAt: time.Now().Add(-2 * idleConnTimeout), openSetUps: i % 2})
	}
	n.dialling = true
	n.established[3] = &establishedSession{setUpSentAt: time.Now()} // its end may come on any of them
	n.maintain(time.Now())
	if slices.ContainsFunc(n.conns, func(c *conn) bool { return c.unusable }) {
		t.Error("a connection is retired while a session is established")
	}
	clear(n.established)
	n.maintain(time.Now())
	for i, dead := range []bool{true, false, true, false, true} {
		if n.conns[i].unusable != dead {
			t.Errorf("connection %d: retired is %v", i, n.conns[i].unusable)
		}
	}
}

// Once a new node has the address of another, the old one is gone and gets nothing more.
func TestAddressReusedByNewNode(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := NewPool(ctx, new(errgroup.Group), Config{Report: func(broker.Report) {}, Log: zap.NewNop()})
	listed := func(s control.ServerID, state control.ServerState) directory.Change {
		return directory.Change{Members: []directory.Member{{Entry: control.Entry{Server: s, State: state}, Addr: "127.0.0.1:1"}}}
	}
	p.Apply(listed(1, control.Ready))
	old := p.nodes[1]
	p.Apply(listed(2, control.Ready))
	if old.listedState() != control.Gone || p.nodes[2].listedState() != control.Ready {
		t.Error("the old node is not gone, or the new one not ready")
	}
	p.Apply(listed(1, control.Draining)) // a late change of the old one
	if p.nodes[2].listedState() != control.Ready {
		t.Error("the new node is not ready after a late change of the old one")
	}
	cancel()
	p.group.Wait()
}

// After a silence the list says all at once that a node is gone, that another node has its
// address, and that it runs again at a new one. Its earlier sessions and connections are lost,
// later ones stay, and queued set-ups go to the new address, however many of the changes the
// actor has handled by then.
func TestDelayedListChanges(t *testing.T) {
	for name, seen := range map[string]int{"nothing": 0, "that the node is gone": 1, "all": 2} {
		n, _, _, reports := newTestNode(t)
		n.pool.cfg.MaxConns = 0 // the test dials
		n.pool.nodes[n.server] = n
		apply := func(s control.ServerID, state control.ServerState, addr string, up time.Time) {
			n.pool.Apply(directory.Change{Members: []directory.Member{{Entry: control.Entry{Server: s, State: state}, Addr: addr, StartedAt: up}}})
		}
		n.member.Addr = "old:1"
		c := newStubConn()
		n.conns = []*conn{c}
		n.handle(newSetUp(1))
		n.handle(newSetUp(2))
		n.handle(received{c, message{kind: kindSetUpAnswer, id: 2, status: 200}})
		up := time.Now()
		apply(7, control.Gone, "", time.Time{})
		apply(8, control.Ready, "old:1", time.Time{})
		apply(7, control.Ready, "new:1", up)
		all := n.inbox.Take(nil)
		for _, m := range all[:seen] {
			n.handle(m)
		}
		current := newStubConn() // to the process that runs now
		n.conns = append(n.conns, current)
		current.openSetUps, c.openSetUps = n.pool.cfg.StreamsPerConn, n.pool.cfg.StreamsPerConn
		n.handle(newSetUp(3)) // sent by the broker meanwhile
		stale := &conn{Conn: stubConn{}, lastUsedAt: time.Now()}
		n.handle(dialResult{conn: stale, addr: "old:1"}) // the address is another node's by now
		for _, m := range all[seen:] {
			n.handle(m)
		}
		if !c.unusable {
			t.Error("a connection to the process that is gone stays in use")
		}
		n.handle(connClosed{c, net.ErrClosed})
		n.handle(dialResult{conn: newStubConn(), addr: "new:1"})
		checkEndStatuses(t, reports, control.ConnectionReset, control.ConnectionReset)
		if a := n.attempts[3]; a == nil || a.conn != n.conns[len(n.conns)-1] || stale.carriedMessage || current.unusable || len(n.established) != 0 {
			t.Errorf("handled %s: %+v, %d established; old address used: %v, current connection closed: %v", name, a, len(n.established), stale.carriedMessage, current.unusable)
		}
	}
}

// A node that was unreachable and comes back is told to release the sessions that were cut.
func TestReleaseSentAfterReconnect(t *testing.T) {
	n, c, far, _ := newTestNode(t)
	n.dialling = true
	n.handle(adoptRequest{10})
	n.lastAliveAt = time.Now().Add(-nodeLostTimeout)
	n.handle(dialResult{err: io.EOF})
	got := make(chan message)
	go func() {
		b := make([]byte, 4096)
		k, _ := far.Read(b)
		var raw rtsp.Message
		rtsp.Parse(b[:k], &raw)
		m, _ := decode(&raw, nil)
		got <- m
	}()
	n.dialling = true
	n.handle(dialResult{conn: c})
	if m := <-got; m.kind != kindTearDown || m.id != 10 || m.cause != broker.CauseInterrupted || len(n.pendingReleases) != 0 {
		t.Errorf("%+v, %d releases pending", m, len(n.pendingReleases))
	}
}

// tcpPair returns both ends of a TCP connection.
func tcpPair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if near, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { far.Close() })
	return near, far
}

// Messages that arrive in the same packet as the node's close or reset are handled, even if the
// actor learns of the close first, by a failed write.
func TestMessageAndCloseInOnePacket(t *testing.T) {
	const ok = "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 01\r\nContent-Length: 0\r\n\r\n"
	const end = "TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 01\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"
	for text, e := range map[string]struct {
		want            []control.Status
		wantEstablished int
	}{
		strings.Replace(ok, "200", "453", 1): {want: []control.Status{control.Full}},
		strings.Replace(ok, "200", "454", 1): {want: []control.Status{control.NotSent}},
		ok:                                   {wantEstablished: 1},
		ok + ok:                              {wantEstablished: 1}, // a second answer has no effect
		ok + end:                             {want: []control.Status{control.OK}},
		end + ok:                             {want: []control.Status{control.ConnectionReset}}, // the set-up ends as reset
		ok + end[:40]:                        {wantEstablished: 1},
		ok[:40]:                              {want: []control.Status{control.ConnectionReset}},
		"\x00" + ok + end:                    {want: []control.Status{control.ConnectionReset}},
	} {
		for _, reset := range []bool{false, true} {
			for _, first := range []string{"read", "write"} {
				n, _, _, reports := newTestNode(t)
				n.pool.cfg.MaxConns = 0 // the test dials
				near, far := tcpPair(t)
				c := &conn{Conn: near, lastUsedAt: time.Now()}
				n.conns = []*conn{c}
				n.handle(newSetUp(1))
				if _, err := io.ReadAtLeast(far, make([]byte, 4096), 1); err != nil {
					t.Fatal(err)
				}
				io.WriteString(far, text)
				if reset {
					far.(*net.TCPConn).SetLinger(0)
				}
				far.Close()
				for first == "write" && !c.unusable {
					n.handle(probeRequest{})
				}
				n.handle(connClosed{c, c.readMessages(nil, func(m message) bool { n.handle(received{c, m}); return true })})
				if n.dialling {
					n.handle(dialResult{conn: newStubConn()})
				}
				checkEndStatuses(t, reports, e.want...)
				if len(n.established) != e.wantEstablished || t.Failed() {
					t.Fatalf("%q, reset %v, %s first: %d established", text, reset, first, len(n.established))
				}
			}
		}
	}
}

// A retired connection is still read, since a TEARDOWN by the node may cross the half-close.
func TestRetiredConnectionIsRead(t *testing.T) {
	near, far := tcpPair(t)
	n, _, _, _ := newTestNode(t)
	for range maxConnsPerNode {
		n.conns = append(n.conns, &conn{Conn: near, lastUsedAt: time.Now()})
	}
	n.handle(dialResult{conn: &conn{Conn: far}})
	if first := n.conns[0]; !first.unusable || n.canSendOn(first) {
		t.Error("the oldest connection is still in use")
	}
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection was not half-closed: %v", err)
	}
	io.WriteString(far, "TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n")
	far.Close()
	var got []message
	n.conns[0].readMessages(nil, func(m message) bool { got = append(got, m); return true })
	if len(got) != 1 || got[0].kind != kindTearDown || got[0].id != 10 {
		t.Errorf("read %+v", got)
	}
}

// A connection that opens just as its node's actor ends is closed all the same, so that the
// process can exit.
func TestShutdownDuringDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n, _, _, _ := newTestNode(t)
	ctx, cancel := context.WithCancel(t.Context())
	n.pool.ctx, n.member.Addr = ctx, l.Addr().String()
	n.startDial()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	<-n.inbox.Ready() // the dialResult is there, and nobody takes it
	cancel()
	n.pool.group.Wait()
	if got := n.pool.slots.inUse(); got != 0 {
		t.Errorf("%d connections are counted as open", got)
	}
}

// Whatever a node sends, numbers that are negative, infinite or NaN are not passed on.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("ANNOUNCE rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nFail-Word: link\r\nX-Reading: NaN\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: 0a\r\nLink-State: x1:Inf;load_share:-1\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var raw rtsp.Message
		if n, err := rtsp.Parse(in, &raw); n == 0 || err != nil {
			return
		}
		m, ok := decode(&raw, []string{"load_share", "x1"})
		for _, v := range append(m.load, m.value) {
			if ok && m.kind != kindOther && !(v >= 0 && v <= math.MaxFloat64) {
				t.Errorf("%q: %+v", in, m)
			}
		}
	})
}

// Eighty managers that each check a silent node open connections that carry nothing. Set-ups
// prefer a connection in use to one opened for a check, the latter is retired first, and one in
// use is used for most of the node's idle time-out: each first use costs the node a handshake.
func TestConnectionChecksCostNoHandshake(t *testing.T) {
	n, checkConn, _, _ := newTestNode(t)
	inUse, far := net.Pipe()
	t.Cleanup(func() { inUse.Close(); far.Close() })
	go io.Copy(io.Discard, far)
	old := &conn{Conn: inUse, carriedMessage: true, lastUsedAt: time.Now().Add(-n.pool.cfg.ConnIdleTimeout * 8 / 10)}
	n.conns = []*conn{old, checkConn}
	if n.connForSetUp() != old {
		t.Error("a set-up would use a connection that has carried nothing")
	}
	n.handle(newSetUp(1))
	if old.openSetUps != 1 || checkConn.carriedMessage {
		t.Errorf("%d set-ups on the connection in use", old.openSetUps)
	}
	old.openSetUps, old.lastUsedAt = 0, time.Now().Add(-2*idleConnTimeout)
	for range maxIdleConnsPerNode {
		n.conns = append(n.conns, &conn{Conn: checkConn.Conn, lastUsedAt: old.lastUsedAt})
	}
	n.maintain(time.Now())
	if old.unusable || !n.conns[2].unusable {
		t.Error("the connection in use was retired instead of one opened for a check")
	}
}

// Queued set-ups may fill a new connection at once. A queued probe then stays queued, and the
// actor must not loop over it.
func TestProbeWaitsForFullConnection(t *testing.T) {
	n, c, far, _ := newTestNode(t)
	go io.Copy(io.Discard, far)
	n.dialling = true
	n.handle(probeRequest{})
	for id := range n.pool.cfg.StreamsPerConn {
		n.handle(newSetUp(control.SessionID(id + 1)))
	}
	done := make(chan struct{})
	go func() {
		n.handle(dialResult{conn: c})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the actor loops for ever")
	}
	if n.queuedProbes != 1 || !n.dialling || len(n.pendingProbes) != 0 {
		t.Errorf("%d probes queued, dialling %v", n.queuedProbes, n.dialling)
	}
}

// A set-up that waits for a dial uses a slot that becomes free on an open connection: the dial may
// be slow, or fail.
func TestQueuedSetUpUsesFreedSlotDuringDial(t *testing.T) {
	n, _, _, reports := newTestNode(t)
	c := newStubConn()
	n.conns, n.dialling = []*conn{c}, true
	last := control.SessionID(n.pool.cfg.StreamsPerConn + 1)
	for id := range last {
		n.handle(newSetUp(id + 1))
	}
	n.handle(received{c, message{kind: kindSetUpAnswer, id: 1, status: 200}})
	if n.attempts[last].conn != c {
		t.Error("the set-up is still queued")
	}
	n.handle(dialResult{err: syscall.ETIMEDOUT})
	checkEndStatuses(t, reports)
}

// If the settings allow no probes none is written, whoever asks for one. The broker is told that
// the probe was not sent, and a connection that may be unresponsive is taken for unresponsive
// once a check would have timed out.
func TestNoProbes(t *testing.T) {
	n, _, _, reports := newTestNode(t)
	wrote := new(recordingConn)
	c := &conn{Conn: wrote, lastUsedAt: time.Now(), carriedMessage: true}
	n.pool.cfg.DisableProbes = true
	n.conns = []*conn{c}
	n.pool.nodes[n.server] = n
	n.dialling = true
	n.handle(adoptRequest{1})
	n.handle(newSetUp(2))
	n.handle(abandonRequest{2, 1, false}) // cancelled, with no message since it was written
	for _, later := range []time.Duration{2 * connSuspectTimeout, nodeSilenceTimeout + time.Second} {
		n.maintain(time.Now().Add(later))
		if unresponsive := later > nodeSilenceTimeout; c.unusable != unresponsive {
			t.Errorf("after %v: unusable is %v", later, c.unusable)
		}
	}
	n.pool.Probe(n.server)
	if last := (*reports)[len(*reports)-1]; !n.inbox.Empty() || last.Kind != broker.ReportProbed || last.Status != control.NotSent {
		t.Errorf("a probe is pending, or was not reported as moot: %+v", last)
	}
	if got := string(wrote.written); strings.Contains(got, "OPTIONS") || strings.Count(got, "TEARDOWN") != 1 {
		t.Errorf("wrote %q", got)
	}
}

// recordingConn records what is written to it.
type recordingConn struct {
	stubConn
	written []byte
}

func (w *recordingConn) Write(b []byte) (int, error) {
	w.written = append(w.written, b...)
	return len(b), nil
}
