package directory

import (
	"context"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

// Guards against a coordinator that has started anew at the address of one that had gone being taken
// for the old one: its updates are numbered from 1, so that none would arrive (picture d of issue 48).
// A replica that lags once is not taken for a new one.
func TestRestartedCoordinatorIsFollowed(t *testing.T) {
	addr := startCoordinator(t, func(conn, poll int, target string) string {
		time.Sleep(5 * time.Millisecond)
		switch {
		case conn == 1 && poll == 1:
			return okResponse(updatesJSON(41, 41))
		case conn == 1: // the old one goes
			return ""
		case strings.Contains(target, "follow=0&"): // the new one
			return okResponse(`{"index":2,"updates":[` +
				`{"index":1,"endpoints":{"complete":true,"members":[{"id":"b","host_port":"h:1","phase":"in_service"}]}},` +
				`{"index":2,"endpoints":{"members":[{"id":"b","host_port":"h:2","phase":"terminating"}]}}]}`)
		}
		return okResponse(`{"index":2,"updates":[]}`)
	})
	changes := make(chan Change, 10)
	c := newTestClient(func(change Change) { changes <- change })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- c.Run(ctx) }()
	c.SetAddr(addr)
	for _, want := range []string{"h:41", "h:1", "h:2"} {
		select {
		case change := <-changes:
			if got := change.Members[0].Addr; got != want || change.Full != (want == "h:1") {
				t.Errorf("change %s, full %t, want %s", got, change.Full, want)
			}
		case <-time.After(testTimeout):
			t.Fatal("no change ", want)
		}
	}
	cancel()
	<-done
}

// A response that lacks updates already received changes nothing once: it may come from a replica.
func TestLaggingReplica(t *testing.T) {
	c := newTestClient(func(Change) {})
	received, err := ParseUpdates([]byte(updatesJSON(41, 41)))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	c.applyResponse(received, 0, now)
	for i, step := range []struct{ index, followed, want uint64 }{{40, 41, 41}, {41, 41, 41}, {40, 41, 41}, {39, 40, 41}, {40, 41, 41}, {40, 41, 0}} {
		c.applyResponse(Updates{Index: step.index}, step.followed, now)
		if c.lastIndex != step.want {
			t.Fatalf("step %d: last index %d, want %d", i, c.lastIndex, step.want)
		}
		if step.want == 0 {
			break
		}
	}
}

// Guards against an answer to a poll after the old index, still under way when a coordinator is found to
// number its updates anew: its update would count as the first, and the whole list would never be fetched.
func TestLateAnswerDoesNotReplaceWholeList(t *testing.T) {
	listed := make(listedNodes)
	c := NewCoordinatorClient(parsePhases(t, 5, "ai"), names, listed.sink, zap.NewNop())
	for range maxBehind {
		c.applyResponse(Updates{Index: 4}, 5, time.Now())
	}
	c.applyResponse(parsePhases(t, 6, "ci"), 5, time.Now())
	if c.lastIndex != 0 || listed.String() != "ai" {
		t.Errorf("list %q, last index %d", listed, c.lastIndex)
	}
	c.applyResponse(parsePhases(t, 1, "bi", "bt"), 0, time.Now())
	if c.lastIndex != 2 || listed.String() != "bt" {
		t.Errorf("list %q, last index %d", listed, c.lastIndex)
	}
}
