package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/agreement"
)

// A fleet of three on loopback agrees on a version and on one of 1 MB. Without one of the voters
// the other two agree on another version, and the voter learns of it after its restart. Connections
// that break the protocol are closed.
func TestCarry(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Second) // ends a test that hangs
	defer cancel()
	names := []string{"a", "b", "c"}
	base := Config{Addresses: map[string]string{}, Log: zap.NewNop()}
	base.Machine = agreement.Config{Voters: names, MaxDelay: time.Second}
	listeners := map[string]net.Listener{}
	for _, n := range names {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[n], base.Addresses[n] = l, l.Addr().String()
		base.Machine.InitialReplicas = append(base.Machine.InitialReplicas, agreement.Replica{Name: n, Incarnation: 1})
	}
	runners, stop := map[string]*Runner{}, map[string]func(){}
	start := func(n string, incarnation uint64, initial []agreement.Replica, results chan error) {
		c := base
		c.Machine.Name, c.Machine.Incarnation, c.Machine.InitialReplicas, c.Listener = n, incarnation, initial, listeners[n]
		c.OnSubmissionResult = func(_ uint64, err error) {
			if results != nil {
				results <- err
			}
		}
		r := New(c)
		ctx, cancel := context.WithCancel(ctx)
		done := make(chan error)
		go func() { done <- r.Run(ctx) }()
		runners[n], stop[n] = r, func() {
			cancel()
			if err := <-done; err != nil && !errors.Is(err, net.ErrClosed) {
				t.Errorf("%s ended with %v", n, err)
			}
		}
	}
	results := make(chan error, 16)
	for _, n := range names {
		start(n, 1, base.Machine.InitialReplicas, results)
	}
	waitInForce := func(v uint64, runnerNames ...string) {
		t.Helper()
		for _, n := range runnerNames {
			for {
				e, ok := runners[n].Effective()
				if ok && !e.NoLease && len(e.Versions) == 1 && e.Versions[0] == v {
					break
				}
				if ctx.Err() != nil {
					t.Fatalf("%s: version %d is not in force", n, v)
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	for v := uint64(1); v <= 2; v++ {
		runners["a"].Submit(&agreement.Document{Version: v, Replaces: v - 1, DisabledNodes: []string{strings.Repeat("n", int(v-1)<<20), fmt.Sprint(v)}})
		if err := <-results; err != nil {
			t.Fatal(err)
		}
		waitInForce(v, names...)
	}
	stop["c"]()
	runners["b"].Submit(&agreement.Document{Version: 3, Replaces: 2})
	if err := <-results; err != nil {
		t.Fatal(err)
	}
	waitInForce(3, "a", "b")
	l, err := net.Listen("tcp4", base.Addresses["c"])
	if err != nil {
		t.Skip("the port was taken by another process: ", err)
	}
	listeners["c"] = l
	start("c", 2, nil, results)
	waitInForce(3, "c")
	// Connections of an unknown manager, and with a frame that is too long, are closed.
	for _, b := range [][]byte{appendFrame(nil, []byte("z")), append(appendFrame(nil, []byte("a")), 0xff, 0xff, 0xff, 0xff)} {
		conn, err := net.Dial("tcp4", base.Addresses["c"])
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(b)
		if n, err := conn.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Errorf("%q was answered", b)
		}
		conn.Close()
	}
	for _, n := range names {
		stop[n]()
	}
}
