package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

// What load reports are made of: the link of a media server, and what a session is taken to
// ask of it, in kB a second.
const (
	linkKB    = 4 * 2459.0
	sessionKB = 767.0
)

// node is a stand-in for a media server: RTSP as PROTOCOL says.
type node struct {
	rec    *recorder
	id     string
	addr   string
	ln     net.Listener
	length func() time.Duration // how long a session lasts
	idle   time.Duration        // idle connections are closed after this time; 0: never
	delay  time.Duration        // time that a set-up takes

	mu       sync.Mutex
	draining bool
	forget   bool // idle connections are forgotten instead of closed
	conns    map[*nodeConn]bool
	sessions map[string]*nodeSession
	repeat   []string // ends to send again on the next connection that opens
	setups   []setup
	opened   int
	standing int
}

// setup is a SETUP that reached the node whole.
type setup struct {
	id, class string
	at        time.Time
	status    int
}

type nodeSession struct {
	id, class string
	conn      *nodeConn
	since     time.Time
	timer     *time.Timer
	over      time.Time // zero: it stands
	released  string    // the Reason of the session manager's TEARDOWN
}

type nodeConn struct {
	net.Conn
	node      *node
	wmu       sync.Mutex
	lastUsed  time.Time
	forgotten bool
	pending   map[string]*time.Timer // set-ups under way
}

func newNode(rec *recorder, id string) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	n := &node{rec: rec, id: id, addr: l.Addr().String(), ln: l, idle: 15 * time.Second,
		length: func() time.Duration { return 30 * time.Second },
		conns:  make(map[*nodeConn]bool), sessions: make(map[string]*nodeSession)}
	return n
}

func (n *node) start() {
	go func() {
		for {
			c, err := n.ln.Accept()
			if err != nil {
				return
			}
			nc := &nodeConn{Conn: c, node: n, lastUsed: time.Now(), pending: make(map[string]*time.Timer)}
			n.mu.Lock()
			n.conns[nc] = true
			n.opened++
			again := n.repeat
			n.repeat = nil
			n.mu.Unlock()
			for _, id := range again {
				nc.sendEnd(id)
			}
			go nc.read()
		}
	}()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			n.mu.Lock()
			for c := range n.conns {
				if n.idle > 0 && !c.forgotten && len(c.pending) == 0 && time.Since(c.lastUsed) > n.idle {
					if n.forget {
						c.forgotten = true
						delete(n.conns, c)
						n.rec.logf("%s: forgets a connection idle for %v", n.id, n.idle)
					} else {
						c.Close()
					}
				}
			}
			n.mu.Unlock()
		}
	}()
}

func (n *node) member(cell int) member {
	return member{ID: n.id, HostPort: n.addr, Locality: "hall-a", Flavor: "node-2c", Cell: cell, Phase: "in_service", Size: 4}
}

func (c *nodeConn) send(text string) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	c.node.mu.Lock()
	c.lastUsed = time.Now()
	c.node.mu.Unlock()
	io.WriteString(c.Conn, text)
}

func (c *nodeConn) sendEnd(id string) {
	c.node.rec.logf("%s: sends the end of %s", c.node.id, id)
	c.send(fmt.Sprintf("TEARDOWN rtsp://media/%s RTSP/1.0\r\nCSeq: 4\r\nSession: %s\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n", id, id))
}

// end ends a session on the node's own account.
func (n *node) end(id string) {
	n.mu.Lock()
	s := n.sessions[id]
	if s == nil || !s.over.IsZero() {
		n.mu.Unlock()
		return
	}
	s.over = time.Now()
	n.standing--
	to := s.conn
	if !n.conns[to] {
		to = nil
		for c := range n.conns {
			to = c
			break
		}
	}
	n.repeat = append(n.repeat, id)
	n.mu.Unlock()
	n.rec.logf("%s: %s has come to its end", n.id, id)
	if to != nil {
		to.sendEnd(id)
	}
}

func (c *nodeConn) read() {
	n := c.node
	r := textproto.NewReader(bufio.NewReader(c.Conn))
	defer func() {
		n.mu.Lock()
		for _, t := range c.pending { // a closed connection gives up the set-ups open on it
			t.Stop()
		}
		delete(n.conns, c)
		n.mu.Unlock()
		c.Close()
	}()
	for {
		line, err := r.ReadLine()
		if err != nil {
			return
		}
		h, err := r.ReadMIMEHeader()
		if err != nil {
			return
		}
		size, _ := strconv.Atoi(h.Get("Content-Length"))
		body := make([]byte, size)
		if _, err := io.ReadFull(r.R, body); err != nil {
			return
		}
		n.mu.Lock()
		forgotten := c.forgotten
		c.lastUsed = time.Now()
		n.mu.Unlock()
		if forgotten { // as a host does that knows nothing of the connection
			n.rec.logf("%s: a message came on a forgotten connection, which is reset: %s", n.id, line)
			c.Conn.(*net.TCPConn).SetLinger(0)
			return
		}
		c.handle(strings.Fields(line)[0], h, body)
	}
}

func (c *nodeConn) handle(method string, h textproto.MIMEHeader, body []byte) {
	n, id := c.node, h.Get("Session")
	reply := func(status int, extra, body string) {
		c.send(fmt.Sprintf("RTSP/1.0 %d X\r\nCSeq: %s\r\nSession: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, h.Get("CSeq"), id, extra, len(body), body))
	}
	n.mu.Lock()
	load := min(float64(n.standing)*sessionKB/linkKB, 1)
	n.mu.Unlock()
	report := fmt.Sprintf("Link-State: load_share:%.3f;x1:%.3f\r\n", load, load/2)
	switch method {
	case "OPTIONS":
		reply(200, report, "")
	case "SETUP":
		n.mu.Lock()
		status := 200
		if n.draining {
			status = 453
		}
		n.setups = append(n.setups, setup{id, h.Get("Call-Kind"), time.Now(), status})
		n.rec.logf("%s: SETUP %s %s rung %s, answered %d after %v", n.id, id, h.Get("Call-Kind"), h.Get("X-Quality"), status, n.delay)
		if status != 200 {
			n.mu.Unlock()
			reply(status, "", "")
			return
		}
		class := h.Get("Call-Kind")
		c.pending[id] = time.AfterFunc(n.delay, func() {
			n.mu.Lock()
			delete(c.pending, id)
			s := &nodeSession{id: id, class: class, conn: c, since: time.Now()}
			n.sessions[id] = s
			n.standing++
			s.timer = time.AfterFunc(n.length(), func() { n.end(id) })
			n.mu.Unlock()
			n.rec.logf("%s: %s stands", n.id, id)
			reply(200, "", "v=0\r\ns="+id+"\r\n")
		})
		n.mu.Unlock()
	case "TEARDOWN":
		n.mu.Lock()
		if t := c.pending[id]; t != nil {
			t.Stop()
			delete(c.pending, id)
		}
		if s := n.sessions[id]; s != nil && s.over.IsZero() {
			s.over, s.released = time.Now(), "TEARDOWN "+h.Get("Reason")
			s.timer.Stop()
			n.standing--
		}
		n.mu.Unlock()
		n.rec.logf("%s: TEARDOWN %s %s", n.id, id, h.Get("Reason"))
		reply(200, "", "")
	}
}
