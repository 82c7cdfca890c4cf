package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["forget"] = forget }

// Times of the case forget.
const (
	forgetRun   = 90 * time.Second // how long viewers come
	releaseTime = 8 * time.Second  // limit for the release of a session that is over
)

// forget: media servers forget idle connections instead of closing them.
func forget(e *env) (bool, error) {
	coord := newCoordinator(e.rec)
	var nodes []*node
	var members []member
	for i := range 16 {
		n := newNode(e.rec, fmt.Sprintf("s-%08x", i+1))
		n.forget = e.trouble
		n.length = func() time.Duration { return time.Duration(26+rand.IntN(24)) * time.Second }
		n.start()
		nodes, members = append(nodes, n), append(members, n.member(i))
	}
	coord.publish(true, members...)
	if err := e.plat.writeConfig(coord, 2, len(nodes), 256); err != nil {
		return false, err
	}
	if err := coord.up(); err != nil {
		return false, err
	}
	m, err := e.plat.start("manager")
	if err != nil {
		return false, err
	}
	if _, err := e.plat.waitReady(m, 10*time.Second); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	viewers := startTraffic(e, 1.5, len(nodes), stop)
	for began := time.Now(); time.Since(began) < forgetRun; time.Sleep(5 * time.Second) {
		open, opened := 0, 0
		for _, n := range nodes {
			n.mu.Lock()
			open, opened = open+len(n.conns), opened+n.opened
			n.mu.Unlock()
		}
		e.rec.logf("media servers: %d connections opened so far, %d open and not forgotten", opened, open)
	}
	judged := time.Now()
	close(stop)
	viewers.wait()
	if !m.alive() {
		return false, fmt.Errorf("the session manager has ended")
	}

	ended, unheard, late := 0, 0, 0
	for _, n := range nodes {
		n.mu.Lock()
		for _, s := range n.sessions {
			if s.over.IsZero() || s.released != "" || judged.Sub(s.over) < releaseTime+slack {
				continue
			}
			v, ok := viewers.find(s.id)
			if !ok || len(v.answers) == 0 || v.answers[0].Type != "answer" {
				continue
			}
			ended++
			switch {
			case v.over.IsZero():
				unheard++
				e.rec.logf("judge: %s came to its end at %.3f at %s; its viewer has not been told by %.3f", s.id, e.rec.at(s.over), n.id, e.rec.at(judged))
			case v.over.Sub(s.over) > releaseTime+slack:
				late++
				e.rec.logf("judge: %s came to its end at %.3f at %s; its viewer was told at %.3f", s.id, e.rec.at(s.over), n.id, e.rec.at(v.over))
			}
		}
		n.mu.Unlock()
	}
	e.rec.sayf("%d sessions came to their end over 8.05 s before the end of the run: %d of their viewers were never told, %d later than 8.05 s", ended, unheard, late)
	served, refused, failed, lateServed, lateAll := 0, 0, 0, 0, 0
	viewers.mu.Lock()
	for _, c := range viewers.conns {
		c.mu.Lock()
		for _, s := range c.sessions {
			recent := judged.Sub(s.sentAt) < 30*time.Second
			if recent {
				lateAll++
			}
			switch {
			case len(s.answers) == 0:
			case s.answers[0].Type == "answer":
				served++
				if recent {
					lateServed++
				}
			case *s.answers[0].Cause == 42:
				refused++
			default:
				failed++
			}
		}
		c.mu.Unlock()
	}
	viewers.mu.Unlock()
	e.rec.sayf("served %d, refused %d, failed %d; of %d set-ups of the last 30 s %d were served", served, refused, failed, lateAll, lateServed)
	return unheard+late > 0, nil
}
