package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["first-connection"] = firstConnection }

// firstConnection: sessions that are under way at the start are named to the session manager, and
// the first connection to one of the media servers never comes up.
func firstConnection(r *rig) (violations []string) {
	nodes := r.newNodes(14)
	b := r.newInbox()
	var list []standing
	for i, n := range nodes { // three clips are under way at each
		for j := range 3 {
			id := sessionID(100*i + j)
			n.sessions[id] = &nodeSession{rung: 1}
			list = append(list, standing{id: id})
		}
	}
	late := nodes[0]
	unblock := func() {}
	if r.trouble {
		unblock = late.blockConnections()
	}
	c := r.newCoordinator()
	c.tell(true, members(nodes)...)
	cfg := managerConfig{label: "manager", listen: freeAddr(), coordinator: c.addr, known: c.known(), tmp: r.temp + "/shared", nodes: len(nodes)}
	r.startManager(cfg)
	time.Sleep(5 * time.Second) // until the other session managers are ready
	v := r.newViewer("127.0.0.21", cfg.listen, b)
	for i := range list {
		list[i].viewer = v
		n := nodes[i/3]
		m := setUp(list[i].id, "clip")
		m.Fields["extras"] = fmt.Sprint(m.Fields["extras"], ";at:", n.id)
		must(v.send(m))
	}
	time.Sleep(300 * time.Millisecond) // the connect timeout in the settings is 250 ms
	unblock()
	time.Sleep(10 * time.Second)
	made := 0
	for _, n := range nodes {
		made += n.accepted()
	}
	r.note("connections to media servers that came up: %d", made)
	if r.trouble && made < 50 {
		panic(cannotRun{"more than one connection in fifty did not come up"})
	}
	for i, s := range list {
		if at, told := b.releasedAt(s.id, v.host); told {
			violations = append(violations, fmt.Sprintf("%s, a clip at %s, was ended by the session manager at %.1f s; no media server had ended it", s.id, nodes[i/3].id, at.Sub(r.start).Seconds()))
		}
	}
	return violations
}

// blockConnections has no new connection to the media server come up until the returned function
// is called: its queue of connections is full.
func (n *node) blockConnections() (unblock func()) {
	n.listener.Close()
	host, port, _ := net.SplitHostPort(n.addr)
	number, err := strconv.Atoi(port)
	must(err)
	address := &syscall.SockaddrInet4{Port: number}
	copy(address.Addr[:], net.ParseIP(host).To4())
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must(err)
	must(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	must(syscall.Bind(fd, address))
	must(syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	must(err)
	file.Close()
	var fill []net.Conn
	full := false
	for range 8 {
		c, err := net.DialTimeout("tcp", n.addr, 200*time.Millisecond)
		if err != nil {
			full = true
			break
		}
		fill = append(fill, c)
	}
	if !full {
		panic(cannotRun{"the queue of a listener can't be filled on this machine"})
	}
	n.rig.note("%s: new connections don't come up", n.id)
	return func() {
		for _, c := range fill {
			c.Close()
		}
		n.rig.note("%s: new connections come up again", n.id)
		n.accept(l)
	}
}
