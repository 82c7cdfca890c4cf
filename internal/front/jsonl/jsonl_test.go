package jsonl

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/front/message"
	"millethinge/internal/front/peer"
)

// core is a broker whose mailbox is full.
type core struct{ lost chan broker.Client }

func (c core) Submit(broker.Request) bool { return false }
func (c core) End(broker.ViewerEnd) bool  { return true }
func (c core) Lost(l broker.Client)       { c.lost <- l }

func serve(t *testing.T) (core, func() (net.Conn, *bufio.Reader)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := core{make(chan broker.Client, 9)}
	f := &Front{Core: c, Catalog: message.Catalog{Classes: []string{"feed"}, Cells: 1, MostLeft: time.Second}, Limits: peer.Limits{Most: 4}, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- f.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return c, func() (net.Conn, *bufio.Reader) {
		v, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { v.Close() })
		return v, bufio.NewReader(v)
	}
}

func hear(t *testing.T, in *bufio.Reader, want string) {
	t.Helper()
	if got, err := in.ReadString('\n'); strings.TrimSpace(got) != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

// A request that the broker's mailbox can't take is answered all the same.
func TestFullMailboxIsAnswered(t *testing.T) {
	_, dial := serve(t)
	v, in := dial()
	v.Write([]byte(`{"type":"setup","id":"0000000000000001","fields":{"class":"feed","left":"900","key":"1","extras":"home:0;copies:1;top:0"},"sdp":""}` + "\n"))
	hear(t, in, `{"type":"release","id":"0000000000000001","fields":{"wait":"1000"},"cause":42}`)
}

// An end that finds no open connection goes on the next one that opens.
func TestEndWaitsForAConnection(t *testing.T) {
	c, dial := serve(t)
	v, _ := dial()
	v.Close()
	client := <-c.lost
	client.Deliver(broker.Reply{Kind: broker.ReplyServed, ID: 1}) // is lost with its connection
	client.Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: 1, Cause: 41})
	_, in := dial()
	hear(t, in, `{"type":"release","id":"0000000000000001","fields":{},"cause":41}`)
}

// An end is told to its viewer's host, not to whoever else is connected.
func TestEndGoesToItsViewer(t *testing.T) {
	c, dial := serve(t)
	v, _ := dial()
	other := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	o, err := other.Dial("tcp", v.RemoteAddr().String())
	if err != nil {
		t.Skip("no second loopback address: ", err)
	}
	defer o.Close()
	in := bufio.NewReader(o)
	io.WriteString(o, `{"type":"ping","id":"01"}`+"\n")
	hear(t, in, `{"type":"pong","id":"01","fields":{},"cause":1}`) // it is accepted
	v.Close()
	(<-c.lost).Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: 1, Cause: 41})
	_, again := dial()
	hear(t, again, `{"type":"release","id":"0000000000000001","fields":{},"cause":41}`)
	io.WriteString(o, `{"type":"ping","id":"02"}`+"\n")
	hear(t, in, `{"type":"pong","id":"02","fields":{},"cause":1}`)
}

// An end that went down with its connection goes on another one, and one that was
// heard does not.
func TestUnheardEndGoesAgain(t *testing.T) {
	c, dial := serve(t)
	v, in := dial()
	io.WriteString(v, `{"type":"setup","id":"0000000000000001","fields":{"class":"feed","left":"900","key":"1","extras":"at:s-1;home:0;copies:1;top:0"},"sdp":""}`+"\n")
	hear(t, in, `{"type":"release","id":"0000000000000001","fields":{},"cause":41}`) // its mailbox is full: not taken
	io.WriteString(v, `{"type":"released","id":"0000000000000001"}`+"\n"+`{"type":"ping","id":"01"}`+"\n")
	hear(t, in, `{"type":"pong","id":"01","fields":{},"cause":1}`)
	v.Close()
	client := <-c.lost
	v, in = dial()
	client.Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: 2, Cause: 16})
	hear(t, in, `{"type":"release","id":"0000000000000002","fields":{},"cause":16}`)
	v.(*net.TCPConn).SetLinger(0)
	v.Close()
	<-c.lost
	_, in = dial()
	hear(t, in, `{"type":"release","id":"0000000000000002","fields":{},"cause":16}`)
}

// taker is a broker that takes all requests.
type taker struct {
	core
	taken chan broker.Client
}

func (c taker) Submit(r broker.Request) bool { c.taken <- r.Client; return true }

// pipes is a listener whose connections are pipes, all from one host.
type pipes chan net.Conn

