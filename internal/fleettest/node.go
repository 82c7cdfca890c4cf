package fleettest

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"millethinge/internal/header"
	"millethinge/internal/rtsp"
	"millethinge/internal/stream"
)

// NodeModel is what media nodes are like.
type NodeModel struct {
	LinkKB             float64       // a second, at full warmth
	MaxStreams         int           // streams at most
	FullAtUtilization  float64       // refuses as full at this use of its link
	WarmUpTime         time.Duration // until a node that started late is warm
	StartCapacityShare float64       // of its link and pace that is warm at the start
	RatesKB            []float64     // of the ladder
	AnswerDelay        [2]time.Duration
	SessionLength      [2]time.Duration // of sessions
	ConnIdleTimeout    time.Duration    // after which it closes a connection
	StreamsPerConn     int              // set-ups that may be open on one connection
	BilledClasses      map[string]bool  // classes that are billed
}

// Node is a stand-in media node. It serves each manager at a listener of its own,
// so that it knows whose each connection is.
type Node struct {
	Name, ID, Hall string // ID is the list's
	Cell           int
	Addrs          map[string]string // where its listener for each manager is

	model  NodeModel
	seed   uint64
	record *Record

	mu          sync.Mutex
	running     bool
	cold        bool
	startedAt   time.Time
	hangEnded   chan struct{} // it stands still until this is closed
	failShare   float64       // share of set-ups that it fails at once
	conns       map[string]map[*nodeConn]bool
	sessions    map[string]*nodeSession
	pendingEnds map[string][]string // by manager: ends to be said again on the next connection
	goroutines  sync.WaitGroup
	listeners   []net.Listener
}

type nodeConn struct {
	net.Conn
	manager    string
	writeMu    sync.Mutex
	openSetUps map[string]bool // set-ups that wait for their answer
	closed     bool
}

type nodeSession struct {
	manager string
	conn    *nodeConn // of its set-up
	rung    int
	class   string
	timer   *time.Timer
}

// NewNode returns a node that runs and is warm. Listen has it serve managers.
func NewNode(name, id, hall string, cell int, m NodeModel, seed uint64, record *Record) *Node {
	n := &Node{Name: name, ID: id, Hall: hall, Cell: cell, Addrs: map[string]string{}, model: m, seed: seed, record: record,
		running: true, startedAt: time.Now().Add(-time.Hour), conns: map[string]map[*nodeConn]bool{},
		sessions: map[string]*nodeSession{}, pendingEnds: map[string][]string{}}
	record.Add(Event{Kind: Up, Node: name})
	return n
}

// Listen serves one manager.
func (n *Node) Listen(manager string) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("fleettest: %w", err)
	}
	n.mu.Lock()
	n.Addrs[manager] = l.Addr().String()
	n.listeners = append(n.listeners, l)
	n.conns[manager] = map[*nodeConn]bool{}
	n.mu.Unlock()
	n.goroutines.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.goroutines.Go(func() { n.serveConn(&nodeConn{Conn: c, manager: manager, openSetUps: map[string]bool{}}) })
		}
	})
	return nil
}

// Close ends the node for good.
func (n *Node) Close() {
	n.Kill()
	n.mu.Lock()
	for _, l := range n.listeners {
		l.Close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// Kill ends its process: connections are reset, sessions cut. What is said after it
// is up to the relays before it, which refuse until it is started again.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running {
		return
	}
	n.running = false
	n.unhang()
	for id, s := range n.sessions {
		s.timer.Stop()
		n.record.Add(Event{Kind: Cut, Manager: s.manager, Node: n.Name, ID: id, Class: s.class})
	}
	clear(n.sessions)
	clear(n.pendingEnds)
	for _, l := range n.conns {
		for c := range l {
			c.closed = true
			if t, ok := c.Conn.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Conn.Close()
		}
		clear(l)
	}
	n.record.Add(Event{Kind: Down, Node: n.Name})
}

// Start has it run again, from nothing and cold.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running, n.cold, n.startedAt = true, true, time.Now()
	n.record.Add(Event{Kind: Up, Node: n.Name, Cold: true})
}

// StartedAt is when it last started.
func (n *Node) StartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// Hang has it stand still: it takes connections and answers nothing.
func (n *Node) Hang() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hangEnded == nil {
		n.hangEnded = make(chan struct{})
	}
}

// Unhang has it go on.
func (n *Node) Unhang() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unhang()
}

