package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["last-ends"] = lastEnds }

// releaseSent is the limit for telling the viewer once the media server has sent the release.
const releaseSent = time.Second

// lastEnds: the sessions of a live title come to their end while a new version takes over.
func lastEnds(e *env) (bool, error) {
	coord := newCoordinator(e.rec)
	var nodes []*node
	var members []member
	for i := range 16 {
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
	stop := make(chan struct{})
	viewers := startTraffic(e, 1, len(nodes), stop) // the usual viewers
	var ids []string
	front, err := dialViewer(e.rec, "live viewers", e.plat.listen)
	if err != nil {
		return false, err
	}
	for range 64 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids = append(ids, id)
		front.setup(id, "feed", "00000000000000aa", len(nodes))
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(18 * time.Second) // sessions of feed last 20 s at least
	if e.trouble {
		younger, err := e.plat.start("younger")
		if err != nil {
			return false, err
		}
		if _, err := e.plat.waitReady(younger, 6*time.Second); err != nil {
			return false, err
		}
		e.plat.retire(older)
	}
	// The viewers keep an open connection with a session, on which they can be told.
	second, err := dialViewer(e.rec, "live viewers' second connection", e.plat.listen)
	if err != nil {
		return false, err
	}
	second.setup(fmt.Sprintf("%016x", rand.Uint64()), "feed", "00000000000000ab", len(nodes))
	time.Sleep(500 * time.Millisecond)
	over := make(map[string]time.Time)
	for _, id := range ids {
		for _, n := range nodes {
			n.mu.Lock()
			s := n.sessions[id]
			stands := s != nil && s.over.IsZero()
			n.mu.Unlock()
			if stands {
				over[id] = time.Now()
				n.end(id)
			}
		}
		time.Sleep(8 * time.Millisecond)
	}
	time.Sleep(12 * time.Second)
	close(stop)
	viewers.wait()
	heard := viewers.heard()
	for _, v := range []*viewerConn{front, second} {
		for id, t := range v.releases() {
			if at, ok := heard[id]; !ok || t.Before(at) {
				heard[id] = t
			}
		}
	}
	never, late := 0, 0
	for id, at := range over {
		switch t, ok := heard[id]; {
		case !ok:
			never++
			e.rec.logf("judge: %s was over at %.3f; no viewer's connection has been told", id, e.rec.at(at))
		case t.Sub(at) > releaseSent+slack:
			late++
			e.rec.logf("judge: %s was over at %.3f; told at %.3f", id, e.rec.at(at), e.rec.at(t))
		}
	}
	e.rec.sayf("%d sessions of the live title came to their end; %d were never told of on any connection, %d later than 1.05 s", len(over), never, late)
	return never+late > 0, nil
}
