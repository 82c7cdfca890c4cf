package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["outage"] = outage }

// Times of the case outage.
const (
	outageLength = 20 * time.Second
	drainGrace   = time.Second
	drainedNodes = 4                     // of 8
	slack        = 50 * time.Millisecond // by which PROTOCOL lets every limit grow
)

// outage: some media servers drain; the session manager hears of it. Later a new version is
// started while the coordinator is away. Nothing new may go to those media servers.
func outage(e *env) (bool, error) {
	coord := newCoordinator(e.rec)
	var nodes []*node
	var members []member
	for i := range 8 {
		n := newNode(e.rec, fmt.Sprintf("s-%08x", i+1))
		n.length = func() time.Duration { return time.Duration(20+rand.IntN(10)) * time.Second }
		n.start()
		nodes, members = append(nodes, n), append(members, n.member(i))
	}
	coord.publish(true, members...)
	if err := e.plat.writeConfig(coord, 1, len(nodes), 1024); err != nil {
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
	stop := make(chan struct{})
	viewers := startTraffic(e, 4, len(nodes), stop)
	time.Sleep(3 * time.Second)

	var drained []member
	for i, n := range nodes[:drainedNodes] {
		m := members[i]
		m.Phase = "terminating"
		drained = append(drained, m)
		n.mu.Lock()
		n.draining = true
		n.mu.Unlock()
	}
	coord.publish(false, drained...)
	told := time.Now()
	time.Sleep(4 * time.Second)
	if coord.acknowledged() < 2 {
		return false, fmt.Errorf("the older process has not asked for what follows event 2")
	}

	down := time.Now()
	if e.trouble {
		coord.down()
	}
	time.Sleep(500 * time.Millisecond)
	younger, err := e.plat.start("younger")
	if err != nil {
		return false, err
	}
	yes, err := e.plat.waitReady(younger, 6*time.Second)
	if err != nil {
		return false, err
	}
	e.plat.retire(older)
	time.Sleep(time.Until(down.Add(outageLength)))
	if e.trouble {
		if err := coord.up(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	viewers.wait()
	if !younger.alive() {
		return false, fmt.Errorf("the younger process has ended")
	}

	// Told at the latest: when the event was in the coordinator; what the coordinator tells
	// binds 2 s after the yes; what it would have told counts as told 7 s after the outage
	// began. The last of these is taken, and the grace and the slack come on top.
	binding := told
	for _, t := range []time.Time{yes.Add(2 * time.Second), down.Add(7 * time.Second)} {
		if t.After(binding) {
			binding = t
		}
	}
	limit := binding.Add(drainGrace + slack)
	late, before, all := 0, 0, 0
	for i, n := range nodes {
		n.mu.Lock()
		all += len(n.setups)
		for _, s := range n.setups {
			switch {
			case i >= drainedNodes:
			case s.at.After(limit):
				late++
				e.rec.logf("judge: SETUP %s at the draining %s at %.3f, after the limit %.3f", s.id, n.id, e.rec.at(s.at), e.rec.at(limit))
			case s.at.After(told.Add(drainGrace + slack)):
				before++
			}
		}
		n.mu.Unlock()
	}
	e.rec.sayf("%d set-ups in all; at the draining media servers, told at %.3f: %d from 1.05 s after that to %.3f, %d after it",
		all, e.rec.at(told), before, e.rec.at(limit), late)
	return late > 0, nil
}
