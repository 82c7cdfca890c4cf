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

var leavers = flag.Bool("leavers", false, "measure when attempts begin whose clients have gone")

// begun notes when the last SETUP of each session came to any of some nodes, each of which
// answers after a time drawn for it that it never ran there.
type begun struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func (b *begun) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := stream.NewReader(c, rtsp.MaxMessageSize)
			var mu sync.Mutex
			var m rtsp.Message
			for in.Next(func(t []byte) (int, error) { return rtsp.Parse(t, &m) }) == nil {
				id, came := string(m.Get("Session")), time.Now()
				if string(m.Method) != "SETUP" {
					continue
				}
				b.mu.Lock()
				b.last[id] = came
				b.mu.Unlock()
				time.AfterFunc(rand.N(40*time.Millisecond), func() {
					mu.Lock()
					defer mu.Unlock()
					fmt.Fprintf(c, "RTSP/1.0 454 Moot\r\nCSeq: 1\r\nSession: %s\r\nContent-Length: 0\r\n\r\n", id)
				})
			}
		}()
	}
}

// shy is a listener whose queue is full.
func shy(t *testing.T) net.Listener {
	l := loopback(t)
	end, err := standin.Shy(l.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(end)
	return l
}

// TestLeavers measures the longest time from a client's leaving to the last attempt begun
// for it, as nodes saw it, where both fall together by chance. It is no part of CI.
func TestLeavers(t *testing.T) {
	if !*leavers {
		t.Skip("a measurement: -leavers")
	}
	const each, few = 60, 12 // sessions a case
	ping := `{"type":"ping","id":"` + strings.Repeat("0", 15<<10) + `"}`
	ways := []string{"close", "reset", "half close", "release", "release, unread"}
	for _, stage := range []string{"attempt out or between two", "slow dial", "an old process that drains"} {
		for _, player := range []bool{false, true} {
			for _, grace := range []string{"1ms", "3s"} {
				for _, way := range ways {
					if !player && grace != "1ms" {
						continue
					}
					b := &begun{last: map[string]time.Time{}}
					var members []string
					var nodes []net.Listener
					for i := range 6 {
						l := loopback(t)
						if stage == "slow dial" {
							l = shy(t)
						}
						nodes = append(nodes, l)
						members = append(members, member(fmt.Sprint("s-", i), l.Addr().String(), i))
					}
					if stage != "slow dial" {
						for _, l := range nodes {
							go b.serve(l)
						}
					}
					p := startWith(t, "127.0.0.1:1", strings.Join(members, ","), 6, "websocket {\n listen 127.0.0.1:0\n grace "+grace+"\n}\n",
						func(c *config.Config) { c.ConnectTimeout = 5 * time.Second })
					left := map[string]time.Time{}
					var mu sync.Mutex
					var all sync.WaitGroup
					flood := way == "release, unread" // it asks and does not listen, so it is not read from
					sessions := each
					if flood {
						sessions = few
					}
					for n := range sessions {
						s := speak(t, p, player)
						id := fmt.Sprintf("%016x", n+1)
						all.Go(func() {
							s.say(fmt.Sprintf(`{"type":"setup","id":"%s","fields":{"class":"clip","left":9000,"key":"1","extras":"home:0;copies:6;top:3"},"sdp":"x"}`, id))
							time.Sleep(rand.N(60 * time.Millisecond))
							var c *net.TCPConn
							if a, ok := s.(lineSpeaker); ok {
								c = a.Conn.(*net.TCPConn)
							} else {
								c = s.(frameSpeaker).Conn.(*net.TCPConn)
							}
							if flood {
								c.SetReadBuffer(1 << 12)
								for range 400 {
									s.say(ping)
								}
							}
							at := time.Now()
							switch way {
							case "close":
								c.Close()
							case "reset":
								c.SetLinger(0)
								c.Close()
							case "half close":
								c.CloseWrite()
							case "release", "release, unread":
								s.say(fmt.Sprintf(`{"type":"release","id":"%s","fields":{},"cause":16}`, id))
							}
							mu.Lock()
							left[id] = at
							mu.Unlock()
						})
						if stage == "an old process that drains" && n == sessions/2 {
							p.signals <- syscall.SIGTERM
						}
					}
					all.Wait()
					if stage == "slow dial" {
						time.Sleep(200 * time.Millisecond)
						for _, l := range nodes {
							go b.serve(l)
						}
					}
					time.Sleep(2 * time.Second)
					b.mu.Lock()
					var most time.Duration
					after := 0
					for id, at := range b.last {
						if d := at.Sub(left[id]); d > 0 {
							after++
							most = max(most, d)
						}
					}
					front := "lines"
					if player {
						front = "frames, grace " + grace
					}
					t.Logf("%s | %s | %s | begun at all %d of %d | after leaving %d, at most %v", stage, front, way, len(b.last), sessions, after, most)
					if most > 100*time.Millisecond {
						t.Errorf("%s, %s, %s: %v", stage, front, way, most)
					}
					b.mu.Unlock()
				}
			}
		}
	}
}
