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

// bed is a node that the test drives in place of its goroutine, with a
// connection whose other end is far.
func bed(t *testing.T) (n *node, c *conn, far net.Conn, reports *[]broker.Report) {
	t.Helper()
	reports = new([]broker.Report)
	p := NewPool(t.Context(), new(errgroup.Group), Config{
		Classes: []string{"clip"}, ConnIdle: time.Hour, StreamsPerConn: 4, MaxConns: 9, DrainGrace: time.Second,
		Report: func(r broker.Report) { *reports = append(*reports, r) }, Log: zap.NewNop(),
	})
	n = newNode(p, directory.Member{Entry: control.Entry{Server: 7}})
	n.state.Store(int32(control.Ready))
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	c = &conn{Conn: near, touched: time.Now()}
	return n, c, far, reports
}

func try(id control.SessionID) setUp {
	return setUp{broker.Attempt{ID: id, Number: 1, Key: "1", Deadline: time.Now().Add(time.Hour), Client: new(client)}}
}

// client is a viewer of whom only matters whether it has gone.
type client struct{ gone atomic.Bool }

func (*client) Deliver(broker.Reply) bool     { return true }
func (c *client) Gone(control.SessionID) bool { return c.gone.Load() }

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
	status(t, reports, control.NotSent)
}

// Nor does anything go out whose client has gone by then, however it waited: not a byte
// is written, and what comes behind it is.
func TestNothingIsSentForWhoHasGone(t *testing.T) {
	for name, wait := range map[string]func(n *node, c *conn, queued setUp, leave func()){
		"for a slow dial": func(n *node, c *conn, queued setUp, leave func()) {
			n.dialling = true
			n.handle(queued)
			leave()
			n.handle(dialled{conn: c})
		},
		"for the list, after a stand": func(n *node, c *conn, queued setUp, leave func()) {
			n.conns = []*conn{c}
			n.pool.watch.Start(time.Now().Add(-time.Minute))
			n.handle(queued)
			leave()
			n.pool.watch.Start(time.Now())
			n.handle(goOn{})
		},
		"in the mailbox": func(n *node, c *conn, queued setUp, leave func()) {
			n.conns = []*conn{c}
			leave()
			n.handle(queued)
		},
	} {
		n, c, far, reports := bed(t)
		queued, lines := try(1), make(chan string, 9)
		go func() {
			b := make([]byte, 4096)
			k, _ := far.Read(b)
			lines <- string(b[:k])
		}()
		wait(n, c, queued, func() { queued.Client.(*client).gone.Store(true) })
		n.handle(try(2))
		if got := <-lines; !strings.Contains(got, "Session: 0000000000000002") {
			t.Errorf("waiting %s: wrote %q", name, got)
		}
		status(t, reports, control.NotSent)
	}
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
	status(t, reports, control.ConnectionReset)

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
	n.dialling = true // to see whether the node is there
	n.handle(closed{c, io.EOF})
	n.handle(dialled{err: io.EOF})
	status(t, reports, control.ConnectionReset)
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
	c.Close()
	var got []string
	for m := range methods {
		got = append(got, m)
	}
	if want := []string{"SETUP", "TEARDOWN", "TEARDOWN"}; !slices.Equal(got, want) {
		t.Errorf("wrote %v, want %v", got, want)
	}
	n.dialling = true
	n.handle(try(3))
	n.handle(giveUp{3, 1, true}) // not a byte has left: a paid session may go on
	status(t, reports, control.TimedOut, control.ConnectFailed)
	// Where the late 200's connection has closed behind it, another one takes the TEARDOWN,
	// or the next that opens.
	for name, spare := range map[string]bool{"another": true, "the next": false} {
		n, _, _, _ := bed(t)
		n.pool.cfg.MaxConns = 0 // the script dials
		c, wrote := stub(), new(writes)
		other := &conn{Conn: wrote, touched: time.Now()}
		n.conns = []*conn{c}
		n.handle(try(1))
		n.handle(giveUp{1, 1, true})
		if spare {
			n.conns = append(n.conns, other)
		}
		c.Conn = failing{}
		n.handle(heard{c, message{kind: answered, id: 1, status: 200}})
		n.handle(closed{c, io.EOF})
		if !spare {
			n.handle(dialled{conn: other})
		}
		if !strings.HasPrefix(string(wrote.b), "TEARDOWN") || len(n.standing)+len(n.owed) != 0 {
			t.Errorf("%s wrote %q", name, wrote.b)
		}
	}
	// Where the node reads nothing, the close says it.
	n, c, far, _ = bed(t)
	n.conns, n.dialling = []*conn{c}, true
	n.handle(try(1))
	far.SetReadDeadline(time.Now())
	if _, err := far.Read(make([]byte, 1)); err != io.EOF {
		t.Error("not closed at once:", err)
	}
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
		if len(*reports) != 1 || (*reports)[0].Status != control.ConnectionReset || (*reports)[0].Cause != broker.CauseCut {
			t.Errorf("%s: %+v", name, *reports)
		}
	}
	n, _, _, reports := bed(t)
	n.dialling = true
	n.handle(stands{1})
	n.handle(dialled{err: io.EOF}) // one failed connection proves nothing
	status(t, reports)
}

