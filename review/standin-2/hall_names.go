package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["hall-names"] = hallNames }

// dnsServer answers for one service.
type dnsServer struct {
	rig   *rig
	mu    sync.Mutex
	nodes []*node
	cut   string // the hall whose names can't be looked up
}

const service = "_rtsp._tcp.media.example"

func instanceName(n *node) string { return n.id + "." + service }
func hostName(n *node) string     { return n.id + "." + n.hall() + ".example" }

// hall is the hall in which a media server stands.
func (n *node) hall() string { return []string{"hall-a", "hall-b"}[n.cell%2] }

func appendName(b []byte, name string) []byte {
	for _, label := range strings.Split(name, ".") {
		b = append(append(b, byte(len(label))), label...)
	}
	return append(b, 0)
}

func appendRecord(b []byte, name string, recordType uint16, data []byte) []byte {
	b = appendName(b, name)
	b = binary.BigEndian.AppendUint16(b, recordType)
	b = binary.BigEndian.AppendUint16(b, 1)
	b = binary.BigEndian.AppendUint32(b, 5) // TTL, s
	b = binary.BigEndian.AppendUint16(b, uint16(len(data)))
	return append(b, data...)
}

func (d *dnsServer) serve(conn net.PacketConn) {
	buf := make([]byte, 1500)
	for {
		size, from, err := conn.ReadFrom(buf)
		if err != nil {
			return
		}
		query := append([]byte(nil), buf[:size]...)
		go d.answer(conn, from, query)
	}
}

func (d *dnsServer) answer(conn net.PacketConn, from net.Addr, query []byte) {
	pos, labels := 12, []string{}
	for pos < len(query) && query[pos] > 0 {
		labels = append(labels, string(query[pos+1:pos+1+int(query[pos])]))
		pos += 1 + int(query[pos])
	}
	name := strings.ToLower(strings.Join(labels, "."))
	recordType := binary.BigEndian.Uint16(query[pos+1:])
	question := query[12 : pos+5]
	d.mu.Lock()
	defer d.mu.Unlock()
	var records []byte
	count := 0
	add := func(data []byte) {
		records = appendRecord(records, name, recordType, data)
		count++
	}
	for _, n := range d.nodes {
		host, port, _ := net.SplitHostPort(n.addr)
		var portNumber uint16
		fmt.Sscan(port, &portNumber)
		switch {
		case name == service && recordType == 12:
			add(appendName(nil, instanceName(n)))
		case name == instanceName(n) && recordType == 33:
			data := binary.BigEndian.AppendUint16([]byte{0, 0, 0, 0}, portNumber)
			add(appendName(data, hostName(n)))
		case name == instanceName(n) && recordType == 16:
			var data []byte
			for _, text := range []string{"zone=" + n.hall(), "kind=node-2c", fmt.Sprintf("cell=%d", n.cell), "size=4"} {
				data = append(append(data, byte(len(text))), text...)
			}
			add(data)
		case name == hostName(n) && recordType == 1:
			add(net.ParseIP(host).To4())
		}
	}
	code := byte(0)
	if d.cut != "" && strings.HasSuffix(name, d.cut+".example") {
		code, records, count = 2, nil, 0 // server failure: the hall's own name server can't be reached
	}
	response := append([]byte(nil), query[:2]...)
	response = append(response, 0x84, code, 0, 1, 0, byte(count), 0, 0, 0, 0)
	response = append(append(response, question...), records...)
	conn.WriteTo(response, from)
}

// dnsFleet starts media servers, a DNS server that names them, and a session manager that finds
// them there.
func (r *rig) dnsFleet(count int) (nodes []*node, d *dnsServer, cfg managerConfig) {
	nodes = r.newNodes(count)
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	must(err)
	r.atEnd(func() { conn.Close() })
	d = &dnsServer{rig: r, nodes: nodes}
	go d.serve(conn)
	cfg = managerConfig{label: "manager", listen: freeAddr(), known: map[string]any{"index": 0, "updates": []any{}}, tmp: filepath.Join(r.temp, "shared"), nodes: count,
		operator: fmt.Sprintf("dns-sd {\n    server  %s\n    service %s\n}\n", conn.LocalAddr(), service)}
	r.startManager(cfg)
	return nodes, d, cfg
}

// hallNames: for 12 s the names of one hall's media servers can't be looked up.
func hallNames(r *rig) (violations []string) {
	nodes, d, cfg := r.dnsFleet(10)
	time.Sleep(time.Second)
	b := r.newInbox()
	list := r.playAt(2, 10, "clip", cfg.listen, b)
	time.Sleep(2 * time.Second)
	if r.trouble {
		d.cutOff("hall-b")
	}
	time.Sleep(12 * time.Second)
	d.cutOff("")
	time.Sleep(3 * time.Second)
	other := 0
	for _, s := range list {
		n := nodeOf(nodes, s.id)
		if n == nil || n.hall() == "hall-b" {
			other++
			continue
		}
		if at, told := b.releasedAt(s.id, s.viewer.host); told {
			violations = append(violations, fmt.Sprintf("%s, a clip at %s in hall-a, was ended by the session manager at %.1f s and still stands there", s.id, n.id, at.Sub(r.start).Seconds()))
		}
	}
	r.note("%d sessions are not at hall-a", other)
	if other == len(list) {
		panic(cannotRun{"no session plays in hall-a"})
	}
	return violations
}

// cutOff sets the hall whose names can't be looked up; empty: none.
func (d *dnsServer) cutOff(hall string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = hall
	d.rig.note("dns: hall that is cut off: %q", hall)
}
