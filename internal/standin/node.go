// Package standin provides stand-ins for the peers of the program: a media node that answers
// set-ups without playing anything, simulated nodes for virtual time, a DNS server and a listener
// that accepts nothing.
package standin

import (
	"net"
	"strconv"
	"sync"
	"time"

	"millethinge/internal/rtsp"
	"millethinge/internal/stream"
)

// Response is how a node answers one SETUP.
type Response struct {
	Status        int           // 0: the SETUP is never answered
	Delay         time.Duration // before the answer
	SessionLength time.Duration // after which the node ends the session; 0: never
}

// Counts counts what happened at the nodes that share it.
type Counts struct {
	mu                 sync.Mutex
	SetUps             map[string]int // SETUP messages by session
	Established        map[string]int // SETUP messages answered with 200, by session
	EstablishedByClass map[string]int // the same by class
	Teardowns          map[string]int // TEARDOWN messages by session
}

// NewCounts returns empty Counts.
func NewCounts() *Counts {
	return &Counts{SetUps: map[string]int{}, Established: map[string]int{}, EstablishedByClass: map[string]int{}, Teardowns: map[string]int{}}
}

// WithLock calls f with the mutex held.
func (b *Counts) WithLock(f func(*Counts)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(b)
}

// Node is a stand-in media node.
type Node struct {
	// Decide returns the response to the nth SETUP of a session, counted from 1. It is called with the
	// mutex of Counts held.
	Decide func(session string, nth int) Response
	Counts *Counts

	mu    sync.Mutex
	conns map[*sharedConn]bool // open connections
	ends  []string             // sessions whose end waits for a connection
}

// opened records an open connection and sends the ends that waited for one.
func (n *Node) opened(c *sharedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = make(map[*sharedConn]bool)
	}
	n.conns[c] = true
	for _, session := range n.ends {
		c.send(buildTeardown(session))
	}
	n.ends = nil
}

func (n *Node) closed(c *sharedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// endSession sends the end of a session on the connection of its set-up, or else on any open
// one, or on the next that opens.
func (n *Node) endSession(session string, setUpConn *sharedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[setUpConn] {
		setUpConn.send(buildTeardown(session))
		return
	}
	for c := range n.conns {
		c.send(buildTeardown(session))
		return
	}
	n.ends = append(n.ends, session)
}

// Serve accepts connections until l is closed.
func (n *Node) Serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go n.serveConn(c)
	}
}

// sharedConn is a connection that several goroutines write to.
type sharedConn struct {
	net.Conn
	mu sync.Mutex
}

func (l *sharedConn) send(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Write(b) // the manager may have gone
}

func (n *Node) serveConn(conn net.Conn) {
	defer conn.Close()
	c := &sharedConn{Conn: conn}
	n.opened(c)
	defer n.closed(c)
	in := stream.NewReader(conn, rtsp.MaxMessageSize)
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
	var response Response
	n.Counts.WithLock(func(b *Counts) {
		b.SetUps[session]++
		response = n.Decide(session, b.SetUps[session])
		if response.Status == 200 {
			b.Established[session]++
			b.EstablishedByClass[class]++
		}
	})
	if response.Status == 0 {
		return
	}
	respond := func() {
		if response.Status != 200 {
			c.send(buildResponse(response.Status, "1", session, ""))
			return
		}
		c.send(buildResponse(200, "1", session, "node;"+description))
		if response.SessionLength > 0 {
			time.AfterFunc(response.SessionLength, func() { n.endSession(session, c) })
		}
	}
	if response.Delay > 0 {
		time.AfterFunc(response.Delay, respond)
		return
	}
	respond()
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
