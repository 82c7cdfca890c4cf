package media

import (
	"context"
	"io"
	"net"
	"reflect"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/rtsp"
)

// bed is a node that the test drives in place of its goroutine, with a
// connection whose other end is far.
func bed(t *testing.T) (n *node, c *conn, far net.Conn, reports *[]broker.Report) {
	t.Helper()
	reports = new([]broker.Report)
	p := NewPool(t.Context(), new(errgroup.Group), Config{
		Classes: []string{"clip"}, ConnIdle: time.Hour, StreamsPerConn: 4, MaxConns: 9,
		Report: func(r broker.Report) { *reports = append(*reports, r) }, Log: zap.NewNop(),
	})
	n = newNode(p, directory.Member{Entry: control.Entry{Server: 7}, Addr: "127.0.0.1:1"})
	n.state.Store(int32(control.Ready))
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	c = &conn{Conn: near, touched: time.Now()}
	return n, c, far, reports
}

func try(id control.SessionID) setUp {
	return setUp{broker.Attempt{ID: id, Number: 1, Key: "1", Deadline: time.Now().Add(time.Hour)}}
}

func status(t *testing.T, reports *[]broker.Report, want ...control.Status) {
	t.Helper()
	var got []control.Status
	for _, r := range *reports {
		if r.Kind == broker.Ended {
			got = append(got, r.Status)
		}
	}
	if !slices.Equal(got, want) {
		t.Errorf("ended with %v, want %v", got, want)
	}
}

// What waited for a connection goes to no node that drains by then: the state
// is looked at just before the first byte.
func TestDrainBindsWhatIsQueued(t *testing.T) {
	n, c, _, reports := bed(t)
	n.dialling = true // one is being opened
	n.handle(try(1))
	n.state.Store(int32(control.Draining))
	n.handle(dialled{conn: c})
	status(t, reports, control.Moot)
}

// Nothing is proven once a byte of SETUP has left; before, all is.
func TestBrokenConnection(t *testing.T) {
	n, c, far, reports := bed(t)
	n.conns = []*conn{c}
	go func() { // the far end takes some bytes and goes
		far.Read(make([]byte, 5))
		far.Close()
	}()
	n.handle(try(1))
	status(t, reports, control.Reset)

	n, c, far, reports = bed(t)
	n.conns = []*conn{c}
	far.Close()
	n.dialling = true // the next connection is being opened
	n.handle(try(1))
	status(t, reports)
	n.handle(dialled{err: io.EOF})
	status(t, reports, control.ConnectFailed)

	n, c, far, reports = bed(t)
	n.conns = []*conn{c}
	go io.Copy(io.Discard, far)
	n.handle(try(1))
	n.handle(closed{c, io.EOF})
	status(t, reports, control.Reset)
}

// A given-up attempt is out until its TEARDOWN is written; a late 200 is torn
// down too.
func TestGiveUp(t *testing.T) {
	n, c, far, reports := bed(t)
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
	n.handle(try(1))
	n.handle(giveUp{1, 1, true})
	status(t, reports, control.TimedOut)
	n.handle(heard{c, message{kind: answered, id: 1, status: 200}})
	n.handle(try(2))
	c.Close()
	var got []string
	for m := range methods {
		got = append(got, m)
	}
	if want := []string{"SETUP", "TEARDOWN", "TEARDOWN", "SETUP"}; !slices.Equal(got, want) {
		t.Errorf("wrote %v, want %v", got, want)
	}
	n.dialling = true
	n.handle(try(3))
	n.handle(giveUp{3, 1, true}) // not a byte has left: a paid session may go on
	status(t, reports, control.TimedOut, control.ConnectFailed)
}

