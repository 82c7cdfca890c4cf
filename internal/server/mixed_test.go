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
	mixedSessions   = 10000 // sessions over each transport
	mixedConns      = 16    // connections, each with one session at a time
	specialInterval = 100   // one session in so many has nodes of its own
)

// behavior is what becomes of a session, by its number alone. Fates that make the
// module rest a node have nodes of their own, so that no other session notices.
type behavior int

const (
	answered           behavior = iota
	endedByNode                 // served, then ended by the node
	notFoundOnce                // 454 first: it never left, and goes to another node
	notFoundEverywhere          // 454 at every node: refused
	capacityErrorOnce           // 453 first: a retry on the next node
	serverErrorOnce             // 500: a clip fails; a feed is retried elsewhere
	neverAnswered               // no answer, ever
	unreachableNode             // its only node refuses connections: refused
	behaviorCount
)

func behaviorOf(n int) behavior {
	if n%specialInterval == 0 {
		b := capacityErrorOnce + behavior(n/specialInterval)%(behaviorCount-capacityErrorOnce)
		if b == neverAnswered && n%3 != 0 {
			return answered // how often a feed is tried again there is a matter of time
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

func nodeVerdict(session string, nth int) standin.Verdict {
	var n int
	fmt.Sscanf(session, "%x", &n)
	verdict := standin.Verdict{Status: 200}
	switch b := behaviorOf(n); {
	case b == endedByNode:
		verdict.Length = time.Millisecond
	case b == notFoundOnce && nth == 1, b == notFoundEverywhere:
		return standin.Verdict{Status: 454}
	case b == capacityErrorOnce && nth == 1:
		return standin.Verdict{Status: 453}
	case b == serverErrorOnce && nth == 1:
		return standin.Verdict{Status: 500}
	case b == neverAnswered:
		return standin.Verdict{}
	}
	return verdict
}

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

// run of the sessions over one transport: what each was told, and the bill.
type outcome struct {
	responses       map[int]string
	setUps          map[string]int
	runs            map[string]int
	sessionsByClass map[string]int
}

// messageConn sends and receives session messages on one transport.
type messageConn interface {
	send(string) error
	receive() ([]byte, error)
}

type lineConn struct{ *participant }

func (c lineConn) send(message string) error { _, err := c.Write([]byte(message + "\n")); return err }
func (c lineConn) receive() ([]byte, error)  { return c.reader.ReadBytes('\n') }

type frameConn struct{ *participant }

func (c frameConn) send(message string) error {
	_, err := c.Write(maskedTextFrame([]byte(message)))
	return err
}
func (c frameConn) receive() ([]byte, error) { return readTextFrame(c.reader) }

func connect(t *testing.T, prog *manager, player bool) messageConn {
	addr := prog.listeners.Viewers.Addr()
	if player {
		addr = prog.listeners.Players.Addr()
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

// runViewer has one session after another, and notes all that each was told.
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
				continue // its end is still to come
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

// runSessions runs them against a program of its own. meanwhile, if any, runs beside
// them, until done is closed.
func runSessions(t *testing.T, player bool, operator string, setUp func(int) string, concurrently func(prog *manager, done <-chan struct{})) outcome {
	bill := standin.NewBill()
	node := &standin.Node{Decide: nodeVerdict, Bill: bill}
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
	prog := startManager(t, "127.0.0.1:1", strings.Join(members, ","), cells, "websocket {\n listen 127.0.0.1:0\n}\n"+operator)

	result := outcome{responses: make(map[int]string)}
	var mu sync.Mutex
	var viewers sync.WaitGroup
	numbers := make(chan int)
	for range mixedConns {
		conn := connect(t, prog, player)
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
		background.Go(func() { concurrently(prog, done) })
	}
	for n := range mixedSessions {
		numbers <- n
	}
	close(numbers)
	viewers.Wait()
	close(done)
	background.Wait()
	bill.Read(func(counted *standin.Bill) {
		result.setUps, result.runs, result.sessionsByClass = maps.Clone(counted.SetUp), maps.Clone(counted.Ran), maps.Clone(counted.Class)
	})
	return result
}

// TestTransportsAgree runs the same sessions over JSON lines and WebSocket: the
// answers and the bill must be the same, and no paid session set up twice.
func TestTransportsAgree(t *testing.T) {
	lines, frames := runSessions(t, false, "", setUpLine, nil), runSessions(t, true, "", setUpLine, nil)
	compareOutcomes(t, lines, frames)
}

// compareOutcomes holds what two runs of the sessions were told and billed against each
// other.
func compareOutcomes(t *testing.T, first, second outcome) {
	t.Helper()
	if len(first.responses) != mixedSessions || !reflect.DeepEqual(first.responses, second.responses) {
		differences := 0
		for n, received := range first.responses {
			if second.responses[n] != received {
				if differences++; differences < 5 {
					t.Errorf("session %d, fate %d: %q over lines, %q over frames", n, behaviorOf(n), received, second.responses[n])
				}
			}
		}
		t.Errorf("%d and %d sessions, %d differ", len(first.responses), len(second.responses), differences)
	}
	for name, pair := range map[string][2]map[string]int{
		"set-ups": {first.setUps, second.setUps}, "sessions": {first.runs, second.runs}, "classes": {first.sessionsByClass, second.sessionsByClass},
	} {
		if len(pair[0]) == 0 || !reflect.DeepEqual(pair[0], pair[1]) {
			t.Errorf("%s differ on the bills", name)
		}
	}
	kinds := map[string]int{}
	for n, received := range first.responses {
		id := fmt.Sprintf("%016x", n)
		if n%3 == 0 && first.runs[id] > 1 {
			t.Errorf("paid session %d was set up %d times", n, first.runs[id])
		}
		kind, _, _ := strings.Cut(received, " map")
		if first.setUps[id] > 1 {
			kind += " retried"
		}
		kinds[kind]++
	}
	for _, kind := range []string{"answer 0", "answer 0 retried", "release 42", "release 42 retried", "release 38"} {
		if kinds[kind] == 0 {
			t.Errorf("no session was told %s: %v", kind, kinds)
		}
	}
	t.Log(kinds)
}
