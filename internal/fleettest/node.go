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

// NodeModel describes how media nodes behave.
type NodeModel struct {
	LinkKB             float64          // kB/s, of a node that is warm
	MaxStreams         int              // concurrent sessions
	FullAtUtilization  float64          // link utilization from which set-ups are refused as full
	WarmUpTime         time.Duration    // from a start until the whole capacity is available
	StartCapacityShare float64          // share of the link and of the set-up rate that is available at a start
	RatesKB            []float64        // kB/s by rung of the rate ladder
	AnswerDelay        [2]time.Duration // least and most time from a SETUP to its answer
	SessionLength      [2]time.Duration // least and most
	ConnIdleTimeout    time.Duration    // a connection without messages is closed after it
	StreamsPerConn     int              // set-ups that may be open on one connection
	BilledClasses      map[string]bool  // classes whose set-ups are billed
}

// Node is a stand-in media node. It has one listener for each manager, which tells it to which
// manager a connection belongs.
type Node struct {
	Name, ID, Hall string // ID is the one on the list
	Cell           int
	Addrs          map[string]string // of the listeners, by manager

	model  NodeModel
	seed   uint64
	record *Record

	mu          sync.Mutex
	running     bool
	cold        bool
	startedAt   time.Time
	hangEnded   chan struct{} // closed when the current hang ends; nil: the node does not hang
	failShare   float64       // share of set-ups that are answered with an error
	conns       map[string]map[*nodeConn]bool
	sessions    map[string]*nodeSession
	pendingEnds map[string][]string // by manager: sessions whose TEARDOWN is sent again on the next connection
	goroutines  sync.WaitGroup
	listeners   []net.Listener
}

type nodeConn struct {
	net.Conn
	manager    string
	writeMu    sync.Mutex
	openSetUps map[string]bool // set-ups without an answer
	closed     bool
}

type nodeSession struct {
	manager string
	conn    *nodeConn // on which it was set up
	rung    int
	class   string
	timer   *time.Timer
}

// NewNode returns a node that runs and is warm. Listen makes it accept connections.
func NewNode(name, id, hall string, cell int, m NodeModel, seed uint64, record *Record) *Node {
	n := &Node{Name: name, ID: id, Hall: hall, Cell: cell, Addrs: map[string]string{}, model: m, seed: seed, record: record,
		running: true, startedAt: time.Now().Add(-time.Hour), conns: map[string]map[*nodeConn]bool{},
		sessions: map[string]*nodeSession{}, pendingEnds: map[string][]string{}}
	record.Add(Event{Kind: NodeStarted, Node: name})
	return n
}

// Listen accepts connections of one manager, at an address that Addrs then holds.
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

// Close stops the node and its listeners.
func (n *Node) Close() {
	n.Kill()
	n.mu.Lock()
	for _, l := range n.listeners {
		l.Close()
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// Kill simulates a crash: connections are reset and sessions end without a message. The listeners
// stay open; the relays before them have to refuse connections until Start.
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
		n.record.Add(Event{Kind: SessionLost, Manager: s.manager, Node: n.Name, ID: id, Class: s.class})
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
	n.record.Add(Event{Kind: NodeStopped, Node: n.Name})
}

// Start starts a killed node again, cold and without sessions.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.running, n.cold, n.startedAt = true, true, time.Now()
	n.record.Add(Event{Kind: NodeStarted, Node: n.Name, Cold: true})
}

// StartedAt returns the time of the last start.
func (n *Node) StartedAt() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.startedAt
}

// Hang makes the node accept connections and answer nothing until Unhang.
func (n *Node) Hang() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hangEnded == nil {
		n.hangEnded = make(chan struct{})
	}
}

// Unhang ends a hang.
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

// SetFailShare makes the node answer a share of its set-ups with status 500.
func (n *Node) SetFailShare(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failShare = share
}

// EstablishedSessions returns how many sessions the node plays.
func (n *Node) EstablishedSessions() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.sessions)
}

// EndSessions ends up to most sessions of a manager ("": of any) and returns how many it ended.
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

// waitWhileHung blocks while the node hangs.
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
	for _, id := range n.pendingEnds[c.manager] { // repeated on the next connection that opens
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
	clear(c.openSetUps) // a closed connection abandons the set-ups open on it
	delete(n.conns[c.manager], c)
}

// rungOf returns the rung that a message names, or -1.
func rungOf(m *rtsp.Message) int {
	v, ok := header.ParseDecimal(m.Get("X-Quality"))
	if !ok {
		return -1
	}
	return int(v)
}

// fraction returns a pseudo-random number from 0 to 1 for one use (what) of a session at this node.
// It does not depend on the order of events.
func (n *Node) fraction(id, what string) float64 {
	h := fnv.New64a()
	h.Write([]byte(n.Name + id + what))
	return rand.New(rand.NewPCG(n.seed, h.Sum64())).Float64()
}

