package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["release"] = release }

// release: viewers end their sessions on new connections while two versions serve.
func release(e *env) (bool, error) {
	coord := newCoordinator(e.rec)
	var nodes []*node
	var members []member
	for i := range 6 {
		n := newNode(e.rec, fmt.Sprintf("s-%08x", i+1))
		n.length = func() time.Duration { return 50 * time.Second }
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
	older, err := e.plat.start("older")
	if err != nil {
		return false, err
	}
	if _, err := e.plat.waitReady(older, 10*time.Second); err != nil {
		return false, err
	}
	v, err := dialViewer(e.rec, "viewer", e.plat.listen)
	if err != nil {
		return false, err
	}
	var ids []string
	for range 16 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids = append(ids, id)
		v.setup(id, "feed", fmt.Sprintf("%016x", rand.Uint64N(1000)+1), len(nodes))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	var younger *manager
	if e.trouble {
		if younger, err = e.plat.start("younger"); err != nil {
			return false, err
		}
		if _, err := e.plat.waitReady(younger, 6*time.Second); err != nil {
			return false, err
		}
	}
	released := make(map[string]time.Time)
	for i, id := range ids {
		if s := v.state(id); len(s.answers) == 0 || s.answers[0].Type != "answer" {
			continue
		}
		w, err := dialViewer(e.rec, fmt.Sprintf("viewer's connection %d", i+2), e.plat.listen)
		if err != nil {
			return false, err
		}
		released[id] = time.Now()
		w.release(id, 16)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if e.trouble {
		e.plat.retire(older)
	}
	time.Sleep(12 * time.Second)
	left, all := 0, 0
	for _, n := range nodes {
		n.mu.Lock()
		for id, s := range n.sessions {
			at, ok := released[id]
			if !ok {
				continue
			}
			all++
			if s.over.IsZero() || s.released == "" {
				left++
				e.rec.logf("judge: %s was released by its viewer at %.3f and still stands at %s at %.3f", id, e.rec.at(at), n.id, e.rec.at(time.Now()))
			}
		}
		n.mu.Unlock()
	}
	e.rec.sayf("%d sessions were released by their viewers; %d of them still stand 10 s later", all, left)
	return left > 0, nil
}
