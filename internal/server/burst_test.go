package server

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"millethinge/internal/standin"
)

// burstSize is the number of set-ups that a gateway sends at once on one connection.
const burstSize = 10000

// TestBurst sends burstSize set-ups on one connection of each front without waiting
// for answers. Each must be answered once: served, or refused with a time to wait.
func TestBurst(t *testing.T) {
	mgr := startBurstManager(t, "")
	for _, player := range []bool{false, true} {
		conn := connect(t, mgr, player)
		go func() {
			for n := range burstSize {
				if err := conn.send(burstSetUp(n, player)); err != nil {
					t.Error(err)
					return
				}
			}
		}()
		causes, seen := map[string]int{}, map[string]bool{}
		for len(seen) < burstSize {
			line, err := conn.receive()
			if err != nil {
				t.Fatalf("player %v: after %d answers: %v", player, len(seen), err)
			}
			answer, err := parseReply(line)
			if err != nil || seen[answer.ID] {
				t.Fatalf("%q, %v", line, err)
			}
			seen[answer.ID] = true
			causes[fmt.Sprint(answer.Type, " ", answer.Cause)]++
			if answer.Cause == 42 && answer.Fields["wait"] == "" {
				t.Fatalf("refused without a time to wait: %q", line)
			}
		}
		if causes["answer 0"] == 0 || causes["answer 0"]+causes["release 42"] != burstSize {
			t.Error(causes)
		}
		t.Log(causes)
	}
}

// TestBurstFromClientThatNeverReads has a client send messages without end and read none of
// the answers. Its connection must be closed, and the next client must be served.
func TestBurstFromClientThatNeverReads(t *testing.T) {
	mgr := startBurstManager(t, "")
	for _, player := range []bool{false, true} {
		conn := connect(t, mgr, player)
		for n := 0; ; n++ {
			err := conn.send(strings.Replace(`{"type":"ping","id":"`+strings.Repeat("x", 4000)+`"}`, "x", fmt.Sprint(n%10), 1))
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal("the connection is not closed")
			}
			if err != nil {
				break
			}
		}
		next := connect(t, mgr, player)
		if err := next.send(burstSetUp(1, player)); err != nil {
			t.Fatal(err)
		}
		if line, err := next.receive(); err != nil || !strings.Contains(string(line), "answer") {
			t.Errorf("%q, %v", line, err)
		}
	}
}

// startBurstManager starts a manager with both fronts and one node that serves every set-up.
func startBurstManager(t *testing.T, operator string) *manager {
	node, listener := &standin.Node{Counts: standin.NewCounts(), Decide: func(string, int) standin.Response {
		return standin.Response{Status: 200}
	}}, loopback(t)
	go node.Serve(listener)
	return startManager(t, "127.0.0.1:1", memberJSON("s-0", listener.Addr().String(), 0), 1, "websocket {\n listen 127.0.0.1:0\n}\n"+operator)
}

// burstSetUp returns the nth set-up message of a client on a front.
func burstSetUp(n int, player bool) string {
	if player {
		n += 1 << 20 // ids that the other front does not use
	}
	return fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{"class":"feed","left":"%d","key":"1","extras":"home:0;copies:1;top:0"},"sdp":"d"}`,
		n+1, testTimeout.Milliseconds())
}
