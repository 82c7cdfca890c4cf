package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// nodeCells is the number of cells. Each title is held by all of them.
const nodeCells = 8

// nodeLinkKB is the link of a media server, in kB a second.
const nodeLinkKB = 4 * 2459.0

// rackLinkKB is the uplink of each of two racks: 70% of what their links could carry.
func rackLinkKB(nodes int) float64 { return 0.7 * nodeLinkKB * float64(nodes) / 2 }

var ratesKB = []float64{172, 364, 767, 1617}

// node is a media server.
type node struct {
	rig  *rig
	id   string
	addr string
	cell int

	mu       sync.Mutex
	listener net.Listener
	conns    []*nodeConn             // open ones, the oldest first
	sessions map[string]*nodeSession // those that stand
	ran      map[string]int          // set-ups that ran, by session
	repeat   map[string]int          // ends that are sent once more on the next connection that opens, with their causes
	setUpAt  []time.Time             // when SETUPs came
	count    int                     // connections accepted
}

// setUpTime is how long a media server takes to set a session up.
const setUpTime = 5 * time.Millisecond

type nodeSession struct {
	conn *nodeConn // of its set-up
	rung int
}

type nodeConn struct {
	net.Conn
	write sync.Mutex
}

func (c *nodeConn) send(text string) error {
	c.write.Lock()
	defer c.write.Unlock()
	c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := io.WriteString(c, text)
	return err
}

func (r *rig) newNodes(count int) (nodes []*node) {
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		n := &node{rig: r, id: fmt.Sprintf("s-%08x", 0xc41f7a+i), addr: l.Addr().String(), cell: i % nodeCells, ran: map[string]int{}}
		n.serve(l)
		nodes = append(nodes, n)
		r.atEnd(n.stop)
	}
	return nodes
}

// serve starts a process of the media server: it knows no session.
func (n *node) serve(l net.Listener) {
	n.mu.Lock()
	n.sessions, n.repeat = map[string]*nodeSession{}, map[string]int{}
	n.mu.Unlock()
	n.accept(l)
}

// accept takes connections from l.
func (n *node) accept(l net.Listener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener = l
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go n.handle(l, &nodeConn{Conn: nc})
		}
	}()
}

// stop ends the process: its connections are reset.
func (n *node) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listener.Close()
	for _, c := range n.conns {
		c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	n.conns = nil
}

func (n *node) handle(l net.Listener, c *nodeConn) {
	n.mu.Lock()
	if n.listener != l {
		n.mu.Unlock()
		c.Close()
		return
	}
	n.conns = append(n.conns, c)
	n.count++
	repeat := n.repeat
	n.repeat = map[string]int{}
	n.mu.Unlock()
	for id, cause := range repeat { // "on the next connection that opens"
		c.send(teardown(id, cause))
		n.rig.note("%s: end of %s sent again on a new connection", n.id, id)
	}
	defer func() {
		c.Close()
		n.mu.Lock()
		for i, other := range n.conns {
			if other == c {
				n.conns = append(n.conns[:i:i], n.conns[i+1:]...)
				break
			}
		}
		n.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(15 * time.Second)) // the idle time in the settings
		line, headers, err := readRTSP(reader)
		if err != nil {
			return
		}
		method, _, _ := strings.Cut(line, " ")
		id := headers["session"]
		switch method {
		case "SETUP":
			n.setUp(c, id, headers)
		case "TEARDOWN":
			n.mu.Lock()
			delete(n.sessions, id)
			n.mu.Unlock()
			n.rig.note("%s: TEARDOWN of %s", n.id, id)
			c.send(response(200, 2, id, "", ""))
		case "OPTIONS":
			c.send(response(200, 3, id, n.load(), ""))
		case "SET_PARAMETER":
			rung, _ := strconv.Atoi(headers["x-quality"])
			n.mu.Lock()
			if s := n.sessions[id]; s != nil {
				s.rung = rung
			}
			n.mu.Unlock()
		}
	}
}