// What a process that is gone had said may lie in the mailbox before the list's word or
// behind it. Either way no session stands by it, whoever answers at the address by then,
// and each set-up ends once.
func TestAnswerCrossesTheList(t *testing.T) {
	for name, lose := range map[string]func(n *node, up time.Time){
		"off the list": func(n *node, _ time.Time) {
			n.state.Store(int32(control.Gone))
			n.handle(listChange{})
		},
		"restarted": func(n *node, up time.Time) { n.handle(listChange{directory.Member{Up: up}}) },
	} {
		for order, steps := range map[string]string{
			"answer first": "al", "answer behind": "la", "answer and close first": "acl", "close before, answer between": "alc",
			"never ran": "lf", "never ran, said first": "fl", "no answer": "l", "end behind its answer": "lae", "end between": "ale", "no answer, close first": "cl",
		} {
			t.Run(name+"/"+order, func(t *testing.T) {
				n, _, _, reports := bed(t)
				n.pool.cfg.MaxConns = 0 // the script dials
				c := stub()
				n.conns = []*conn{c}
				n.handle(try(1))
				up := time.Now() // of the next process; what follows is handled late
				for _, step := range steps {
					switch step {
					case 'a':
						n.handle(heard{c, message{kind: answered, id: 1, status: 200}})
					case 'f':
						n.handle(heard{c, message{kind: answered, id: 1, status: 453}})
					case 'e':
						n.handle(heard{c, message{kind: ended, id: 1, cause: broker.CauseEnded}})
					case 'c':
						n.handle(closed{c, syscall.ECONNRESET})
					case 'l':
						lose(n, up)
					}
				}
				if !strings.Contains(steps, "c") {
					n.handle(closed{c, net.ErrClosed})
				}
				want := control.ConnectionReset
				if strings.Contains(steps, "f") {
					want = control.Full
				}
				if name == "off the list" {
					status(t, reports, want) // and not by a dial that is under way
				}
				if n.dialling {
					n.handle(dialled{conn: stub()}) // another process has the address
				}
				status(t, reports, want)
				last := (*reports)[len(*reports)-1] // only of a set-up: is the node there?
				if len(n.standing)+len(n.attempts)+len(n.doubted) != 0 || last.Cause == 0 && last.Confined != (want == control.ConnectionReset && name == "restarted") {
					t.Errorf("%d stand, %d out, %d doubted; %+v", len(n.standing), len(n.attempts), len(n.doubted), last)
				}
			})
		}
	}
	// What only waits for a connection ends at once, whatever becomes of the dial.
	for _, state := range []control.ServerState{control.Gone, control.Draining} {
		n, _, _, reports := bed(t)
		n.dialling = true
		n.handle(try(1))
		n.state.Store(int32(state))
		n.handle(listChange{})
		status(t, reports, control.NotSent)
	}
}

