package server

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"millethinge/internal/standin"
)

const (
	mixedSessions   = 10000 // over each transport
	mixedConns      = 16    // each has one session at a time
	specialInterval = 100   // one of so many sessions has nodes that no other session uses
)

// behavior is how media nodes treat a session; it depends on the session's number alone.
// Sessions with a behavior that has the controller avoid a node use nodes of their own, so
// that they do not affect other sessions.
type behavior int

const (
	answered           behavior = iota
	endedByNode                 // served, then ended by the node
	notFoundOnce                // first 454, so it did not start there: tried on another node
	notFoundEverywhere          // 454 at every node: refused
	capacityErrorOnce           // first 453: tried on the next node
	serverErrorOnce             // first 500: a clip fails; a feed is tried on another node
	neverAnswered               // no SETUP is ever answered
	unreachableNode             // its only node refuses connections: refused
	behaviorCount
)

// behaviorOf returns the behavior for the nth session.
func behaviorOf(n int) behavior {
	if n%specialInterval == 0 {
		b := capacityErrorOnce + behavior(n/specialInterval)%(behaviorCount-capacityErrorOnce)
		if b == neverAnswered && n%3 != 0 {
			return answered // how often a feed would be tried again depends on timing
		}
		return b
	}
	switch {
	case n%10 == 1:
		return endedByNode
	case n%10 == 2:
		return notFoundOnce
	case n%10 == 3:
		return notFoundEverywhere
	}
	return answered
}

// nodeVerdict decides the nth SETUP of a session.
func nodeVerdict(session string, nth int) standin.Response {
	var n int
	fmt.Sscanf(session, "%x", &n)
	verdict := standin.Response{Status: 200}
	switch b := behaviorOf(n); {
	case b == endedByNode:
		verdict.SessionLength = time.Millisecond
	case b == notFoundOnce && nth == 1, b == notFoundEverywhere:
		return standin.Response{Status: 454}
	case b == capacityErrorOnce && nth == 1:
		return standin.Response{Status: 453}
	case b == serverErrorOnce && nth == 1:
		return standin.Response{Status: 500}
	case b == neverAnswered:
		return standin.Response{}
	}
	return verdict
}

// setUpLine returns the set-up message of the nth session.
func setUpLine(n int) string {
	class, left, home, copies := "feed", 40000, 0, 2
	if n%3 == 0 {
		class = "clip"
	}
	if b := behaviorOf(n); n%specialInterval == 0 {
		home = 2 + 2*(n/specialInterval)
		if b == neverAnswered {
			left = 3000
		}
		if b == unreachableNode {
			home, copies = home+1, 1
		}
	}
	return fmt.Sprintf(`{"type":"setup","id":"%016x","fields":{"class":"%s","left":"%d","key":"%x","extras":"home:%d;copies:%d;top:3"},"sdp":"d%d\r\n"}`,
		n, class, left, n%50+1, home, copies, n)
}

// outcome is the result of a run of all sessions over one transport.
type outcome struct {
	responses       map[int]string
	setUps          map[string]int
	runs            map[string]int
	sessionsByClass map[string]int
}

// messageConn sends and receives session messages over one transport.
type messageConn interface {
	send(string) error
	receive() ([]byte, error)
}

// lineConn is a connection to the JSON lines front.
type lineConn struct{ *participant }

func (c lineConn) send(message string) error { _, err := c.Write([]byte(message + "\n")); return err }
func (c lineConn) receive() ([]byte, error)  { return c.reader.ReadBytes('\n') }

// frameConn is a connection to the WebSocket front.
type frameConn struct{ *participant }

func (c frameConn) send(message string) error {
	_, err := c.Write(maskedTextFrame([]byte(message)))
	return err
}
func (c frameConn) receive() ([]byte, error) { return readTextFrame(c.reader) }

// connect opens a connection to the WebSocket front for a player, otherwise to the JSON lines front.
func connect(t *testing.T, mgr *manager, player bool) messageConn {
	addr := mgr.listeners.Viewers.Addr()
	if player {
		addr = mgr.listeners.Players.Addr()
	}
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * testTimeout))
	part := &participant{conn, bufio.NewReader(conn)}
	if !player {
		return lineConn{part}
	}
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"+
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n")
	if response, err := readMessage(part.reader); err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 101") {
		t.Errorf("%q, %v", response, err)
		return nil
	}
	return frameConn{part}
}

// runViewer plays one session after another on conn and records all messages of each.
func runViewer(conn messageConn, setUp func(int) string, numbers <-chan int, record func(int, string)) error {
	for n := range numbers {
		if err := conn.send(setUp(n)); err != nil {
			return err
		}
		for received := ""; ; {
			line, err := conn.receive()
			if err != nil {
				return fmt.Errorf("session %d: %w", n, err)
			}
			answer, err := parseReply(line)
			if err != nil || answer.ID != fmt.Sprintf("%016x", n) {
				return fmt.Errorf("session %d: got %q, %v", n, line, err)
			}
			received += fmt.Sprintf("%s %d %v %q;", answer.Type, answer.Cause, answer.Fields, answer.SDP)
			if answer.Type == "answer" && behaviorOf(n) == endedByNode {
				continue // the node's release follows
			}
			if answer.Type == "answer" {
				err = conn.send(fmt.Sprintf(`{"type":"release","id":"%016x","fields":{},"cause":16}`, n))
			}
			record(n, received)
			if err != nil {
				return err
			}
			break
		}
	}
	return nil
}

