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

// scripted is a coordinator that has each connection's polls answered by say; "" ends
// the connection.
func scripted(t *testing.T, say func(conn, poll int, target string) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for poll := 1; ; poll++ {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					text := say(n, poll, req.RequestURI)
					if text == "" {
						return
					}
					if _, err := io.WriteString(c, text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func ok(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// event is one that names node a at a port.
func event(number, port int) string {
	return fmt.Sprintf(`{"index":%d,"updates":[{"index":%d,"endpoints":{"members":[{"id":"a","host_port":"h:%d","phase":"in_service"}]}}]}`, number, number, port)
}

func quiet(sink Sink) *Coordinator { return NewCoordinator(Updates{}, names, sink, zap.NewNop()) }

// What ends a poll is told as what it is.
func TestPollFaults(t *testing.T) {
	long := strings.Repeat("x", maxPoll+1)
	for code, answers := range map[string][]string{
		"list-closed": {"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{|", "HTTP/1.1 2|"},
		"list-silent": {" ", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"},
		"list-status": {"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno"},
		"list-faulty": {ok(`{"index":`), ok(strings.Replace(event(1, 1), "in_service", "in", 1)), ok("")},
		"list-spoilt": {"RTSP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n", "HTTP/1.1 200 OK\r\n bad\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
			"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxPollHead) + "\r\n\r\n",
			"HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + long + "|",
			fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long)},
	} {
		for _, text := range answers {
			t.Run(code, func(t *testing.T) {
				t.Parallel()
				addr := scripted(t, func(int, int, string) string { return text })
				if text, ends := strings.CutSuffix(text, "|"); ends { // the connection ends after it
					addr = once(t, text)
				}
				var told int
				err := quiet(func(Change) { told++ }).follow(t.Context(), addr, 0)
				if e, ok := remedy.FromError(err); !ok || e.Code() != code || told != 0 {
					t.Errorf("%.60q: %v, told %d times", text, err, told)
				}
			})
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	var gone *Unreachable
	if err := quiet(nil).follow(t.Context(), l.Addr().String(), 0); !errors.As(err, &gone) || gone.Addr != l.Addr().String() {
		t.Error(err)
	}
}

// once is a coordinator whose connections end in order after this text.
func once(t *testing.T, text string) string {
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
					io.WriteString(c, text) // a client that has had enough needs no more
				}
			}()
		}
	}()
	return l.Addr().String()
}

// All forms of an answer are read, at whatever places it is cut.
func TestAnswers(t *testing.T) {
	whole := ok("abc") + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n" +
		"HTTP/1.1 200 OK\r\ncontent-length: " + fmt.Sprint(maxPoll) + "\r\n\r\n" + strings.Repeat("x", maxPoll) +
		"HTTP/1.0 404 Not Found\r\n\r\nno"
	in := newAnswers(iotest.HalfReader(strings.NewReader(whole)))
	for _, want := range []struct {
		status, length int
		last           bool
	}{{200, 3, false}, {200, 5, false}, {200, maxPoll, false}, {404, 2, true}} {
		if status, text, last, err := in.next(); err != nil || status != want.status || len(text) != want.length || last != want.last {
			t.Errorf("%d, %d bytes, %t, %v; want %v", status, len(text), last, err, want)
		}
	}
}

// A poll that is held ends with its context, however long it may be held.
func TestHeldPollEnds(t *testing.T) {
	asked, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	addr := scripted(t, func(int, int, string) string {
		close(asked)
		<-release
		return ""
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- quiet(nil).follow(ctx, addr, time.Hour) }()
	<-asked
	cancel()
	select {
	case <-ended:
	case <-time.After(patience):
		t.Fatal("it goes on")
	}
}

// Run asks on after each break, with the number of the last event, on a new
// connection; so it does when told to, and at another address.
func TestRunGoesOn(t *testing.T) {
	type poll struct {
		place  string
		conn   int
		target string
	}
	polls := make(chan poll, 100)
	held := make(chan struct{})
	t.Cleanup(func() { close(held) })
	// What breaks in on a poll is answered at once, also where the move overtakes it.
	place := func(name string) string {
		return scripted(t, func(conn, n int, target string) string {
			polls <- poll{name, conn, target}
			switch {
			case name == "one" && conn == 1 && n == 1:
				return ok(event(1, 1))
			case name == "one" && conn == 1:
				return ""
			}
			<-held // no news
			return ""
		})
	}
	ctx, cancel := context.WithCancel(t.Context())
	c := quiet(func(Change) {})
	heard := make(chan time.Time, 10)
	c.Heard = func(asked time.Time) { heard <- asked }
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	expect := func(place string, conn int, target string) {
		t.Helper()
		select {
		case got := <-polls:
			if want := (poll{place, conn, "/v2/stream?" + target}); got != want {
				t.Fatalf("%v, want %v", got, want)
			}
		case <-time.After(patience):
			t.Fatal("no poll")
		}
	}
	c.Follow(place("one"))
	expect("one", 1, "follow=0&wait_ms=2000")
	expect("one", 1, "follow=1&wait_ms=2000")
	expect("one", 2, "follow=1&wait_ms=2000") // after the break
	if len(heard) != 1 {
		t.Error("heard of", len(heard), "answers")
	}
	c.Ask()
	expect("one", 3, "follow=1&wait_ms=0")
	held <- struct{}{} // the one before, and
	held <- struct{}{} // it break unanswered: what was asked at once still is
	expect("one", 4, "follow=1&wait_ms=0")
	c.Ask()
	c.Follow(place("two"))
	// Ask may be heard first, or anew. One who does not answer at once may just be slow.
	first, held2s := poll{"two", 1, "/v2/stream?follow=1&wait_ms=0"}, false
	for two := 0; !held2s; {
		select {
		case got := <-polls:
			if got.place == "one" {
				continue
			}
			if two++; two == 1 && got != first || two > 4 {
				t.Fatal(got)
			}
			held2s = got.target == "/v2/stream?follow=1&wait_ms=2000"
		case <-time.After(patience):
			t.Fatal("no poll")
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Each event is told once, however the answers that bring them are numbered or cut.
func TestEachEventIsTold(t *testing.T) {
	at := func(number, port int) string {
		return fmt.Sprintf(`{"index":%d,"endpoints":{"members":[{"id":"a","host_port":"h:%d","phase":"in_service"}]}}`, number, port)
	}
	answer := func(index int, events ...string) string {
		return ok(fmt.Sprintf(`{"index":%d,"updates":[%s]}`, index, strings.Join(events, ",")))
	}
	for name, e := range map[string]struct {
		answers []string
		want    string // ports in order
		last    uint64
	}{
		"in order":              {[]string{answer(2, at(1, 1), at(2, 2)), answer(3, at(3, 3))}, "1 2 3", 3},
		"told before":           {[]string{answer(2, at(1, 1), at(2, 2)), answer(3, at(2, 2), at(3, 3))}, "1 2 3", 3},
		"number ahead":          {[]string{answer(2, at(1, 1)), answer(2, at(2, 2))}, "1 2", 2},
		"number ahead, no news": {[]string{answer(1, at(1, 1)), answer(2), answer(2, at(2, 2))}, "1 2", 2},
		"number behind":         {[]string{answer(0, at(1, 1)), answer(1, at(2, 2))}, "1 2", 2},
		"twice one number":      {[]string{answer(2, at(1, 1), at(2, 2), at(2, 3)), answer(3, at(3, 4))}, "1 2 3 4", 3},
		"out of order":          {[]string{answer(2, at(2, 1), at(1, 2)), answer(3, at(3, 3))}, "1 2 3", 3},
		"without a number":      {[]string{answer(1, at(1, 1), at(0, 2)), answer(2, at(2, 3))}, "1 2 3", 2},
		"a fault after it":      {[]string{ok(`{"index":2,"updates":[` + at(1, 1) + `,{"index":2,"endpoints":{"members":[{}]}}]}`), answer(2, at(1, 1), at(2, 2))}, "1 2", 2},
		"spoilt after it":       {[]string{ok(`{"index":2,"updates":[` + at(1, 1) + `}`), answer(2, at(1, 1), at(2, 2))}, "1 2", 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var ports []string
			c := quiet(func(n Change) { ports = append(ports, strings.TrimPrefix(n.Members[0].Addr, "h:")) })
			for _, text := range e.answers {
				addr := once(t, text)
				c.follow(t.Context(), addr, time.Minute)
			}
			if got := strings.Join(ports, " "); got != e.want || c.last != e.last {
				t.Errorf("told %s, last %d; want %s, %d", got, c.last, e.want, e.last)
			}
		})
	}
}

// An answer that is cut off at any byte tells nothing, whoever cuts it: the coordinator,
// or an Ask or a move that comes when so much of it is here. The next one tells all of it.
func TestAnswerCutAnywhere(t *testing.T) {
	whole := ok(event(1, 1))
	for n := range len(whole) {
		told := 0
		c := quiet(func(Change) { told++ })
		c.follow(t.Context(), once(t, whole[:n]), time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		far, near := net.Pipe()
		ended := make(chan error, 1)
		go func() {
			_, _, _, err := newAnswers(near).next()
			ended <- err
		}()
		stop := context.AfterFunc(ctx, func() { near.Close() })
		far.Write([]byte(whole[:n])) // a pipe's write returns when all of it is read
		cancel()
		if err := <-ended; err == nil || told != 0 || c.last != 0 {
			t.Fatalf("at byte %d: %v, told %d, last %d", n, err, told, c.last)
		}
		stop()
		far.Close()
		c.follow(t.Context(), once(t, whole), time.Minute)
		if told != 1 || c.last != 1 {
			t.Fatalf("after byte %d: told %d, last %d", n, told, c.last)
		}
	}
}

// A coordinator that answers without waiting and without news is asked anew after a
// pause: follow gives it up.
func TestNoNewsAtOnce(t *testing.T) {
	var polls atomic.Int32
	addr := scripted(t, func(int, int, string) string {
		if polls.Add(1) > 2 {
			return ""
		}
		return ok(`{"index":0,"updates":[]}`)
	})
	if err := quiet(nil).follow(t.Context(), addr, 0); err != nil || polls.Load() != 2 {
		t.Errorf("%v after %d polls", err, polls.Load()) // the first was not to be held
	}
}
