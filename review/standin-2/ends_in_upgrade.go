package main

import (
	"fmt"
	"time"
)

func init() { cases["ends-in-upgrade"] = endsInUpgrade }

// endsInUpgrade: sessions end at their media servers while a new version takes over.
func endsInUpgrade(r *rig) []string {
	nodes, _, old, cfg := r.fleet(12)
	b := r.newInbox()
	list := r.playAt(6, 10, "feed", cfg.listen, b)
	r.traffic(nodes, cfg.listen, b)
	time.Sleep(time.Second)
	if r.trouble {
		cfg.label = "new"
		r.startManager(cfg)
		go old.terminate()
		go r.handIn(old, list, nodes)
	}
	time.Sleep(500 * time.Millisecond)
	sent := map[string]time.Time{}
	for _, s := range list {
		if n := nodeOf(nodes, s.id); n != nil {
			sent[s.id] = n.end(s.id, 16)
		}
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(12 * time.Second)
	return notTold(list, sent, b)
}

// traffic has other viewers ask for 12 sessions a second, of 3 s each, until the case ends.
func (r *rig) traffic(nodes []*node, listen string, b *inbox) {
	stop := make(chan struct{})
	r.atEnd(func() { close(stop) })
	var others []*viewer
	for i := range 4 {
		others = append(others, r.newViewer(fmt.Sprintf("127.0.0.%d", 40+i), listen, b))
	}
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(83 * time.Millisecond):
				id := sessionID(5000 + i)
				others[i%len(others)].send(setUp(id, "feed"))
				time.AfterFunc(3*time.Second, func() {
					if n := nodeOf(nodes, id); n != nil {
						n.end(id, 16)
					}
				})
			}
		}
	}()
}

// handIn has the viewers of what still stands name it to the new process, 1 s after the old one
// has gone: set-ups with `at`.
func (r *rig) handIn(old *manager, list []standing, nodes []*node) {
	<-old.done
	time.Sleep(time.Second)
	for _, s := range list {
		if n := nodeOf(nodes, s.id); n != nil {
			m := setUp(s.id, "feed")
			m.Fields["extras"] = fmt.Sprint(m.Fields["extras"], ";at:", n.id)
			s.viewer.send(m)
		}
	}
}

// notTold returns a violation for each session that its media server has ended and whose viewer
// was not told within 1 s, and 50 ms.
func notTold(list []standing, sent map[string]time.Time, b *inbox) (violations []string) {
	for _, s := range list {
		at, told := b.releasedAt(s.id, s.viewer.host)
		switch {
		case sent[s.id].IsZero():
		case !told:
			violations = append(violations, fmt.Sprintf("%s ended at its media server %.1f s ago, and its viewer was never told", s.id, time.Since(sent[s.id]).Seconds()))
		case at.Sub(sent[s.id]) > 1050*time.Millisecond:
			violations = append(violations, fmt.Sprintf("%s ended at its media server, and its viewer was told only after %.1f s", s.id, at.Sub(sent[s.id]).Seconds()))
		}
	}
	return violations
}
