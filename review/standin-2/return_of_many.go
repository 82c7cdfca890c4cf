package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["return-of-many"] = returnOfMany }

// playersFleet starts media servers, a coordinator and a session manager with the players' front.
func (r *rig) playersFleet(count int) (nodes []*node, m *manager, cfg managerConfig, players string) {
	players = freeAddr()
	nodes = r.newNodes(count)
	c := r.newCoordinator()
	c.tell(true, members(nodes)...)
	cfg = managerConfig{label: "manager", listen: freeAddr(), coordinator: c.addr, known: c.known(), tmp: r.temp + "/shared", nodes: count,
		operator: fmt.Sprintf("websocket {\n    listen %s\n    path   /sessions\n    grace  3s\n}\n", players)}
	return nodes, r.startManager(cfg), cfg, players
}

// refusedAfterRun returns a violation if a paid session was refused though it was set up.
func refusedAfterRun(nodes []*node, b *inbox, id string) (violations []string) {
	for _, m := range b.of(id) {
		if m.Type == "release" && (m.Cause == 34 || m.Cause == 42 || m.Cause == 102) && ranIn(nodes, id) > 0 {
			violations = append(violations, fmt.Sprintf("%s, a clip that was set up at a media server, was refused with cause %d: 'trying again is harmless'", id, m.Cause))
		}
	}
	return violations
}

// returnOfMany: a gateway's socket with many sessions is lost, and comes back under all of them
// at once.
func returnOfMany(r *rig) (violations []string) {
	nodes, _, _, players := r.playersFleet(22)
	b := r.newInbox()
	s, err := r.newSocket("127.0.0.21", players, b)
	must(err)
	var ids []string
	var again []message
	for i := range 200 {
		ids = append(ids, sessionID(i))
		m := setUp(ids[i], "clip")
		m.Fields["extras"] = strings.Replace(m.Fields["extras"].(string), "top:3", "top:1", 1) // small screens
		must(s.send(m))
		again = append(again, m)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(time.Second)
	playing := 0
	for _, id := range ids {
		if b.plays(id) {
			playing++
		}
	}
	r.note("%d clips play", playing)
	if r.trouble {
		s.lose()
		time.Sleep(500 * time.Millisecond)
		s, err = r.newSocket("127.0.0.21", players, b)
		must(err)
		must(s.send(again...))
	}
	time.Sleep(5 * time.Second)
	for _, id := range ids {
		violations = append(violations, refusedAfterRun(nodes, b, id)...)
	}
	return violations
}