// interpolate returns the duration at a fraction of the way from l[0] to l[1].
func interpolate(l [2]time.Duration, at float64) time.Duration {
	return l[0] + time.Duration(at*float64(l[1]-l[0]))
}

func (n *Node) setUp(c *nodeConn, id string, m *rtsp.Message) {
	class, rung, body := string(m.Get("Call-Kind")), rungOf(m), string(m.Body)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record.Add(Event{Kind: SetUpReceived, Manager: c.manager, Node: n.Name, ID: id, Class: class, Billed: n.model.BilledClasses[class], Rung: rung})
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
			return // abandoned
		}
		delete(c.openSetUps, id)
		text := ""
		if status == 200 {
			text = n.Name + ";" + body
			length := interpolate(n.model.SessionLength, n.fraction(id, "length"))
			n.sessions[id] = &nodeSession{manager: c.manager, conn: c, rung: max(rung, 0), class: class, timer: time.AfterFunc(length, func() {
				n.waitWhileHung()
				n.mu.Lock()
				defer n.mu.Unlock()
				n.endSession(id)
			})}
			n.record.Add(Event{Kind: SessionEstablished, Manager: c.manager, Node: n.Name, ID: id, Class: class, Billed: n.model.BilledClasses[class], Text: text})
		}
		n.record.Add(Event{Kind: SetUpAnswered, Manager: c.manager, Node: n.Name, ID: id, Cause: status})
		c.send(buildResponse(status, "1", id, text))
	})
}

// endSession ends a session by the node's own decision. It sends TEARDOWN on the connection of the
// set-up, or if that is closed on any open one, and once more on the next connection that opens.
func (n *Node) endSession(id string) {
	s := n.sessions[id]
	if s == nil {
		return
	}
	delete(n.sessions, id)
	n.record.Add(Event{Kind: SessionEnded, Manager: s.manager, Node: n.Name, ID: id, Class: s.class, Cause: 16})
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
		delete(o.openSetUps, id) // abandon the set-up
	}
	if s := n.sessions[id]; s != nil && s.manager == c.manager {
		s.timer.Stop()
		delete(n.sessions, id)
		n.record.Add(Event{Kind: SessionTornDown, Manager: c.manager, Node: n.Name, ID: id, Class: s.class})
	}
	c.send(buildResponse(200, "2", id, ""))
}

func (n *Node) setRung(id string, rung int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if s := n.sessions[id]; s != nil && rung >= 0 {
		s.rung = rung
	}
}

// demandKB returns the kB/s that the sessions need.
func (n *Node) demandKB() (kb float64) {
	for _, s := range n.sessions {
		kb += n.model.RatesKB[min(s.rung, len(n.model.RatesKB)-1)]
	}
	return kb
}

// linkKB returns the kB/s that the link gives at present, which grows during the warm-up.
func (n *Node) linkKB() float64 {
	if !n.cold {
		return n.model.LinkKB
	}
	warm := min(time.Since(n.startedAt).Seconds()/n.model.WarmUpTime.Seconds(), 1)
	return n.model.LinkKB * (n.model.StartCapacityShare + (1-n.model.StartCapacityShare)*warm)
}

// loadReport returns the answer to an OPTIONS request.
func (n *Node) loadReport(seq, id string) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := rtsp.AppendResponse(nil, 200, "OK")
	b = rtsp.AppendHeader(b, "CSeq", seq)
	b = rtsp.AppendHeader(b, "Session", id)
	return rtsp.AppendBody(rtsp.AppendHeader(b, "Link-State", fmt.Sprintf("util:%.3f;x1:0.1", n.demandKB()/n.linkKB())), nil)
}

// AnnounceShortfall tells each manager on one of its sessions which share of the rate is delivered,
// if the link is too small for the demand. The caller calls it once a second.
func (n *Node) AnnounceShortfall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	demandKB := n.demandKB()
	if !n.running || n.hangEnded != nil || demandKB <= n.linkKB() {
		return
	}
	announced := map[string]bool{}
	for id, s := range n.sessions {
		if announced[s.manager] || s.conn.closed {
			continue
		}
		announced[s.manager] = true
		b := rtsp.AppendRequest(nil, "ANNOUNCE", "rtsp://media/"+id)
		b = rtsp.AppendHeader(b, "CSeq", "4")
		b = rtsp.AppendHeader(b, "Session", id)
		b = rtsp.AppendHeader(b, "Fail-Word", "delivered")
		s.conn.send(rtsp.AppendBody(rtsp.AppendHeader(b, "X-Reading", fmt.Sprintf("%.3f", n.linkKB()/demandKB)), nil))
	}
}

// send writes one message. The write deadline keeps a manager that reads nothing from blocking the
// node.
func (c *nodeConn) send(b []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	c.Write(b) // the peer may have closed
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
