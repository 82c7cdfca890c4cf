package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

func init() {
	cases["upgrade-player"] = upgradePlayer
	cases["drain-player"] = drainPlayer
}

const playerPath = "/sessions"

// playersDeployment starts a manager with the WebSocket front and some media servers.
func playersDeployment(e *env, delay time.Duration) (older *manager, coord *coordinator, nodes []*node, players string, err error) {
	coord = newCoordinator(e.rec)
	var members []member
	for i := range 6 {
		n := newNode(e.rec, fmt.Sprintf("s-%08x", i+1))
		n.delay = delay
		n.start()
		nodes, members = append(nodes, n), append(members, n.member(i))
	}
	coord.publish(true, members...)
	players = freeAddr()
	e.plat.operator = filepath.Join(e.plat.dir, "operator.conf")
	text := fmt.Sprintf("websocket {\n    listen %s\n    path %s\n    grace 3s\n}\n", players, playerPath)
	if err = os.WriteFile(e.plat.operator, []byte(text), 0o600); err != nil {
		return
	}
	if err = e.plat.writeConfig(coord, 2, len(nodes), 1024); err != nil {
		return
	}
	if err = coord.up(); err != nil {
		return
	}
	if older, err = e.plat.start("older"); err == nil {
		_, err = e.plat.waitReady(older, 10*time.Second)
	}
	return
}

// stoodTwice counts the sessions of which more than one set-up reached a media server.
func stoodTwice(e *env, nodes []*node, ids []string) (twice int) {
	for _, id := range ids {
		count := 0
		for _, n := range nodes {
			n.mu.Lock()
			for _, s := range n.setups {
				if s.id == id && s.status == 200 {
					count++
				}
			}
			n.mu.Unlock()
		}
		if count > 1 {
			twice++
			e.rec.logf("judge: clip %s was set up %d times", id, count)
		}
	}
	return twice
}

// upgradePlayer: players whose sockets close halfway through a clip set-up come back under
// the same session, while a new version takes over.
func upgradePlayer(e *env) (bool, error) {
	older, _, nodes, addr, err := playersDeployment(e, 800*time.Millisecond)
	if err != nil {
		return false, err
	}
	var first []*player
	var ids []string
	for i := range 8 {
		p, err := dialPlayer(e.rec, fmt.Sprintf("player %d", i), addr, playerPath)
		if err != nil {
			return false, err
		}
		first, ids = append(first, p), append(ids, fmt.Sprintf("%016x", rand.Uint64()))
	}
	time.Sleep(500 * time.Millisecond)
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
	time.Sleep(50 * time.Millisecond)
	for i, p := range first {
		p.setup(ids[i], "clip", "7f3a9c21e0b4d655", len(nodes))
	}
	time.Sleep(300 * time.Millisecond)
	for _, p := range first {
		p.lose()
	}
	time.Sleep(100 * time.Millisecond)
	var second []*player
	for i := range first {
		p, err := dialPlayer(e.rec, fmt.Sprintf("player %d again", i), addr, playerPath)
		if err != nil {
			return false, err
		}
		second = append(second, p)
		p.setup(ids[i], "clip", "7f3a9c21e0b4d655", len(nodes))
	}
	time.Sleep(5 * time.Second)
	for i, p := range second {
		e.rec.logf("judge: %s got %d messages", p.name, len(p.answers(ids[i])))
	}
	twice := stoodTwice(e, nodes, ids)
	e.rec.sayf("%d of %d clips were set up twice", twice, len(ids))
	return twice > 0, nil
}

// drainPlayer: a player whose socket closes halfway through a clip set-up comes back under the
// same session, while the manager sends clients away.
func drainPlayer(e *env) (bool, error) {
	m, _, nodes, addr, err := playersDeployment(e, 1300*time.Millisecond)
	if err != nil {
		return false, err
	}
	id := fmt.Sprintf("%016x", rand.Uint64())
	p, err := dialPlayer(e.rec, "player", addr, playerPath)
	if err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	if e.trouble {
		status, body := e.plat.call(m, "POST", "/drain")
		e.rec.logf("platform: POST /drain: %d %s", status, body)
	}
	time.Sleep(250 * time.Millisecond)
	p.setup(id, "clip", "7f3a9c21e0b4d655", len(nodes))
	time.Sleep(1000 * time.Millisecond)
	p.lose()
	time.Sleep(1000 * time.Millisecond)
	again, err := dialPlayer(e.rec, "player again", addr, playerPath)
	if err != nil {
		return false, err
	}
	again.setup(id, "clip", "7f3a9c21e0b4d655", len(nodes))
	time.Sleep(3 * time.Second)
	refused := false
	for _, a := range again.answers(id) {
		refused = refused || a.Type == "release" && a.Cause != nil && (*a.Cause == 34 || *a.Cause == 42 || *a.Cause == 102)
	}
	ran := 0
	for _, n := range nodes {
		n.mu.Lock()
		for _, s := range n.setups {
			if s.id == id && s.status == 200 {
				ran++
			}
		}
		n.mu.Unlock()
	}
	e.rec.sayf("the clip's set-up ran %d times; refused: %v", ran, refused)
	return ran > 0 && refused, nil
}
