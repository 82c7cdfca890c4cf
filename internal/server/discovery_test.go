package server

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"millethinge/internal/standin"
)

// A manager must serve a session on a node that it knows only by DNS-SD.
func TestSessionOnDiscoveredNode(t *testing.T) {
	listener := loopback(t)
	node := &standin.Node{Counts: standin.NewCounts(), Decide: func(string, int) standin.Response { return standin.Response{Status: 200} }}
	go node.Serve(listener)
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	var server standin.DNSServer
	const service = "_rtsp._tcp.media.example"
	server.SetRecords(false, standin.ServiceRecords(service, "one", 60, netip.MustParseAddrPort(listener.Addr().String()).Port(), "zone=east", "kind=std", "cell=0")...)
	go server.Serve(udp, loopback(t))
	mgr := startManager(t, "127.0.0.1:1", "", 2, fmt.Sprintf("dns-sd {\n server %s\n service %s\n}", udp.LocalAddr(), service))
	conn := connect(t, mgr, false)
	for n, deadline := 1, time.Now().Add(testTimeout); ; n++ {
		if err := conn.send(setUpLine(n)); err != nil {
			t.Fatal(err)
		}
		line, err := conn.receive()
		if err != nil || time.Now().After(deadline) {
			t.Fatalf("not served: %q, %v", line, err)
		}
		if answer, err := parseReply(line); err != nil || answer.Type == "answer" {
			if err != nil {
				t.Fatal(err)
			}
			return
		}
		time.Sleep(10 * time.Millisecond) // DNS answers may not have arrived yet
	}
}
