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

// coordinator tells the list of media servers, as PROTOCOL says.
type coordinator struct {
	rig    *rig
	addr   string
	mu     sync.Mutex
	events []any
	change chan struct{} // closed at the next event
	queue  time.Duration // how long each call waits for its turn
}

func (r *rig) newCoordinator() *coordinator {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	c := &coordinator{rig: r, addr: l.Addr().String(), change: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(c.answer)}
	go server.Serve(l)
	r.atEnd(func() { server.Close() })
	return c
}

// tell adds an event.
func (c *coordinator) tell(complete bool, members ...map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := len(c.events) + 1
	c.events = append(c.events, map[string]any{"index": index,
		"endpoints": map[string]any{"revision": index, "complete": complete, "members": members}})
	for _, m := range members {
		c.rig.note("coordinator: event %d: %v %v up since %v", index, m["id"], m["phase"], m["up_since_ms"])
	}
	close(c.change)
	c.change = make(chan struct{})
}

// setQueue sets how long each call waits for its turn from now on.
func (c *coordinator) setQueue(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = d
	c.rig.note("coordinator: each call waits %v for its turn", d)
}

// known returns the events so far, as the configuration holds them.
func (c *coordinator) known() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]any{"index": len(c.events), "updates": append([]any(nil), c.events...)}
}

func (c *coordinator) answer(w http.ResponseWriter, request *http.Request) {
	follow, _ := strconv.Atoi(request.URL.Query().Get("follow"))
	waitMS, _ := strconv.Atoi(request.URL.Query().Get("wait_ms"))
	c.mu.Lock()
	queue := c.queue
	c.mu.Unlock()
	time.Sleep(queue)
	end := time.After(max(time.Duration(min(waitMS, 5000))*time.Millisecond-queue, 0))
	for {
		c.mu.Lock()
		events, change := c.events, c.change
		c.mu.Unlock()
		timedOut := false
		if len(events) <= follow {
			select {
			case <-change:
				continue
			case <-end:
				timedOut = true
			case <-request.Context().Done():
				if queue > 0 {
					c.rig.note("coordinator: the caller has gone before its answer")
				}
				return
			}
		}
		c.mu.Lock()
		events = c.events
		c.mu.Unlock()
		body, _ := json.Marshal(map[string]any{"index": len(events), "updates": events[min(follow, len(events)):]})
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, err := w.Write(body)
		if queue > 0 {
			c.rig.note("coordinator: answered follow=%d wait_ms=%d (%d events, timed out %v): %v", follow, waitMS, len(events)-follow, timedOut, err)
		}
		return
	}
}

// member is one line of the list.
func member(n *node, phase string, upSinceMS int64) map[string]any {
	return map[string]any{"id": n.id, "host_port": n.addr, "locality": "hall-a", "flavor": "node-2c",
		"cell": n.cell, "phase": phase, "size": 4, "up_since_ms": upSinceMS}
}

// members returns the lines of servers in service.
func members(nodes []*node) (list []map[string]any) {
	for _, n := range nodes {
		list = append(list, member(n, "in_service", 0))
	}
	return list
}

func sessionID(n int) string { return fmt.Sprintf("%016x", 0x5e55000000000000+uint64(n)) }
