package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// viewerMessage is a line of the protocol between viewers and session managers.
type viewerMessage struct {
	Type   string            `json:"type"`
	ID     string            `json:"id"`
	Fields map[string]string `json:"fields"`
	Cause  *int              `json:"cause,omitempty"`
	SDP    string            `json:"sdp,omitempty"`
}

// viewerSession is what a viewer knows of one session.
type viewerSession struct {
	id, class string
	sentAt    time.Time
	answers   []viewerMessage // final answers to the set-up
	answered  time.Time
	over      time.Time // when it was released after its answer
	lost      bool      // the connection ended before the answer
}

// viewerConn is a connection of a viewer, which may carry several sessions.
type viewerConn struct {
	net.Conn
	rec  *recorder
	name string

	mu       sync.Mutex
	sessions map[string]*viewerSession
	others   []viewerMessage
	ends     map[string]time.Time // when a release first came, by session
	closed   time.Time
}

func dialViewer(rec *recorder, name, addr string) (*viewerConn, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	v := &viewerConn{Conn: c, rec: rec, name: name, sessions: make(map[string]*viewerSession), ends: make(map[string]time.Time)}
	go v.read()
	return v, nil
}

func (v *viewerConn) read() {
	s := bufio.NewScanner(v.Conn)
	s.Buffer(nil, 64<<10)
	for s.Scan() {
		v.rec.logf("%s: received %s", v.name, s.Text())
		var m viewerMessage
		if json.Unmarshal(s.Bytes(), &m) != nil {
			continue
		}
		v.mu.Lock()
		if _, again := v.ends[m.ID]; m.Type == "release" && !again {
			v.ends[m.ID] = time.Now()
		}
		switch se := v.sessions[m.ID]; {
		case se == nil || m.Type != "answer" && m.Type != "release" && m.Type != "move":
			v.others = append(v.others, m)
		case len(se.answers) == 0 || m.Type == "answer":
			se.answers, se.answered = append(se.answers, m), time.Now()
		case se.over.IsZero():
			se.over = time.Now()
		}
		v.mu.Unlock()
		if m.Type == "release" {
			v.send(viewerMessage{Type: "released", ID: m.ID, Fields: map[string]string{}})
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.closed = time.Now()
	for _, se := range v.sessions {
		se.lost = len(se.answers) == 0
	}
	v.rec.logf("%s: connection ended", v.name)
}

// setup sends a set-up.
func (v *viewerConn) setup(id, class, title string, copies int) *viewerSession {
	se := &viewerSession{id: id, class: class, sentAt: time.Now()}
	v.mu.Lock()
	v.sessions[id] = se
	v.mu.Unlock()
	v.send(viewerMessage{Type: "setup", ID: id, SDP: "v=0\r\n", Fields: map[string]string{
		"class": class, "left": "3000", "key": title, "extras": fmt.Sprintf("home:0;copies:%d;top:3", copies)}})
	return se
}

// release sends a release.
func (v *viewerConn) release(id string, cause int) {
	v.send(viewerMessage{Type: "release", ID: id, Fields: map[string]string{}, Cause: &cause})
}

func (v *viewerConn) send(m viewerMessage) {
	text, _ := json.Marshal(m)
	v.rec.logf("%s: sends %s", v.name, text)
	v.Conn.Write(append(text, '\n'))
}

// state returns a copy of what is known of a session.
func (v *viewerConn) state(id string) viewerSession {
	v.mu.Lock()
	defer v.mu.Unlock()
	return *v.sessions[id]
}

// ping sends a test and reports whether it was passed, within a second.
func ping(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintln(c, `{"type":"ping","id":"0000000000000001","fields":{},"cause":0}`)
	line, _ := bufio.NewReader(c).ReadString('\n')
	var m viewerMessage
	return json.Unmarshal([]byte(line), &m) == nil && m.Type == "pong" && m.Cause != nil && *m.Cause == 1
}

// crowd is the usual viewers: each sends one set-up on a connection of its own.
type crowd struct {
	wg    sync.WaitGroup
	mu    sync.Mutex
	conns []*viewerConn
}

// startTraffic lets viewers come until stop is closed: perS a second, by chance. A viewer
// closes its connection 4 s after it was refused or its session is over.
func startTraffic(e *env, perS float64, copies int, stop <-chan struct{}) *crowd {
	c := new(crowd)
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perS * float64(time.Second))):
			}
			v, err := dialViewer(e.rec, fmt.Sprintf("viewer %d", i), e.plat.listen)
			if err != nil {
				e.rec.logf("viewer %d: %v", i, err)
				continue
			}
			class := "feed"
			if rand.Float64() < 0.35 {
				class = "clip"
			}
			id := fmt.Sprintf("%016x", rand.Uint64())
			v.setup(id, class, fmt.Sprintf("%016x", rand.Uint64N(1000)+1), copies)
			c.mu.Lock()
			c.conns = append(c.conns, v)
			c.mu.Unlock()
			go v.leave(id, stop)
		}
	}()
	return c
}

// leave closes the connection 4 s after nothing more is expected on it.
func (v *viewerConn) leave(id string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		s := v.state(id)
		refused := len(s.answers) > 0 && s.answers[0].Type == "release" && time.Since(s.answered) > 4*time.Second
		if refused || !s.over.IsZero() && time.Since(s.over) > 4*time.Second {
			v.Close()
			return
		}
	}
}

func (c *crowd) wait() { c.wg.Wait() }

// find returns what the viewers know of a session.
func (c *crowd) find(id string) (s viewerSession, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.conns {
		v.mu.Lock()
		found := v.sessions[id]
		if found != nil {
			s, ok = *found, true
		}
		v.mu.Unlock()
		if ok {
			return s, true
		}
	}
	return s, false
}

// releases returns when the connection was first told of the end of each session, its own
// or another.
func (v *viewerConn) releases() map[string]time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := make(map[string]time.Time)
	for id, t := range v.ends {
		first[id] = t
	}
	return first
}

// heard returns when any of the viewers was first told of the end of each session.
func (c *crowd) heard() map[string]time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := make(map[string]time.Time)
	for _, v := range c.conns {
		for id, t := range v.releases() {
			if at, ok := first[id]; !ok || t.Before(at) {
				first[id] = t
			}
		}
	}
	return first
}