func (l pipes) Close() error   { close(l); return nil }
func (l pipes) Addr() net.Addr { return nil }
func (l pipes) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// viewerEnd is a client's end of a connection.
type viewerEnd struct {
	net.Conn
	in     *bufio.Reader
	client broker.Client // of its set-up; nil: it only tests
}

// host is where viewers connect from, in virtual time.
type host struct {
	t    *testing.T
	core taker
	l    pipes
}

func atHost(t *testing.T, play func(t *testing.T, h host)) {
	synctest.Test(t, func(t *testing.T) {
		h := host{t, taker{core{make(chan broker.Client, 9)}, make(chan broker.Client, 9)}, make(pipes)}
		f := &Front{Core: h.core, Catalog: message.Catalog{Classes: []string{"feed"}, Cells: 1, MostLeft: time.Second}, Limits: peer.Limits{Most: 9}, Log: zap.NewNop()}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Serve(ctx, h.l) }()
		play(t, h)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// stranger opens a connection that only tests.
func (h host) stranger() viewerEnd {
	far, near := net.Pipe()
	h.l <- near
	v := viewerEnd{Conn: far, in: bufio.NewReader(far)}
	h.t.Cleanup(func() { far.Close() })
	io.WriteString(far, `{"type":"ping","id":"01"}`+"\n")
	hear(h.t, v.in, `{"type":"pong","id":"01","fields":{},"cause":1}`)
	return v
}

// known opens a connection on which a session is set up.
func (h host) known(id string) viewerEnd {
	v := h.stranger()
	io.WriteString(v, `{"type":"setup","id":"000000000000000`+id+`","fields":{"class":"feed","left":"900","key":"1","extras":"home:0;copies:1;top:0"},"sdp":""}`+"\n")
	v.client = <-h.core.taken
	v.client.Deliver(broker.Reply{Kind: broker.ReplyServed, ID: control.SessionID(id[0] - '0')})
	v.in.ReadString('\n')
	return v
}

const ended = `{"type":"release","id":"0000000000000001","fields":{},"cause":16}`

var (
	over1 = broker.Reply{Kind: broker.ReplyEnded, ID: 1, Cause: 16}
	over2 = broker.Reply{Kind: broker.ReplyEnded, ID: 2, Cause: 17}
)

// An end whose own connection is gone goes to a viewer who has had a session, also
// where others from its host are connected who take no notice; they don't count.
func TestEndPassesStrangersBy(t *testing.T) {
	for name, later := range map[string]bool{"its viewer has another": false, "its viewer comes back": true} {
		t.Run(name, func(t *testing.T) {
			atHost(t, func(t *testing.T, h host) {
				own, v := h.known("1"), viewerEnd{}
				own.Close()
				<-h.core.lost
				if !later {
					v = h.known("2")
				}
				s := h.stranger()
				go io.Copy(io.Discard, s)
				own.client.Deliver(over1)
				synctest.Wait()
				if later {
					far, near := net.Pipe()
					defer far.Close()
					h.l <- near
					hear(t, bufio.NewReader(far), ended)
					return
				}
				v.client.Deliver(over2)
				hear(t, v.in, ended)
			})
		})
	}
}

// An end counts as heard once its viewer says so, and no sooner: a connection may be
// found to be gone long after what was written on it was lost.
func TestEndIsKeptUntilHeard(t *testing.T) {
	for name, e := range map[string]struct {
		after time.Duration
		said  bool
		again bool
	}{
		"at once":            {again: true},
		"noticed late":       {after: 3 * time.Second, again: true},
		"heard":              {said: true},
		"too late to matter": {after: keepEnd + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			atHost(t, func(t *testing.T, h host) {
				own, v := h.known("1"), h.known("2")
				own.client.Deliver(over1)
				hear(t, own.in, ended)
				if e.said {
					io.WriteString(own, `{"type":"released","id":"0000000000000001"}`+"\n")
				}
				time.Sleep(e.after)
				own.Close()
				<-h.core.lost
				v.client.Deliver(over2)
				want := ended
				if !e.again {
					want = strings.NewReplacer("01\"", "02\"", "16", "17").Replace(ended)
				}
				hear(t, v.in, want)
			})
		})
	}
}

// A message over 16 KiB costs its connection.
func TestLongMessage(t *testing.T) {
	_, dial := serve(t)
	v, in := dial()
	v.Write(make([]byte, message.Max+1))
	hear(t, in, "")
}
