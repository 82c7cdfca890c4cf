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

// membershipResources is what this process has of a membership: goroutines, and sockets for datagrams.
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

// Without a fleet block, and with one that listens nowhere, a manager has no socket for
// it and sends nothing; without one it has no goroutine either. With one it meets the
// others, and its drain is a leave.
func TestFleet(t *testing.T) {
	waitUntilServing := func(prog *manager) { // it serves: all is started by then
		s := connect(t, prog, false)
		if err := s.send("{}\n"); err != nil {
			t.Fatal(err)
		}
		s.receive()
	}
	waitUntilServing(startManager(t, "127.0.0.1:1", "", 1, ""))
	if g, d := membershipResources(t); g != 0 || d != 0 {
		t.Errorf("without a block: %d goroutines, %d sockets", g, d)
	}
	waitUntilServing(startManager(t, "127.0.0.1:1", "", 1, "fleet {\n members n0 east n1 east\n}\n"))
	if g, d := membershipResources(t); g != 1 || d != 0 {
		t.Errorf("without listen: %d goroutines, %d sockets", g, d)
	}
	other, err := members.NewSwim(members.Config{Self: members.Meta{Name: "n1"}, Named: []members.Named{{Name: "n0"}, {Name: "n1"}}, Listen: "127.0.0.1:0"})
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
	prog := startManager(t, "127.0.0.1:1", "", 1, fmt.Sprintf("fleet {\n members n0 east n1 east\n listen 127.0.0.1:0\n join %s\n}\n", other.Addr()))
	waitForStatus := func(s members.Status) {
		t.Helper()
		for deadline := time.Now().Add(testTimeout); other.View().Find("n0").Status != s; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%v, not %v", other.View().Find("n0").Status, s)
			}
		}
	}
	waitForStatus(members.Here)
	if g, d := membershipResources(t); g < 10 || d != 2 {
		t.Errorf("two members here: %d goroutines, %d sockets", g, d)
	}
	prog.signals <- syscall.SIGTERM
	waitForStatus(members.Gone)
}
