package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

func init() { cases["busy-drain"] = busyDrain }

// closeCrossing is how long before a close a set-up may have been sent to cross it.
const closeCrossing = 50 * time.Millisecond

// gateway is a client with many connections, each of which carries the sessions of many viewers.
// It does not acknowledge ends: `released` is free.
type gateway struct {
	rig  *rig
	host string
	addr string

	mu       sync.Mutex
	conns    []net.Conn
	asks     map[net.Conn]int  // set-ups sent, by connection
	pending  map[string]*asked // set-ups that await their answer
	answered int
	crossed  int      // set-ups that crossed a close
	first    int      // set-ups turned back by a close that were the first on their connection
	lost     []string // the others whose connection was closed without an answer
}

// asked is a set-up that awaits its answer.
type asked struct {
	conn   net.Conn
	sentAt time.Time
}

func (r *rig) newGateway(host, addr string, connections int) *gateway {
	g := &gateway{rig: r, host: host, addr: addr, asks: map[net.Conn]int{}, pending: map[string]*asked{}}
	for range connections {
		g.open()
	}
	return g
}

// open opens a connection and tests whether the session manager is ready.
func (g *gateway) open() {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(g.host)}}
	conn, err := dialer.DialContext(context.Background(), "tcp", g.addr)
	must(err)
	io.WriteString(conn, line(message{Type: "ping", ID: sessionID(0), Fields: map[string]any{}}))
	g.mu.Lock()
	g.conns = append(g.conns, conn)
	g.mu.Unlock()
	go g.read(conn)
	g.rig.atEnd(func() { conn.Close() })
}

func (g *gateway) read(conn net.Conn) {
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		var m message
		if json.Unmarshal(lines.Bytes(), &m) != nil {
			continue
		}
		g.mu.Lock()
		if g.pending[m.ID] != nil {
			delete(g.pending, m.ID)
			g.answered++
		}
		g.mu.Unlock()
	}
	closedAt := time.Now()
	conn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, c := range g.conns {
		if c == conn {
			g.conns = append(g.conns[:i:i], g.conns[i+1:]...)
			break
		}
	}
	for id, a := range g.pending {
		if a.conn != conn {
			continue
		}
		delete(g.pending, id)
		waited := closedAt.Sub(a.sentAt)
		g.rig.note("gateway: connection closed without an answer to %s, sent %v before; it was set-up %d there", id, waited, g.asks[conn])
		switch {
		case waited <= closeCrossing:
			g.crossed++ // goes again on a new connection, to another session manager
		case g.asks[conn] == 1:
			g.first++
		default:
			g.lost = append(g.lost, fmt.Sprintf("%s was sent %d ms before its connection was closed without an answer", id, waited.Milliseconds()))
		}
	}
}

func (g *gateway) openCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// ask sends a set-up on one of the open connections, and reports whether there was one.
func (g *gateway) ask(id string) bool {
	m := line(setUp(id, "feed"))
	g.mu.Lock()
	if len(g.conns) == 0 {
		g.mu.Unlock()
		return false
	}
	conn := g.conns[rand.IntN(len(g.conns))]
	g.asks[conn]++
	g.pending[id] = &asked{conn, time.Now()}
	g.mu.Unlock()
	io.WriteString(conn, m)
	return true
}

// busyDrain: clients are sent away at the highest load, and taken again, four times.
func busyDrain(r *rig) []string {
	const (
		connections = 340 // a third of 1,024 descriptors
		rate        = 90  // set-ups a second
		length      = 4 * time.Second
		rounds      = 4
	)
	nodes, _, m, cfg := r.fleet(20)
	g := r.newGateway("127.0.0.21", cfg.listen, connections)
	stop := make(chan struct{})
	r.atEnd(func() { close(stop) })
	go func() {
		tick := time.NewTicker(time.Second / rate)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			id := sessionID(50000 + i)
			if g.ask(id) {
				time.AfterFunc(length, func() {
					if n := nodeOf(nodes, id); n != nil {
						n.end(id, 16)
					}
				})
			}
		}
	}()
	for range rounds {
		time.Sleep(length + 8*time.Second)
		if !r.trouble {
			continue
		}
		for _, call := range []string{"/drain", "/undrain"} {
			if status, _ := m.call("POST", call); status/100 != 2 {
				panic(cannotRun{"the call " + call + " was refused"})
			}
			time.Sleep(5 * time.Second)
		}
		for range connections - g.openCount() {
			g.open()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.note("set-ups answered: %d; turned back by a close that they crossed: %d, as the first on their connection: %d, lost: %d",
		g.answered, g.crossed, g.first, len(g.lost))
	return g.lost
}