// runSessions runs all sessions over one transport against a manager of its own. If concurrently
// is not nil, it runs at the same time; done is closed when the sessions have ended.
func runSessions(t *testing.T, player bool, operator string, setUp func(int) string, concurrently func(mgr *manager, done <-chan struct{})) outcome {
	bill := standin.NewCounts()
	node := &standin.Node{Decide: nodeVerdict, Counts: bill}
	listener, closedListener := loopback(t), loopback(t)
	go node.Serve(listener)
	addr, closedAddr := listener.Addr().String(), closedListener.Addr().String()
	closedListener.Close()
	members := []string{memberJSON("s-0", addr, 0), memberJSON("s-1", addr, 1)}
	cells := 2
	for n := 0; n < mixedSessions; n += specialInterval {
		second := addr
		if behaviorOf(n) == unreachableNode {
			second = closedAddr
		}
		members = append(members, memberJSON(fmt.Sprint("s-", cells), addr, cells), memberJSON(fmt.Sprint("s-", cells+1), second, cells+1))
		cells += 2
	}
	mgr := startManager(t, "127.0.0.1:1", strings.Join(members, ","), cells, "websocket {\n listen 127.0.0.1:0\n}\n"+operator)

	result := outcome{responses: make(map[int]string)}
	var mu sync.Mutex
	var viewers sync.WaitGroup
	numbers := make(chan int)
	for range mixedConns {
		conn := connect(t, mgr, player)
		if conn == nil {
			t.FailNow()
		}
		viewers.Go(func() {
			err := runViewer(conn, setUp, numbers, func(n int, received string) {
				mu.Lock()
				defer mu.Unlock()
				result.responses[n] = received
			})
			if err != nil {
				t.Error(err)
				for range numbers {
				}
			}
		})
	}
	done := make(chan struct{})
	var background sync.WaitGroup
	if concurrently != nil {
		background.Go(func() { concurrently(mgr, done) })
	}
	for n := range mixedSessions {
		numbers <- n
	}
	close(numbers)
	viewers.Wait()
	close(done)
	background.Wait()
	bill.WithLock(func(counted *standin.Counts) {
		result.setUps, result.runs, result.sessionsByClass = maps.Clone(counted.SetUps), maps.Clone(counted.Established), maps.Clone(counted.EstablishedByClass)
	})
	return result
}

// TestTransportsAgree runs the same sessions over JSON lines and WebSocket. Answers and
// the nodes' counts must be the same, and no session of a billed class may start twice.
func TestTransportsAgree(t *testing.T) {
	lines, frames := runSessions(t, false, "", setUpLine, nil), runSessions(t, true, "", setUpLine, nil)
	compareOutcomes(t, lines, frames)
}

// compareOutcomes fails the test if the messages or the nodes' counts of two runs differ.
func compareOutcomes(t *testing.T, first, second outcome) {
	t.Helper()
	if len(first.responses) != mixedSessions || !reflect.DeepEqual(first.responses, second.responses) {
		differences := 0
		for n, received := range first.responses {
			if second.responses[n] != received {
				if differences++; differences < 5 {
					t.Errorf("session %d, behavior %d: %q in the first run, %q in the second", n, behaviorOf(n), received, second.responses[n])
				}
			}
		}
		t.Errorf("%d and %d sessions, %d differ", len(first.responses), len(second.responses), differences)
	}
	for name, pair := range map[string][2]map[string]int{
		"set-ups": {first.setUps, second.setUps}, "sessions": {first.runs, second.runs}, "classes": {first.sessionsByClass, second.sessionsByClass},
	} {
		if len(pair[0]) == 0 || !reflect.DeepEqual(pair[0], pair[1]) {
			t.Errorf("the nodes' counts of %s differ or are empty", name)
		}
	}
	kinds := map[string]int{}
	for n, received := range first.responses {
		id := fmt.Sprintf("%016x", n)
		if n%3 == 0 && first.runs[id] > 1 {
			t.Errorf("billed session %d started %d times", n, first.runs[id])
		}
		kind, _, _ := strings.Cut(received, " map")
		if first.setUps[id] > 1 {
			kind += " retried"
		}
		kinds[kind]++
	}
	for _, kind := range []string{"answer 0", "answer 0 retried", "release 42", "release 42 retried", "release 38"} {
		if kinds[kind] == 0 {
			t.Errorf("no session got %s: %v", kind, kinds)
		}
	}
	t.Log(kinds)
}
