package main

import (
	"fmt"
	"time"
)

func init() { cases["slow-coordinator"] = slowCoordinator }

// askSteadily has a viewer ask for 8 sessions a second until stop is closed; each ends after 2 s.
func (r *rig) askSteadily(v *viewer, nodes []*node, stop chan struct{}) {
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(125 * time.Millisecond):
				id := sessionID(7000 + i)
				v.send(setUp(id, "feed"))
				time.AfterFunc(2*time.Second, func() {
					if n := nodeOf(nodes, id); n != nil {
						n.end(id, 16)
					}
				})
			}
		}
	}()
}

// slowCoordinator: calls to the coordinator wait 3 s in turn while a media server drains.
func slowCoordinator(r *rig) (violations []string) {
	nodes, c, _, cfg := r.fleet(3)
	b := r.newInbox()
	stop := make(chan struct{})
	r.atEnd(func() { close(stop) })
	r.askSteadily(r.newViewer("127.0.0.21", cfg.listen, b), nodes, stop)
	time.Sleep(3 * time.Second)
	slowSince := time.Now()
	if r.trouble {
		c.setQueue(3 * time.Second)
	}
	time.Sleep(time.Second)
	c.tell(false, member(nodes[0], "terminating", 0))
	time.Sleep(25 * time.Second)
	// What the coordinator would have told counts as told 7 s after it fell silent, at the latest;
	// from then on there is 1 s, and 50 ms.
	bound := slowSince.Add(7*time.Second + 1050*time.Millisecond)
	nodes[0].mu.Lock()
	defer nodes[0].mu.Unlock()
	for _, at := range nodes[0].setUpAt {
		if at.After(bound) {
			violations = append(violations, fmt.Sprintf("a SETUP reached the draining %s %.1f s after its drain was in the coordinator's list", nodes[0].id, at.Sub(slowSince).Seconds()-1))
		}
	}
	return violations
}