func TestUnderstand(t *testing.T) {
	for text, want := range map[string]message{
		"RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: 0a\r\nLink-State: x1:1.5;load_share:0.25\r\nContent-Length: 0\r\n\r\n":           {kind: tested, id: 10, status: 200, load: []float64{0.25, 1.5}},
		"RTSP/1.0 200 OK\r\nCSeq: 2\r\nSession: 0a\r\nContent-Length: 0\r\n\r\n":                                                 {id: 10, status: 200},
		"RTSP/1.0 100 Trying\r\nCSeq: 1\r\nSession: 0a\r\nContent-Length: 0\r\n\r\n":                                             {id: 10, status: 100},
		"RTSP/1.0 453 Full\r\nCSeq: 1\r\nSession: 0a\r\nLink-State: x1:2\r\nContent-Length: 0\r\n\r\n":                           {kind: answered, id: 10, status: 453, description: []byte{}},
		"TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nReason: cause=41\r\nContent-Length: 0\r\n\r\n":                       {kind: ended, id: 10, cause: 41},
		"TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nContent-Length: 0\r\n\r\n":                                           {kind: ended, id: 10, cause: 16},
		"ANNOUNCE rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nFail-Word: delivered\r\nX-Reading: 0.5\r\nContent-Length: 0\r\n\r\n": {kind: noted, id: 10, note: control.NoteDeliveredShare, value: 0.5},
		"ANNOUNCE rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nFail-Word: delivered\r\nX-Reading: x\r\nContent-Length: 0\r\n\r\n":   {id: 10, note: control.NoteDeliveredShare},
	} {
		var raw rtsp.Message
		if _, err := rtsp.Parse([]byte(text), &raw); err != nil {
			t.Fatal(err)
		}
		if got, ok := understand(&raw, []string{"load_share", "x1"}); !ok || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: %+v", text, got)
		}
	}
}

// After what is spoilt a connection is read no further, and what was spoilt is
// told to nobody; nor does a length of gigabytes take any memory.
func TestSpoiltAnswers(t *testing.T) {
	good := "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0a\r\nContent-Length: 3\r\n\r\na\r\n"
	for _, change := range [][2]string{
		{"CSeq: 1", "CSeq: x"}, {"Session: 0a", "Session: zz"}, {"Session: 0a", "Sess"}, {"Content-Length: 3\r\n", ""},
		{"Content-Length: 3", "Content-Length: 3000000000"}, {"Content-Length: 3", "Content-Length: -3"},
		{"Content-Length: 3", "Content-Length: 2"}, {"Content-Length: 3", "Content-Length: 9"}, {"Content-Length: 3", "Content-Length: 90"},
		{"RTSP/1.0 200", "\x00\xff RTSP/1.0 200"}, {"RTSP/1.0 200", "RTSP/1.0 2x0"}, {"\r\n\r\n", ""},
	} {
		near, far := net.Pipe()
		go func() {
			io.WriteString(far, strings.Replace(good, change[0], change[1], 1)+strings.Replace(good, "0a", "0b", 1))
		}()
		var got []message
		err := (&conn{Conn: near}).read(nil, func(m message) bool { got = append(got, m); return true })
		if len(got) != 0 || err == nil {
			t.Errorf("%q: told of %+v", change[1], got)
		}
		near.Close()
		far.Close()
	}
}

