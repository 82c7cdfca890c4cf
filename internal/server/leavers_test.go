package server

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"millethinge/internal/config"
	"millethinge/internal/rtsp"
	"millethinge/internal/standin"
	"millethinge/internal/stream"
)

var measureLeavers = flag.Bool("leavers", false, "run the measurement of attempts that begin after their client has left")

// setUpTimes records when the last SETUP of each session arrived at any node. Its nodes answer
// every SETUP after a random time with 454, which says that the session never started there.
type setUpTimes struct {
	mu        sync.Mutex
	lastSetUp map[string]time.Time
}

func (times *setUpTimes) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := stream.NewReader(conn, rtsp.MaxMessageSize)
			var mu sync.Mutex
			var m rtsp.Message
			for reader.Next(func(text []byte) (int, error) { return rtsp.Parse(text, &m) }) == nil {
				id, received := string(m.Get("Session")), time.Now()
				if string(m.Method) != "SETUP" {
					continue
				}
				times.mu.Lock()
				times.lastSetUp[id] = received
				times.mu.Unlock()
				time.AfterFunc(rand.N(40*time.Millisecond), func() {
					mu.Lock()
					defer mu.Unlock()
					fmt.Fprintf(conn, "RTSP/1.0 454 Moot\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id)
				})
			}
		}()
	}
}

// fullListener returns a listener whose accept queue is full.
func fullListener(t *testing.T) net.Listener {
	listener := loopback(t)
	closeFill, err := standin.FillAcceptQueue(listener.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeFill)
	return listener
}

// TestAttemptsAfterClientLeft measures the longest time from the moment a client leaves to the
// last attempt that begins for it, as the nodes see it, with clients that leave at random times.
// It does not run in CI.
func TestAttemptsAfterClientLeft(t *testing.T) {
	if !*measureLeavers {
		t.Skip("a measurement; run with -leavers")
	}
	const sessionsPerCase, sessionsUnread = 60, 12 // sessionsUnread: where clients do not read
	ping := `{"type":"ping","id":"` + strings.Repeat("0", 15<<10) + `"}`
	ways := []string{"close", "reset", "half close", "release", "release without reading"}
	for _, stage := range []string{"during or between attempts", "slow dial", "manager drains"} {
		for _, player := range []bool{false, true} {
			for _, grace := range []string{"1ms", "3s"} {
				for _, way := range ways {
					if !player && grace != "1ms" {
						continue
					}
					times := &setUpTimes{lastSetUp: map[string]time.Time{}}
					var members []string
					var listeners []net.Listener
					for i := range 6 {
						listener := loopback(t)
						if stage == "slow dial" {
							listener = fullListener(t)
						}
						listeners = append(listeners, listener)
						members = append(members, memberJSON(fmt.Sprint("s-", i), listener.Addr().String(), i))
					}
					if stage != "slow dial" {
						for _, listener := range listeners {
							go times.serve(listener)
						}
					}
					mgr := startManagerWith(t, "127.0.0.1:1", strings.Join(members, ","), 6, "websocket {\n listen 127.0.0.1:0\n grace "+grace+"\n}\n",
						func(c *config.Config) { c.ConnectTimeout = 5 * time.Second })
					left := map[string]time.Time{}
					var mu sync.Mutex
					var clients sync.WaitGroup
					unread := way == "release without reading" // the client reads no answers, so the manager stops reading from it
					sessions := sessionsPerCase
					if unread {
						sessions = sessionsUnread
					}
					for n := range sessions {
						client := connect(t, mgr, player)
						id := fmt.Sprintf("%016x", n+1)
						clients.Go(func() {
							client.send(fmt.Sprintf(`{"type":"setup","id":"%s","fields":{"class":"clip","left":9000,"key":"1","extras":"home:0;copies:6;top:3"},"sdp":"x"}`, id))
							time.Sleep(rand.N(60 * time.Millisecond))
							var c *net.TCPConn
							if lines, ok := client.(lineConn); ok {
								c = lines.Conn.(*net.TCPConn)
							} else {
								c = client.(frameConn).Conn.(*net.TCPConn)
							}
							if unread {
								c.SetReadBuffer(1 << 12)
								for range 400 {
									client.send(ping)
								}
							}
							when := time.Now()
							switch way {
							case "close":
								c.Close()
							case "reset":
								c.SetLinger(0)
								c.Close()
							case "half close":
								c.CloseWrite()
							case "release", "release without reading":
								client.send(fmt.Sprintf(`{"type":"release","id":"%s","fields":{},"cause":16}`, id))
							}
							mu.Lock()
							left[id] = when
							mu.Unlock()
						})
						if stage == "manager drains" && n == sessions/2 {
							mgr.signals <- syscall.SIGTERM
						}
					}
					clients.Wait()
					if stage == "slow dial" {
						time.Sleep(200 * time.Millisecond)
						for _, listener := range listeners {
							go times.serve(listener)
						}
					}
					time.Sleep(2 * time.Second)
					times.mu.Lock()
					var longest time.Duration
					lateAttempts := 0
					for id, when := range times.lastSetUp {
						if delay := when.Sub(left[id]); delay > 0 {
							lateAttempts++
							longest = max(longest, delay)
						}
					}
					front := "JSON lines"
					if player {
						front = "WebSocket, grace " + grace
					}
					t.Logf("%s | %s | %s | sessions with an attempt %d of %d | attempts after leaving %d, latest by %v", stage, front, way, len(times.lastSetUp), sessions, lateAttempts, longest)
					if longest > 100*time.Millisecond {
						t.Errorf("%s, %s, %s: an attempt begins %v after the client left", stage, front, way, longest)
					}
					times.mu.Unlock()
				}
			}
		}
	}
}
