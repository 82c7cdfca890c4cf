package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is a media server in the coordinator's list.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

type endpoints struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type update struct {
	Index     int       `json:"index"`
	Endpoints endpoints `json:"endpoints"`
}

type updates struct {
	Index   int      `json:"index"`
	Updates []update `json:"updates"`
}

// coordinator is a stand-in that answers GET /v2/stream as PROTOCOL says.
type coordinator struct {
	rec     *recorder
	addr    string
	mu      sync.Mutex
	events  []update
	changed chan struct{}
	server  *http.Server
	polls   int
	highest int // highest number that a poll has named
}

func newCoordinator(rec *recorder) *coordinator {
	return &coordinator{rec: rec, addr: freeAddr(), changed: make(chan struct{})}
}

// publish adds an event with the members.
func (c *coordinator) publish(complete bool, members ...member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.events) + 1
	c.events = append(c.events, update{n, endpoints{n, complete, members}})
	close(c.changed)
	c.changed = make(chan struct{})
	text, _ := json.Marshal(members)
	c.rec.logf("coordinator: event %d %s", n, text)
}

// known returns the events so far, as in the configuration.
func (c *coordinator) known() updates {
	c.mu.Lock()
	defer c.mu.Unlock()
	return updates{len(c.events), append([]update(nil), c.events...)}
}

func (c *coordinator) up() error {
	l, err := net.Listen("tcp", c.addr)
	if err != nil {
		return err
	}
	c.server = &http.Server{Handler: http.HandlerFunc(c.serve)}
	go c.server.Serve(l)
	c.rec.logf("coordinator: up")
	return nil
}

// down breaks off all connections and refuses new ones.
func (c *coordinator) down() {
	c.server.Close()
	c.rec.logf("coordinator: down")
}

func (c *coordinator) serve(w http.ResponseWriter, r *http.Request) {
	follow, _ := strconv.Atoi(r.URL.Query().Get("follow"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 5000)) * time.Millisecond)
	defer timer.Stop()
	c.mu.Lock()
	c.polls++
	c.highest = max(c.highest, follow)
	for len(c.events) <= follow {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			c.mu.Lock()
			goto answer
		case <-r.Context().Done():
			return
		}
		c.mu.Lock()
	}
answer:
	body := updates{Index: len(c.events), Updates: []update{}}
	if follow < len(c.events) {
		body.Updates = c.events[follow:]
	}
	text, _ := json.Marshal(body)
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	w.Write(text)
}

// acknowledged returns the highest event number that a poll has named.
func (c *coordinator) acknowledged() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.highest
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}
