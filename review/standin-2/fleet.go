package main

import (
	"fmt"
	"path/filepath"
)

// fleet starts media servers, a coordinator and one session manager.
func (r *rig) fleet(count int) (nodes []*node, c *coordinator, first *manager, cfg managerConfig) {
	nodes = r.newNodes(count)
	c = r.newCoordinator()
	c.tell(true, members(nodes)...)
	cfg = managerConfig{label: "old", listen: freeAddr(), coordinator: c.addr, known: c.known(), tmp: filepath.Join(r.temp, "shared"), nodes: count}
	return nodes, c, r.startManager(cfg), cfg
}

// standing is a session that a case has set up.
type standing struct {
	id     string
	viewer *viewer
}

// playAt sets sessions up from several hosts, and returns them.
func (r *rig) playAt(hosts, each int, class, listen string, b *inbox) (list []standing) {
	for i := range hosts {
		v := r.newViewer(fmt.Sprintf("127.0.0.%d", 21+i), listen, b)
		var own []string
		for j := range each {
			own = append(own, sessionID(100*i+j))
			list = append(list, standing{own[j], v})
		}
		v.play(class, own...)
	}
	return list
}
