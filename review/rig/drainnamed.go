package main

import (
	"fmt"
	"time"
)

func init() { cases["drain-named"] = drainNamed }

// drainNamed: a viewer names a session by `at` on the connection of its set-up, ends it, and
// keeps the connection idle while the manager sends clients away.
func drainNamed(e *env) (bool, error) {
	const id = "00000000000000a3"
	coord := newCoordinator(e.rec)
	var nodes []*node
	var members []member
	for i := range 4 {
		n := newNode(e.rec, fmt.Sprintf("s-%08x", i+1))
		n.start()
		nodes, members = append(nodes, n), append(members, n.member(i))
	}
	coord.publish(true, members...)
	if err := e.plat.writeConfig(coord, 2, len(nodes), 1024); err != nil {
		return false, err
	}
	if err := coord.up(); err != nil {
		return false, err
	}
	m, err := e.plat.start("manager")
	if err != nil {
		return false, err
	}
	if _, err := e.plat.waitReady(m, 5*time.Second); err != nil {
		return false, err
	}
	v, err := dialViewer(e.rec, "viewer", e.plat.listen)
	if err != nil {
		return false, err
	}
	v.setup(id, "feed", "0000000000000001", len(nodes))
	time.Sleep(300 * time.Millisecond)
	for _, n := range nodes {
		n.mu.Lock()
		holds := n.sessions[id] != nil
		n.mu.Unlock()
		if holds && e.trouble {
			v.send(viewerMessage{Type: "setup", ID: id, SDP: "v=0\r\n", Fields: map[string]string{
				"class": "feed", "left": "3000", "key": "0000000000000001", "extras": "at:" + n.id + ";home:0;copies:4;top:3"}})
		}
	}
	time.Sleep(300 * time.Millisecond)
	v.release(id, 16)
	time.Sleep(300 * time.Millisecond)
	status, _ := e.plat.call(m, "POST", "/drain")
	e.rec.logf("platform: POST /drain: %d", status)
	time.Sleep(4100 * time.Millisecond)
	v.mu.Lock()
	defer v.mu.Unlock()
	e.rec.sayf("4.1 s after the call: closed %v", !v.closed.IsZero())
	return v.closed.IsZero(), nil
}
