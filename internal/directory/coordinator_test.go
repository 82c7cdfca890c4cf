package directory

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"millethinge/internal/remedy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startCoordinator is a coordinator that has each connection's polls answered by say; "" ends
// the connection.
func startCoordinator(t *testing.T, respond func(conn, poll int, target string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for connNumber := 1; ; connNumber++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				requests := bufio.NewReader(c)
				for poll := 1; ; poll++ {
					req, err := http.ReadRequest(requests)
					if err != nil {
						return
					}
					response := respond(connNumber, poll, req.RequestURI)
					if response == "" {
						return
					}
					if _, err := io.WriteString(c, response); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func okResponse(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// updatesJSON is one that names node a at a port.
func updatesJSON(index, port int) string {
	return fmt.Sprintf(`{"index":%d,"updates":[{"index":%d,"endpoints":{"members":[{"id":"a","host_port":"h:%d","phase":"in_service"}]}}]}`, index, index, port)
}

func newTestClient(sink Sink) *CoordinatorClient {
	return NewCoordinatorClient(Updates{}, names, sink, zap.NewNop())
}

// What ends a poll is told as what it is.
func TestPollErrors(t *testing.T) {
	longBody := strings.Repeat("x", maxBodyBytes+1)
	for code, responses := range map[string][]string{
		"list-closed": {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{|", "HTTP/1.1 2|"},
		"list-silent": {" ", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"},
		"list-status": {"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"},
		"list-faulty": {okResponse(`{"index":`), okResponse(strings.Replace(updatesJSON(1, 1), "in_service", "in", 1)), okResponse("")},
		"list-spoilt": {"RTSP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n", "HTTP/1.1 200 OK\r\n bad\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
			"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + longBody + "|",
			fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(longBody), longBody)},
	} {
		for _, response := range responses {
			t.Run(code, func(t *testing.T) {
				t.Parallel()
				addr := startCoordinator(t, func(int, int, string) string { return response })
				if response, ends := strings.CutSuffix(response, "|"); ends { // the connection ends after it
					addr = startClosingCoordinator(t, response)
				}
				var changes int
				err := newTestClient(func(Change) { changes++ }).pollConn(t.Context(), addr, 0)
				if e, ok := remedy.FromError(err); !ok || e.Code() != code || changes != 0 {
					t.Errorf("%.60q: %v, told %d times", response, err, changes)
				}
			})
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	var unreachable *UnreachableError
	if err := newTestClient(nil).pollConn(t.Context(), l.Addr().String(), 0); !errors.As(err, &unreachable) || unreachable.Addr != l.Addr().String() {
		t.Error(err)
	}
}

// startClosingCoordinator is a coordinator whose connections end in order after this text.
func startClosingCoordinator(t *testing.T, response string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					io.WriteString(c, response) // a client that has had enough needs no more
				}
			}()
		}
	}()
	return l.Addr().String()
}

// All forms of an answer are read, at whatever places it is cut.
func TestResponseReader(t *testing.T) {
	stream := okResponse("abc") + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n" +
		"HTTP/1.1 200 OK\r\ncontent-length: " + fmt.Sprint(maxBodyBytes) + "\r\n\r\n" + strings.Repeat("x", maxBodyBytes) +
		"HTTP/1.0 404 Not Found\r\n\r\nno"
	reader := newResponseReader(iotest.HalfReader(strings.NewReader(stream)))
	for _, want := range []struct {
		status, length int
		connEnds       bool
	}{{200, 3, false}, {200, 5, false}, {200, maxBodyBytes, false}, {404, 2, true}} {
		if status, body, connEnds, err := reader.next(); err != nil || status != want.status || len(body) != want.length || connEnds != want.connEnds {
			t.Errorf("%d, %d bytes, %t, %v; want %v", status, len(body), connEnds, err, want)
		}
	}
}

// A poll that is held ends with its context, however long it may be held.
func TestPollEndsWithContext(t *testing.T) {
	polled, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	addr := startCoordinator(t, func(int, int, string) string {
		close(polled)
		<-release
		return ""
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- newTestClient(nil).pollConn(ctx, addr, time.Hour) }()
	<-polled
	cancel()
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Fatal("it goes on")
	}
}

// Run asks on after each break, with the number of the last event, on a new
// connection; so it does when told to, and at another address.
func TestRunReconnects(t *testing.T) {
	type poll struct {
		coordinator string
		conn        int
		target      string
	}
	polls := make(chan poll, 100)
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	// What breaks in on a poll is answered at once, also where the move overtakes it.
	coordinator := func(name string) string {
		return startCoordinator(t, func(conn, pollNumber int, target string) string {
			polls <- poll{name, conn, target}
			switch {
			case name == "one" && conn == 1 && pollNumber == 1:
				return okResponse(updatesJSON(1, 1))
			case name == "one" && conn == 1:
				return ""
			}
			<-held // no news
			return ""
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	c := newTestClient(func(Change) {})
	responseTimes := make(chan time.Time, 10)
	c.OnResponse = func(requested time.Time) { responseTimes <- requested }
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	expect := func(coordinator string, conn int, target string) {
		t.Helper()
		select {
		case got := <-polls:
			if want := (poll{coordinator, conn, "/v2/stream?" + target}); got != want {
				t.Fatalf("%v, want %v", got, want)
			}
		case <-time.After(testTimeout):
			t.Fatal("no poll")
		}
	}
	c.SetAddr(coordinator("one"))
	expect("one", 1, "follow=0&wait_ms=2000")
	expect("one", 1, "follow=1&wait_ms=2000")
	expect("one", 2, "follow=1&wait_ms=2000") // after the break
	if len(responseTimes) != 1 {
		t.Error("heard of", len(responseTimes), "answers")
	}
	c.PollNow()
	expect("one", 3, "follow=1&wait_ms=0")
	held <- struct{}{} // the one before, and
	held <- struct{}{} // it break unanswered: what was asked at once still is
	expect("one", 4, "follow=1&wait_ms=0")
	c.PollNow()
	c.SetAddr(coordinator("two"))
	// Ask may be heard first, or anew. One who does not answer at once may just be slow.
	first, longPollSeen := poll{"two", 1, "/v2/stream?follow=1&wait_ms=0"}, false
	for pollsAtTwo := 0; !longPollSeen; {
		select {
		case got := <-polls:
			if got.coordinator == "one" {
				continue
			}
			if pollsAtTwo++; pollsAtTwo == 1 && got != first || pollsAtTwo > 4 {
				t.Fatal(got)
			}
			longPollSeen = got.target == "/v2/stream?follow=1&wait_ms=2000"
		case <-time.After(testTimeout):
			t.Fatal("no poll")
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Each event is told once, however the answers that bring them are numbered or cut.
func TestEachUpdateDeliveredOnce(t *testing.T) {
	update := func(updateIndex, port int) string {
		return fmt.Sprintf(`{"index":%d,"endpoints":{"members":[{"id":"a","host_port":"h:%d","phase":"in_service"}]}}`, updateIndex, port)
	}
	response := func(index int, updates ...string) string {
		return okResponse(fmt.Sprintf(`{"index":%d,"updates":[%s]}`, index, strings.Join(updates, ",")))
	}
	for name, e := range map[string]struct {
		answers []string
		want    string // ports in order
		last    uint64
	}{
		"in order":              {[]string{response(2, update(1, 1), update(2, 2)), response(3, update(3, 3))}, "1 2 3", 3},
		"told before":           {[]string{response(2, update(1, 1), update(2, 2)), response(3, update(2, 2), update(3, 3))}, "1 2 3", 3},
		"number ahead":          {[]string{response(2, update(1, 1)), response(2, update(2, 2))}, "1 2", 2},
		"number ahead, no news": {[]string{response(1, update(1, 1)), response(2), response(2, update(2, 2))}, "1 2", 2},
		"number behind":         {[]string{response(0, update(1, 1)), response(1, update(2, 2))}, "1 2", 2},
		"twice one number":      {[]string{response(2, update(1, 1), update(2, 2), update(2, 3)), response(3, update(3, 4))}, "1 2 3 4", 3},
		"out of order":          {[]string{response(2, update(2, 1), update(1, 2)), response(3, update(3, 3))}, "1 2 3", 3},
		"without a number":      {[]string{response(1, update(1, 1), update(0, 2)), response(2, update(2, 3))}, "1 2 3", 2},
		"a fault after it":      {[]string{okResponse(`{"index":2,"updates":[` + update(1, 1) + `,{"index":2,"endpoints":{"members":[{}]}}]}`), response(2, update(1, 1), update(2, 2))}, "1 2", 2},
		"spoilt after it":       {[]string{okResponse(`{"index":2,"updates":[` + update(1, 1) + `}`), response(2, update(1, 1), update(2, 2))}, "1 2", 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ports []string
			c := newTestClient(func(change Change) { ports = append(ports, strings.TrimPrefix(change.Members[0].Addr, "h:")) })
			for _, response := range e.answers {
				addr := startClosingCoordinator(t, response)
				c.pollConn(t.Context(), addr, time.Minute)
			}
			if got := strings.Join(ports, " "); got != e.want || c.lastIndex != e.last {
				t.Errorf("told %s, last %d; want %s, %d", got, c.lastIndex, e.want, e.last)
			}
		})
	}
}

// An answer that is cut off at any byte tells nothing, whoever cuts it: the coordinator,
// or an Ask or a move that comes when so much of it is here. The next one tells all of it.
func TestTruncatedResponse(t *testing.T) {
	complete := okResponse(updatesJSON(1, 1))
	for length := range len(complete) {
		changes := 0
		c := newTestClient(func(Change) { changes++ })
		c.pollConn(t.Context(), startClosingCoordinator(t, complete[:length]), time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		far, near := net.Pipe()
		ended := make(chan error, 1)
		go func() {
			_, _, _, err := newResponseReader(near).next()
			ended <- err
		}()
		stop := context.AfterFunc(ctx, func() { near.Close() })
		far.Write([]byte(complete[:length])) // a pipe's write returns when all of it is read
		cancel()
		if err := <-ended; err == nil || changes != 0 || c.lastIndex != 0 {
			t.Fatalf("at byte %d: %v, told %d, last %d", length, err, changes, c.lastIndex)
		}
		stop()
		far.Close()
		c.pollConn(t.Context(), startClosingCoordinator(t, complete), time.Minute)
		if changes != 1 || c.lastIndex != 1 {
			t.Fatalf("after byte %d: told %d, last %d", length, changes, c.lastIndex)
		}
	}
}

// A coordinator that answers without waiting and without news is asked anew after a
// pause: follow gives it up.
func TestImmediateEmptyResponse(t *testing.T) {
	var polls atomic.Int32
	addr := startCoordinator(t, func(int, int, string) string {
		if polls.Add(1) > 2 {
			return ""
		}
		return okResponse(`{"index":0,"updates":[]}`)
	})
	if err := newTestClient(nil).pollConn(t.Context(), addr, 0); err != nil || polls.Load() != 2 {
		t.Errorf("%v after %d polls", err, polls.Load()) // the first was not to be held
	}
}