func (n *Node) unhang() {
	if n.hangEnded != nil {
		close(n.hangEnded)
		n.hangEnded = nil
	}
}

// SetFailShare has it fail a share of its set-ups at once.
func (n *Node) SetFailShare(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failShare = share
}

// EstablishedSessions is how many sessions it plays.
func (n *Node) EstablishedSessions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions)
}

// EndSessions has up to so many of its sessions of a manager ("" for any) come to their
// end now, and tells how many did.
func (n *Node) EndSessions(manager string, most int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	done := 0
	for id, s := range n.sessions {
		if done < most && (manager == "" || s.manager == manager) {
			done++
			s.timer.Stop()
			n.endSession(id)
		}
	}
	return done
}

// waitWhileHung holds while the node stands still.
func (n *Node) waitWhileHung() {
	n.mu.Lock()
	hung := n.hangEnded
	n.mu.Unlock()
	if hung != nil {
		<-hung
	}
}

func (n *Node) serveConn(c *nodeConn) {
	defer c.Close()
	n.waitWhileHung()
	n.mu.Lock()
	if !n.running {
		n.mu.Unlock()
		return
	}
	n.conns[c.manager][c] = true
	for _, id := range n.pendingEnds[c.manager] { // once more on the next connection that opens
		c.send(buildTeardown(id, 16))
	}
	delete(n.pendingEnds, c.manager)
	n.mu.Unlock()
	in := stream.NewReader(c, rtsp.MaxMessageSize)
	var m rtsp.Message
	for {
		c.SetReadDeadline(time.Now().Add(n.model.ConnIdleTimeout))
		err := in.Next(func(b []byte) (int, error) { return rtsp.Parse(b, &m) })
		n.waitWhileHung()
		if err != nil {
			break
		}
		session := string(m.Get("Session"))
		switch string(m.Method) {
		case "SETUP":
			n.setUp(c, session, &m)
		case "TEARDOWN":
			n.tearDown(c, session)
		case "SET_PARAMETER":
			n.setRung(session, rungOf(&m))
		case "OPTIONS":
			c.send(n.loadReport(string(m.Get("CSeq")), session))
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c.closed = true
	clear(c.openSetUps) // a closed connection gives up the set-ups open on it
	delete(n.conns[c.manager], c)
}

func rungOf(m *rtsp.Message) int {
	v, ok := header.ParseDecimal(m.Get("X-Quality"))
	if !ok {
		return -1
	}
	return int(v)
}

// fraction is a number from 0 to 1 that a session has with this node, whatever the order
// in which things happen.
func (n *Node) fraction(id, what string) float64 {
	h := fnv.New64a()
	h.Write([]byte(n.Name + id + what))
	return rand.New(rand.NewPCG(n.seed, h.Sum64())).Float64()
}

func interpolate(l [2]time.Duration, at float64) time.Duration {
	return l[0] + time.Duration(at*float64(l[1]-l[0]))
}

func (n *Node) setUp(c *nodeConn, id string, m *rtsp.Message) {
	class, q, body := string(m.Get("Call-Kind")), rungOf(m), string(m.Body)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Add(Event{Kind: Came, Manager: c.manager, Node: n.Name, ID: id, Class: class, Paid: n.model.BilledClasses[class], Rung: q})
	status := 200
	switch {
	case n.fraction(id, "fails") < n.failShare:
		status = 500
	case len(n.sessions) >= n.model.MaxStreams || n.demandKB() >= n.model.FullAtUtilization*n.linkKB():
		status = 453
	}
	c.openSetUps[id] = true
	time.AfterFunc(interpolate(n.model.AnswerDelay, n.fraction(id, "answer")), func() {
		n.waitWhileHung()
		n.mu.Lock()
		defer n.mu.Unlock()
		if !n.running || !c.openSetUps[id] {
			return // given up
		}
		delete(c.openSetUps, id)
		text := ""
		if status == 200 {
			text = n.Name + ";" + body
			length := interpolate(n.model.SessionLength, n.fraction(id, "length"))
			n.sessions[id] = &nodeSession{manager: c.manager, conn: c, rung: max(q, 0), class: class, timer: time.AfterFunc(length, func() {
				n.waitWhileHung()
				n.mu.Lock()
				defer n.mu.Unlock()
				n.endSession(id)
			})}
			n.record.Add(Event{Kind: Ran, Manager: c.manager, Node: n.Name, ID: id, Class: class, Paid: n.model.BilledClasses[class], Text: text})
		}
		n.record.Add(Event{Kind: Said, Manager: c.manager, Node: n.Name, ID: id, Cause: status})
		c.send(buildResponse(status, "1", id, text))
	})
}

// endSession brings a session to its end, and says so on the connection of its set-up or
// else on any open one, and once more on the next that opens.
func (n *Node) endSession(id string) {
	s := n.sessions[id]
	if s == nil {
		return
	}
	delete(n.sessions, id)
	n.record.Add(Event{Kind: Ended, Manager: s.manager, Node: n.Name, ID: id, Class: s.class, Cause: 16})
	n.pendingEnds[s.manager] = append(n.pendingEnds[s.manager], id)
	c := s.conn
	if c.closed {
		c = nil
		for o := range n.conns[s.manager] {
			c = o
			break
		}
	}
	if c != nil {
		c.send(buildTeardown(id, 16))
	}
}

func (n *Node) tearDown(c *nodeConn, id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for o := range n.conns[c.manager] {
		delete(o.openSetUps, id) // the set-up is given up
	}
	if s := n.sessions[id]; s != nil && s.manager == c.manager {
		s.timer.Stop()
		delete(n.sessions, id)
		n.record.Add(Event{Kind: Released, Manager: c.manager, Node: n.Name, ID: id, Class: s.class})
	}
	c.send(buildResponse(200, "2", id, ""))
}

func (n *Node) setRung(id string, q int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.sessions[id]; s != nil && q >= 0 {
		s.rung = q
	}
}

func (n *Node) demandKB() (kb float64) {
	for _, s := range n.sessions {
		kb += n.model.RatesKB[min(s.rung, len(n.model.RatesKB)-1)]
	}
	return kb
}

// linkKB is what its link gives at present.
func (n *Node) linkKB() float64 {
	if !n.cold {
		return n.model.LinkKB
	}
	warm := min(time.Since(n.startedAt).Seconds()/n.model.WarmUpTime.Seconds(), 1)
	return n.model.LinkKB * (n.model.StartCapacityShare + (1-n.model.StartCapacityShare)*warm)
}

func (n *Node) loadReport(seq, id string) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := rtsp.AppendResponse(nil, 200, "OK")
	b = rtsp.AppendHeader(b, "CSeq", seq)
	b = rtsp.AppendHeader(b, "Session", id)
	return rtsp.AppendBody(rtsp.AppendHeader(b, "Link-State", fmt.Sprintf("util:%.3f;x1:0.1", n.demandKB()/n.linkKB())), nil)
}

// AnnounceShortfall tells each manager with sessions here what share is delivered, on one of its
// sessions, while that is short. It is to be called each second.
func (n *Node) AnnounceShortfall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	asked := n.demandKB()
	if !n.running || n.hangEnded != nil || asked <= n.linkKB() {
		return
	}
	told := map[string]bool{}
	for id, s := range n.sessions {
		if told[s.manager] || s.conn.closed {
			continue
		}
		told[s.manager] = true
		b := rtsp.AppendRequest(nil, "ANNOUNCE", "rtsp://media/"+id)
		b = rtsp.AppendHeader(b, "CSeq", "4")
		b = rtsp.AppendHeader(b, "Session", id)
		b = rtsp.AppendHeader(b, "Fail-Word", "delivered")
		s.conn.send(rtsp.AppendBody(rtsp.AppendHeader(b, "X-Reading", fmt.Sprintf("%.3f", n.linkKB()/asked)), nil))
	}
}

// send writes one message. A manager that reads nothing is not waited for.
func (c *nodeConn) send(b []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write(b) // one that is gone needs no answer
}

func buildResponse(code int, seq, id, body string) []byte {
	b := rtsp.AppendResponse(nil, code, strconv.Itoa(code))
	b = rtsp.AppendHeader(b, "CSeq", seq)
	b = rtsp.AppendHeader(b, "Session", id)
	return rtsp.AppendBody(b, []byte(body))
}

func buildTeardown(id string, cause int) []byte {
	b := rtsp.AppendRequest(nil, "TEARDOWN", "rtsp://media/"+id)
	b = rtsp.AppendHeader(b, "CSeq", "4")
	b = rtsp.AppendHeader(b, "Session", id)
	return rtsp.AppendBody(rtsp.AppendHeader(b, "Reason", "cause="+strconv.Itoa(cause)), nil)
}
