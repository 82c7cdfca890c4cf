package server

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	members "millethinge/internal/member"
)

// membershipResources counts the goroutines of the fleet membership, and the UDP sockets, of this
// process.
func membershipResources(t *testing.T) (goroutines, datagrams int) {
	t.Helper()
	stacks := make([]byte, 4<<20)
	for _, stack := range strings.Split(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
		if strings.Contains(stack, "hashicorp/") || strings.Contains(stack, "internal/member.") {
			goroutines++
		}
	}
	sockets, err := os.ReadFile("/proc/self/net/udp")
	if err != nil {
		t.Skip("no /proc")
	}
	fds, _ := filepath.Glob("/proc/self/fd/*")
	for _, line := range strings.Split(string(sockets), "\n")[1:] {
		if fields := strings.Fields(line); len(fields) > 9 && slices.ContainsFunc(fds, func(fd string) bool {
			target, _ := os.Readlink(fd)
			return target == "socket:["+fields[9]+"]"
		}) {
			datagrams++
		}
	}
	return goroutines, datagrams
}

// Without a fleet block, or with one that has no listen address, a manager must have no socket
// for fleet membership; without a block it must have no goroutine for it either. With a listen
// address it must join the fleet, and leave it when it drains.
func TestFleet(t *testing.T) {
	waitUntilServing := func(mgr *manager) { // everything has been started by then
		s := connect(t, mgr, false)
		if err := s.send("{}\n"); err != nil {
			t.Fatal(err)
		}
		s.receive()
	}
	waitUntilServing(startManager(t, "127.0.0.1:1", "", 1, ""))
	if g, d := membershipResources(t); g != 0 || d != 0 {
		t.Errorf("without a fleet block: %d goroutines, %d sockets", g, d)
	}
	waitUntilServing(startManager(t, "127.0.0.1:1", "", 1, "fleet {\n members n0 east n1 east\n}\n"))
	if g, d := membershipResources(t); g != 1 || d != 0 {
		t.Errorf("without a listen address: %d goroutines, %d sockets", g, d)
	}
	other, err := members.NewSwim(members.Config{Self: members.Meta{Name: "n1"}, ConfiguredMembers: []members.ConfiguredMember{{Name: "n0"}, {Name: "n1"}}, ListenAddress: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- other.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	mgr := startManager(t, "127.0.0.1:1", "", 1, fmt.Sprintf("fleet {\n members n0 east n1 east\n listen 127.0.0.1:0\n join %s\n}\n", other.Addr()))
	waitForStatus := func(s members.Status) {
		t.Helper()
		for deadline := time.Now().Add(testTimeout); other.View().Find("n0").Status != s; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("status %v, want %v", other.View().Find("n0").Status, s)
			}
		}
	}
	waitForStatus(members.StatusAlive)
	if g, d := membershipResources(t); g < 10 || d != 2 {
		t.Errorf("with two members in this process: %d goroutines, %d sockets", g, d)
	}
	mgr.signals <- syscall.SIGTERM
	waitForStatus(members.StatusLeft)
}