// A connection that broke under set-ups: whether its node is there still is
// known once another one could be opened, or not. Neither sends them again.
func TestBrokenConnectionIsJudged(t *testing.T) {
	for name, e := range map[string]struct {
		err      error
		then     dialled
		confined bool
	}{
		"spoilt":  {errSpoilt, dialled{}, true},
		"reset":   {io.ErrUnexpectedEOF, dialled{conn: &conn{}}, true},
		"refused": {io.ErrUnexpectedEOF, dialled{err: syscall.ECONNREFUSED}, false},
		"no word": {io.ErrUnexpectedEOF, dialled{err: os.ErrDeadlineExceeded}, false},
	} {
		n, c, far, reports := bed(t)
		n.conns, n.dialling = []*conn{c}, true
		go io.Copy(io.Discard, far)
		n.handle(try(1))
		n.handle(closed{c, e.err})
		if name != "spoilt" {
			status(t, reports)
			n.handle(e.then)
		}
		if len(*reports) != 1 || (*reports)[0].Status != control.ConnectionReset || (*reports)[0].Confined != e.confined ||
			(*reports)[0].Down != (name == "refused") ||
			len(n.attempts)+len(n.doubted) != 0 {
			t.Errorf("%s: %+v", name, *reports)
		}
	}
	n, c, far, reports := bed(t)
	n.conns, n.dialling = []*conn{c}, true
	go io.Copy(io.Discard, far)
	n.handle(try(1))
	n.handle(closed{c, io.EOF})
	n.handle(giveUp{1, 1, true}) // its time is up before that is known
	n.handle(dialled{err: io.EOF})
	status(t, reports, control.ConnectionReset)
}

// Nothing new is put on a connection that has been silent since a set-up, nor on
// one that a set-up timed out on with nothing after it.
func TestSilentConnection(t *testing.T) {
	n, c, far, _ := bed(t)
	n.conns, n.dialling = []*conn{c}, true
	go io.Copy(io.Discard, far)
	n.handle(try(1))
	if n.usable() != c {
		t.Error("not used at once")
	}
	c.asked = c.asked.Add(-2 * suspectTime)
	n.attempts[1].sent = c.asked
	if n.usable() != nil {
		t.Error("used while it is silent")
	}
	n.handle(heard{c, message{kind: answered, id: 99, status: 200}}) // a sign of life
	if n.usable() != c {
		t.Error("not used again")
	}
	n.handle(try(2))
	n.handle(giveUp{2, 1, true})
	if n.usable() != nil || !c.dead {
		t.Error("used after a time-out in silence")
	}
}

// A second copy of an answer, and one to an id never asked for, harm nothing.
func TestAnswersBeyondTheReal(t *testing.T) {
	n, c, far, reports := bed(t)
	n.conns = []*conn{c}
	wrote := make(chan []byte, 9)
	go func() {
		for b := make([]byte, 4096); ; b = make([]byte, 4096) {
			k, err := far.Read(b)
			if err != nil {
				close(wrote)
				return
			}
			wrote <- b[:k]
		}
	}()
	n.handle(try(1))
	for _, id := range []control.SessionID{9, 1, 1} {
		n.handle(heard{c, message{kind: answered, id: id, status: 200}})
	}
	c.Close()
	if len(*reports) != 1 || (*reports)[0].Kind != broker.Started || (*reports)[0].ID != 1 || n.standing[1] == nil {
		t.Errorf("%+v", *reports)
	}
	for b := range wrote {
		if !strings.HasPrefix(string(b), "SETUP") {
			t.Errorf("wrote %q", b)
		}
	}
}

// Want of descriptors is the program's own: set-ups never left, and the node is
// not lost for it. Connections that nothing needs are given back.
func TestDescriptorsAreShort(t *testing.T) {
	n, _, _, reports := bed(t)
	n.pool.cfg.MaxConns = 0
	n.handle(stands{1})
	n.heardAt = time.Now().Add(-lostTime)
	n.handle(try(2))
	for _, m := range n.box.Take(nil) {
		n.handle(m)
	}
	status(t, reports, control.NotSent)
	for i := range 5 {
		near, far := net.Pipe()
		defer near.Close()
		defer far.Close()
		n.conns = append(n.conns, &conn{Conn: near, touched: time.Now().Add(-2 * spareTime), open: i % 2})
	}
	n.dialling = true
	n.standing[3] = &stand{at: time.Now()} // whose end may come on any of them
	n.look(time.Now())
	if slices.ContainsFunc(n.conns, func(c *conn) bool { return c.dead }) {
		t.Error("a connection is given back while a session stands")
	}
	clear(n.standing)
	n.look(time.Now())
	for i, dead := range []bool{true, false, true, false, true} {
		if n.conns[i].dead != dead {
			t.Errorf("connection %d: given back %v", i, n.conns[i].dead)
		}
	}
}

