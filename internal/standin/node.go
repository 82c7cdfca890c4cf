// Package standin is a media node to try and test the program with. It plays
// nothing: it answers as its Decide says and keeps a bill.
package standin

import (
	"net"
	"strconv"
	"sync"
	"time"

	"millethinge/internal/rtsp"
	"millethinge/internal/stream"
)

// Response is what a node does with one SETUP.
type Response struct {
	Status        int           // of the answer; 0: none is ever sent
	Delay         time.Duration // before the answer
	SessionLength time.Duration // after which the node ends the session; 0: never
}

// Counts counts what nodes did, over all of them.
type Counts struct {
	mu                 sync.Mutex
	SetUps             map[string]int // SETUPs by session
	Established        map[string]int // of these, the ones that stood
	EstablishedByClass map[string]int // sessions that stood, by class
	Teardowns          map[string]int // TEARDOWNs by session
}

// NewCounts returns an empty Bill.
func NewCounts() *Counts {
	return &Counts{SetUps: map[string]int{}, Established: map[string]int{}, EstablishedByClass: map[string]int{}, Teardowns: map[string]int{}}
}

// WithLock calls f while the bill stands still.
func (b *Counts) WithLock(f func(*Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b)
}

// Node answers on the connections it is given.
type Node struct {
	// Decide says what becomes of the nth SETUP of a session, from 1.
	Decide func(session string, nth int) Response
	Counts *Counts
}

// Serve accepts until l is closed.
func (n *Node) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go n.serveConn(c)
	}
}

// sharedConn is a connection that several sessions write to.
type sharedConn struct {
	net.Conn
	mu sync.Mutex
}

func (l *sharedConn) send(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Write(b) // a manager that is gone needs no answer
}

func (n *Node) serveConn(nc net.Conn) {
	defer nc.Close()
	c := &sharedConn{Conn: nc}
	in := stream.NewReader(nc, rtsp.MaxMessageSize)
	var m rtsp.Message
	for {
		if err := in.Next(func(b []byte) (int, error) { return rtsp.Parse(b, &m) }); err != nil {
			return
		}
		session := string(m.Get("Session"))
		switch string(m.Method) {
		case "SETUP":
			n.setUp(c, session, string(m.Get("Call-Kind")), string(m.Body))
		case "TEARDOWN":
			n.Counts.WithLock(func(b *Counts) { b.Teardowns[session]++ })
			c.send(buildResponse(200, "2", session, ""))
		case "OPTIONS":
			b := rtsp.AppendResponse(nil, 200, "OK")
			b = rtsp.AppendHeader(b, "CSeq", string(m.Get("CSeq")))
			b = rtsp.AppendHeader(b, "Session", session)
			c.send(rtsp.AppendBody(rtsp.AppendHeader(b, "Link-State", "load_share:0.1;x1:0.1"), nil))
		}
	}
}

func (n *Node) setUp(c *sharedConn, session, class, description string) {
	var v Response
	n.Counts.WithLock(func(b *Counts) {
		b.SetUps[session]++
		v = n.Decide(session, b.SetUps[session])
		if v.Status == 200 {
			b.Established[session]++
			b.EstablishedByClass[class]++
		}
	})
	if v.Status == 0 {
		return
	}
	act := func() {
		if v.Status != 200 {
			c.send(buildResponse(v.Status, "1", session, ""))
			return
		}
		c.send(buildResponse(200, "1", session, "node;"+description))
		if v.SessionLength > 0 {
			time.AfterFunc(v.SessionLength, func() { c.send(buildTeardown(session)) })
		}
	}
	if v.Delay > 0 {
		time.AfterFunc(v.Delay, act)
		return
	}
	act()
}

func buildResponse(code int, seq, session, body string) []byte {
	b := rtsp.AppendResponse(nil, code, strconv.Itoa(code))
	b = rtsp.AppendHeader(b, "CSeq", seq)
	b = rtsp.AppendHeader(b, "Session", session)
	return rtsp.AppendBody(b, []byte(body))
}

func buildTeardown(session string) []byte {
	b := rtsp.AppendRequest(nil, "TEARDOWN", "rtsp://media/"+session)
	b = rtsp.AppendHeader(b, "CSeq", "4")
	b = rtsp.AppendHeader(b, "Session", session)
	return rtsp.AppendBody(rtsp.AppendHeader(b, "Reason", "cause=16"), nil)
}