func (n *node) setUp(c *nodeConn, id string, headers map[string]string) {
	n.mu.Lock()
	n.setUpAt = append(n.setUpAt, time.Now())
	n.mu.Unlock()
	n.rig.note("%s: SETUP of %s (%s)", n.id, id, headers["call-kind"])
	rung, _ := strconv.Atoi(headers["x-quality"])
	time.AfterFunc(setUpTime, func() {
		n.mu.Lock()
		n.sessions[id] = &nodeSession{conn: c, rung: rung}
		n.ran[id]++
		n.mu.Unlock()
		c.send(response(200, 1, id, "", fmt.Sprintf("%s plays at %s\r\n", id, n.id)))
		n.rig.note("%s: %s plays", n.id, id)
	})
}

// load reports the share of the link that is asked for.
func (n *node) load() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := 0.0
	for _, s := range n.sessions {
		sum += ratesKB[min(max(s.rung, 0), len(ratesKB)-1)]
	}
	return fmt.Sprintf("Link-State: load_share:%.3f;x1:%.3f\r\n", min(sum/nodeLinkKB, 1), min(sum/nodeLinkKB, 1)/0.7)
}

// end ends a session as the media server does: on the connection of its set-up, or else on any
// open one, and also on the next connection that opens. It returns when the end was sent; zero
// if no connection was open.
func (n *node) end(id string, cause int) (sentAt time.Time) {
	n.mu.Lock()
	s := n.sessions[id]
	if s == nil {
		n.mu.Unlock()
		return time.Time{}
	}
	delete(n.sessions, id)
	open := append([]*nodeConn(nil), n.conns...)
	n.mu.Unlock()
	candidates := open
	for _, c := range open {
		if c == s.conn {
			candidates = append([]*nodeConn{c}, open...)
		}
	}
	for _, c := range candidates {
		if c.send(teardown(id, cause)) == nil {
			sentAt = time.Now()
			n.rig.note("%s: end of %s sent, on the connection of its set-up: %v", n.id, id, c == s.conn)
			break
		}
	}
	n.mu.Lock()
	n.repeat[id] = cause
	n.mu.Unlock()
	return sentAt
}

// accepted returns how many connections came up.
func (n *node) accepted() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.count
}

// stands reports whether a session stands here.
func (n *node) stands(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sessions[id] != nil
}

func (n *node) ranCount(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ran[id]
}

// nodeOf returns the media server at which a session stands, or nil.
func nodeOf(nodes []*node, id string) *node {
	for _, n := range nodes {
		if n.stands(id) {
			return n
		}
	}
	return nil
}

// ranIn returns how often a session was set up, over all media servers.
func ranIn(nodes []*node, id string) (count int) {
	for _, n := range nodes {
		count += n.ranCount(id)
	}
	return count
}

func teardown(id string, cause int) string {
	return fmt.Sprintf("TEARDOWN rtsp://media/%s RTSP/1.0\r\nCSeq: 2\r\nSession: %s\r\nReason: cause=%d\r\nContent-Length: 0\r\n\r\n", id, id, cause)
}

func response(status, cseq int, id, extra, body string) string {
	return fmt.Sprintf("RTSP/1.0 %d OK\r\nCSeq: %d\r\nSession: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, cseq, id, extra, len(body), body)
}

// readRTSP reads one message and passes over its body.
func readRTSP(r *bufio.Reader) (line string, headers map[string]string, err error) {
	headers = map[string]string{}
	for first := true; ; first = false {
		text, err := r.ReadString('\n')
		if err != nil {
			return "", nil, err
		}
		text = strings.TrimRight(text, "\r\n")
		if first {
			line = text
			continue
		}
		if text == "" {
			break
		}
		name, value, _ := strings.Cut(text, ":")
		headers[strings.ToLower(name)] = strings.TrimSpace(value)
	}
	length, _ := strconv.Atoi(headers["content-length"])
	_, err = io.CopyN(io.Discard, r, int64(length))
	return line, headers, err
}