// A new node at the address of another is another node: the old one gets no more.
func TestAddressIsTakenOver(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p := NewPool(ctx, new(errgroup.Group), Config{Report: func(broker.Report) {}, Log: zap.NewNop()})
	at := func(s control.ServerID, state control.ServerState) directory.Change {
		return directory.Change{Members: []directory.Member{{Entry: control.Entry{Server: s, State: state}, Addr: "127.0.0.1:1"}}}
	}
	p.Apply(at(1, control.Ready))
	old := p.nodes[1]
	p.Apply(at(2, control.Ready))
	if old.listed() != control.Gone || p.nodes[2].listed() != control.Ready {
		t.Error("both are listed")
	}
	p.Apply(at(1, control.Draining)) // late news of the old one
	if p.nodes[2].listed() != control.Ready {
		t.Error("the new one is gone")
	}
	cancel()
	p.group.Wait()
}

// A list that was silent tells at once that a node has gone, that another has its address
// and that it runs again elsewhere: what it had is lost, what it has since stays, and what
// waits goes to the new place, whatever the actor has seen of it.
func TestListTellsAllAtOnce(t *testing.T) {
	for name, seen := range map[string]int{"nothing": 0, "that it is gone": 1, "all": 2} {
		n, _, _, reports := bed(t)
		n.pool.cfg.MaxConns = 0 // the script dials
		n.pool.nodes[n.server] = n
		told := func(s control.ServerID, state control.ServerState, addr string, up time.Time) {
			n.pool.Apply(directory.Change{Members: []directory.Member{{Entry: control.Entry{Server: s, State: state}, Addr: addr, Up: up}}})
		}
		n.member.Addr = "old:1"
		c := stub()
		n.conns = []*conn{c}
		n.handle(try(1))
		n.handle(try(2))
		n.handle(heard{c, message{kind: answered, id: 2, status: 200}})
		up := time.Now()
		told(7, control.Gone, "", time.Time{})
		told(8, control.Ready, "old:1", time.Time{})
		told(7, control.Ready, "new:1", up)
		all := n.box.Take(nil)
		for _, m := range all[:seen] {
			n.handle(m)
		}
		since := stub() // to the process that runs now
		n.conns = append(n.conns, since)
		since.open, c.open = n.pool.cfg.StreamsPerConn, n.pool.cfg.StreamsPerConn
		n.handle(try(3)) // which the broker sent in between
		there := &conn{Conn: stubConn{}, touched: time.Now()}
		n.handle(dialled{conn: there, addr: "old:1"}) // another node's by now
		for _, m := range all[seen:] {
			n.handle(m)
		}
		if !c.dead {
			t.Error("a connection to the process that is gone stays")
		}
		n.handle(closed{c, net.ErrClosed})
		n.handle(dialled{conn: stub(), addr: "new:1"})
		status(t, reports, control.ConnectionReset, control.ConnectionReset)
		if a := n.attempts[3]; a == nil || a.conn != n.conns[len(n.conns)-1] || there.used || since.dead || len(n.standing) != 0 {
			t.Errorf("seen %s: %+v, %d stand; used there: %v, closed here: %v", name, a, len(n.standing), there.used, since.dead)
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
		m, _ := understand(&raw, nil)
		got <- m
	}()
	n.dialling = true
	n.handle(dialled{conn: c})
	if m := <-got; m.kind != ended || m.id != 10 || m.cause != broker.CauseCut || len(n.owed) != 0 {
		t.Errorf("%+v, %d owed", m, len(n.owed))
	}
}

// pair is both ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
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

// What a node said in the same packet as its close, in order or by a reset, counts, also
// where the actor hears of the close first, by a write that fails.
func TestWordAndCloseInOnePacket(t *testing.T) {
	const ok = "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 01\r\nContent-Length: 0\r\n\r\n"
	const end = "TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 01\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"
	for text, e := range map[string]struct {
		want   []control.Status
		stands int
	}{
		strings.Replace(ok, "200", "453", 1): {want: []control.Status{control.Full}},
		strings.Replace(ok, "200", "454", 1): {want: []control.Status{control.NotSent}},
		ok:                                   {stands: 1},
		ok + ok:                              {stands: 1}, // a second answer does nothing
		ok + end:                             {want: []control.Status{control.OK}},
		end + ok:                             {want: []control.Status{control.ConnectionReset}}, // as a set-up that broke
		ok + end[:40]:                        {stands: 1},
		ok[:40]:                              {want: []control.Status{control.ConnectionReset}},
		"\x00" + ok + end:                    {want: []control.Status{control.ConnectionReset}},
	} {
		for _, reset := range []bool{false, true} {
			for _, first := range []string{"read", "write"} {
				n, _, _, reports := bed(t)
				n.pool.cfg.MaxConns = 0 // the script dials
				near, far := pair(t)
				c := &conn{Conn: near, touched: time.Now()}
				n.conns = []*conn{c}
				n.handle(try(1))
				if _, err := io.ReadAtLeast(far, make([]byte, 4096), 1); err != nil {
					t.Fatal(err)
				}
				io.WriteString(far, text)
				if reset {
					far.(*net.TCPConn).SetLinger(0)
				}
				far.Close()
				for first == "write" && !c.dead {
					n.handle(probe{})
				}
				n.handle(closed{c, c.read(nil, func(m message) bool { n.handle(heard{c, m}); return true })})
				if n.dialling {
					n.handle(dialled{conn: stub()})
				}
				status(t, reports, e.want...)
				if len(n.standing) != e.stands || t.Failed() {
					t.Fatalf("%q, reset %v, %s first: %d stand", text, reset, first, len(n.standing))
				}
			}
		}
	}
}

// A connection that is retired is still read: a release may cross its end.
func TestRetiredConnectionIsStillRead(t *testing.T) {
	near, far := pair(t)
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
	io.WriteString(far, "TEARDOWN rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n")
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
	n.pool.ctx, n.member.Addr = ctx, l.Addr().String()
	n.connect()
	far, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	<-n.box.Ready() // dialled, and nobody takes it
	cancel()
	n.pool.group.Wait()
	if got := n.pool.conns.Load(); got != 0 {
		t.Errorf("%d connections are counted", got)
	}
}

// Whatever a node sends, figures that can't be reckoned with go no further.
func FuzzUnderstand(f *testing.F) {
	f.Add([]byte("ANNOUNCE rtsp://media/a RTSP/1.0\r\nSession: 0a\r\nFail-Word: link\r\nX-Reading: NaN\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: 0a\r\nLink-State: x1:Inf;load_share:-1\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var raw rtsp.Message
		if n, err := rtsp.Parse(in, &raw); n == 0 || err != nil {
			return
		}
		m, ok := understand(&raw, []string{"load_share", "x1"})
		for _, v := range append(m.load, m.value) {
			if ok && m.kind != other && !(v >= 0 && v <= math.MaxFloat64) {
				t.Errorf("%q: %+v", in, m)
			}
		}
	})
}

// Eighty managers that each look at a silent node open connections that carry
// nothing. A look's connection neither takes a set-up from one that is in use
// nor outlives it, and one in use serves for most of the node's idle time.
func TestLooksCostNoHandshake(t *testing.T) {
	n, look, _, _ := bed(t)
	inUse, far := net.Pipe()
	t.Cleanup(func() { inUse.Close(); far.Close() })
	go io.Copy(io.Discard, far)
	old := &conn{Conn: inUse, used: true, touched: time.Now().Add(-n.pool.cfg.ConnIdle * 8 / 10)}
	n.conns = []*conn{old, look}
	if n.usable() != old {
		t.Error("a set-up would go on a connection that nothing has used yet")
	}
	n.handle(try(1))
	if old.open != 1 || look.used {
		t.Errorf("%d set-ups on the connection in use", old.open)
	}
	old.open, old.touched = 0, time.Now().Add(-2*spareTime)
	for range keptConns {
		n.conns = append(n.conns, &conn{Conn: look.Conn, touched: old.touched})
	}
	n.look(time.Now())
	if old.dead || !n.conns[2].dead {
		t.Error("the connection in use was retired, and not one that was opened for a look")
	}
}

// Set-ups that waited for a connection may fill it at once. A probe that waited too
// goes on waiting, and the actor with it must not.
func TestProbeBehindFullConnection(t *testing.T) {
	n, c, far, _ := bed(t)
	go io.Copy(io.Discard, far)
	n.dialling = true
	n.handle(probe{})
	for id := range n.pool.cfg.StreamsPerConn {
		n.handle(try(control.SessionID(id + 1)))
	}
	done := make(chan struct{})
	go func() {
		n.handle(dialled{conn: c})
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("the actor turns in a circle")
	}
	if n.asked != 1 || !n.dialling || len(n.probes) != 0 {
		t.Errorf("%d probes wait, dialling %v", n.asked, n.dialling)
	}
}

// What waits for a connection takes a place that comes free meanwhile: the dial may be slow,
// or never come up.
func TestPlaceComesFreeUnderADial(t *testing.T) {
	n, _, _, reports := bed(t)
	c := stub()
	n.conns, n.dialling = []*conn{c}, true
	last := control.SessionID(n.pool.cfg.StreamsPerConn + 1)
	for id := range last {
		n.handle(try(id + 1))
	}
	n.handle(heard{c, message{kind: answered, id: 1, status: 200}})
	if n.attempts[last].conn != c {
		t.Error("it waits on")
	}
	n.handle(dialled{err: syscall.ETIMEDOUT})
	status(t, reports)
}

// Where the settings allow no probes none is written, whoever asks: the module hears that
// it never left, and a connection that may be mute is taken for it after a test's time.
func TestNoProbes(t *testing.T) {
	n, _, _, reports := bed(t)
	wrote := new(writes)
	c := &conn{Conn: wrote, touched: time.Now(), used: true}
	n.pool.cfg.NoProbes = true
	n.conns = []*conn{c}
	n.pool.nodes[n.server] = n
	n.dialling = true
	n.handle(stands{1})
	n.handle(try(2))
	n.handle(giveUp{2, 1, false}) // cancelled, without a word since it was written
	for _, later := range []time.Duration{2 * suspectTime, silentTime + time.Second} {
		n.look(time.Now().Add(later))
		if mute := later > silentTime; c.dead != mute {
			t.Errorf("after %v: taken for mute %v", later, c.dead)
		}
	}
	n.pool.Probe(n.server)
	if last := (*reports)[len(*reports)-1]; !n.box.Empty() || last.Kind != broker.Probed || last.Status != control.NotSent {
		t.Errorf("a probe is under way: %+v", last)
	}
	if got := string(wrote.b); strings.Contains(got, "OPTIONS") || strings.Count(got, "TEARDOWN") != 1 {
		t.Errorf("wrote %q", got)
	}
}

// writes keeps what is written on it.
type writes struct {
	stubConn
	b []byte
}

func (w *writes) Write(b []byte) (int, error) { w.b = append(w.b, b...); return len(b), nil }