// A node that can't be reached for some seconds has lost what stood there, and
// its viewers are told; so has one that restarted or is off the list.
func TestLostNode(t *testing.T) {
	for name, lose := range map[string]func(*node){
		"silent":    func(n *node) { n.heardAt = time.Now().Add(-lostTime); n.handle(dialled{err: io.EOF}) },
		"restarted": func(n *node) { n.handle(listChange{directory.Member{Up: time.Now().Add(time.Second)}}) },
		"gone": func(n *node) {
			n.state.Store(int32(control.Gone))
			n.handle(listChange{})
		},
	} {
		n, _, _, reports := bed(t)
		n.dialling = true
		n.handle(stands{1})
		lose(n)
		if len(*reports) != 1 || (*reports)[0].Status != control.Reset || (*reports)[0].Cause != broker.CauseCut {
			t.Errorf("%s: %+v", name, *reports)
		}
	}
	n, _, _, reports := bed(t)
	n.dialling = true
	n.handle(stands{1})
	n.handle(dialled{err: io.EOF}) // one failed connection proves nothing
	status(t, reports)
}

func TestUnderstand(t *testing.T) {
	for text, want := range map[string]message{
		"RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: 0a\r\nLink-State: x1:1.5;load_share:0.25\r\n\r\n":           {kind: tested, id: 10, status: 200, load: []float64{0.25, 1.5}},
		"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: 0a\r\n\r\n":                                                 {id: 10, status: 200},
		"RTSP/1.0 100 Trying\r\nCSeq: 1\r\nSession: 0a\r\n\r\n":                                             {id: 10, status: 100},
		"RTSP/1.0 453 Full\r\nCSeq: 1\r\nSession: 0a\r\nLink-State: x1:2\r\n\r\n":                           {kind: answered, id: 10, status: 453, description: []byte{}},
		"TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nReason: cause=41\r\n\r\n":                       {kind: ended, id: 10, cause: 41},
		"TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 0a\r\n\r\n":                                           {kind: ended, id: 10, cause: 16},
		"ANNOUNCE rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nFail-Word: delivered\r\nX-Reading: 0.5\r\n\r\n": {kind: noted, id: 10, note: control.NoteShare, value: 0.5},
		"ANNOUNCE rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nFail-Word: delivered\r\nX-Reading: x\r\n\r\n":   {id: 10, note: control.NoteShare},
		"ANNOUNCE rtsp://media/a RTSP/1.0\r\nSession: zz\r\n\r\n":                                           {},
	} {
		var raw rtsp.Message
		if _, err := rtsp.Parse([]byte(text), &raw); err != nil {
			t.Fatal(err)
		}
		if got := understand(&raw, []string{"load_share", "x1"}); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

// A node that was cut off and comes back is told to end what was given up.
func TestNodeComesBack(t *testing.T) {
	n, c, far, _ := bed(t)
	n.dialling = true
	n.handle(stands{10})
	n.heardAt = time.Now().Add(-lostTime)
	n.handle(dialled{err: io.EOF})
	got := make(chan message)
	go func() {
		b := make([]byte, 4096)
		k, _ := far.Read(b)
		var raw rtsp.Message
		rtsp.Parse(b[:k], &raw)
		got <- understand(&raw, nil)
	}()
	n.dialling = true
	n.handle(dialled{conn: c})
	if m := <-got; m.kind != ended || m.id != 10 || m.cause != broker.CauseCut || len(n.owed) != 0 {
		t.Errorf("%+v, %d owed", m, len(n.owed))
	}
}

// A connection that is retired is still read: a release may cross its end.
func TestRetiredConnectionIsStillRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	near, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	n, _, _, _ := bed(t)
	for range mostConns {
		n.conns = append(n.conns, &conn{Conn: near, touched: time.Now()})
	}
	n.handle(dialled{conn: &conn{Conn: far}})
	if first := n.conns[0]; !first.dead || n.fresh(first) {
		t.Error("the oldest connection is still in use")
	}
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the node was not told: %v", err)
	}
	io.WriteString(far, "TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nReason: cause=16\r\n\r\n")
	far.Close()
	var got []message
	n.conns[0].read(nil, func(m message) bool { got = append(got, m); return true })
	if len(got) != 1 || got[0].kind != ended || got[0].id != 10 {
		t.Errorf("read %+v", got)
	}
}

// A connection that comes up just as its node's actor ends is closed all the
// same: the program can end.
func TestEndWithAConnectionUnderWay(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n, _, _, _ := bed(t)
	ctx, cancel := context.WithCancel(t.Context())
	n.pool.ctx, n.addr = ctx, l.Addr().String()
	n.connect()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	<-n.box.Ready() // dialled, and nobody takes it
	cancel()
	n.pool.group.Wait()
}
