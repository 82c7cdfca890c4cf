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

// fullBroker is a broker whose mailbox is full.
type fullBroker struct{ lost chan broker.Client }

func (c fullBroker) Submit(broker.Request) bool { return false }
func (c fullBroker) End(broker.ViewerEnd) bool  { return true }
func (c fullBroker) Lost(l broker.Client)       { c.lost <- l }

func startFront(t *testing.T) (fullBroker, func() (net.Conn, *bufio.Reader)) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	full := fullBroker{make(chan broker.Client, 9)}
	f := &Front{Broker: full, Decoder: message.SetupDecoder{Classes: []string{"feed"}, Cells: 1, MaxTimeLeft: time.Second}, Limits: peer.Limits{MaxConns: 4}, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- f.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return full, func() (net.Conn, *bufio.Reader) {
		viewer, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { viewer.Close() })
		return viewer, bufio.NewReader(viewer)
	}
}

func expectLine(t *testing.T, reader *bufio.Reader, want string) {
	t.Helper()
	if got, err := reader.ReadString('\n'); strings.TrimSpace(got) != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
}

// A request that the broker's mailbox can't take is answered all the same.
func TestRefusedWhenBrokerIsFull(t *testing.T) {
	_, dial := startFront(t)
	viewer, reader := dial()
	viewer.Write([]byte(`{"type":"setup","id":"0000000000000001","fields":{"class":"feed","left":"900","key":"1","extras":"home:0;copies:1;top:0"},"sdp":""}` + "\n"))
	expectLine(t, reader, `{"type":"release","id":"0000000000000001","fields":{"wait":"1000"},"cause":42}`)
}

// An end that finds no open connection goes on the next one that opens.
func TestEndSentOnNextConnection(t *testing.T) {
	full, dial := startFront(t)
	viewer, _ := dial()
	viewer.Close()
	client := <-full.lost
	client.Deliver(broker.Reply{Kind: broker.ReplyServed, ID: 1}) // is lost with its connection
	client.Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: 1, Cause: 41})
	_, reader := dial()
	expectLine(t, reader, `{"type":"release","id":"0000000000000001","fields":{},"cause":41}`)
}

// An end is told to its viewer's host, not to whoever else is connected.
func TestEndSentToViewersHost(t *testing.T) {
	full, dial := startFront(t)
	viewer, _ := dial()
	otherHost := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	otherViewer, err := otherHost.Dial("tcp", viewer.RemoteAddr().String())
	if err != nil {
		t.Skip("no second loopback address: ", err)
	}
	defer otherViewer.Close()
	otherReader := bufio.NewReader(otherViewer)
	io.WriteString(otherViewer, `{"type":"ping","id":"01"}`+"\n")
	expectLine(t, otherReader, `{"type":"pong","id":"01","fields":{},"cause":1}`) // it is accepted
	viewer.Close()
	(<-full.lost).Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: 1, Cause: 41})
	_, reader := dial()
	expectLine(t, reader, `{"type":"release","id":"0000000000000001","fields":{},"cause":41}`)
	io.WriteString(otherViewer, `{"type":"ping","id":"02"}`+"\n")
	expectLine(t, otherReader, `{"type":"pong","id":"02","fields":{},"cause":1}`)
}

// An end that went down with its connection goes on another one, and one that was
// heard does not.
func TestUnacknowledgedEndIsResent(t *testing.T) {
	full, dial := startFront(t)
	viewer, reader := dial()
	io.WriteString(viewer, `{"type":"setup","id":"0000000000000001","fields":{"class":"feed","left":"900","key":"1","extras":"at:s-1;home:0;copies:1;top:0"},"sdp":""}`+"\n")
	expectLine(t, reader, `{"type":"release","id":"0000000000000001","fields":{},"cause":41}`) // its mailbox is full: not taken
	io.WriteString(viewer, `{"type":"released","id":"0000000000000001"}`+"\n"+`{"type":"ping","id":"01"}`+"\n")
	expectLine(t, reader, `{"type":"pong","id":"01","fields":{},"cause":1}`)
	viewer.Close()
	client := <-full.lost
	viewer, reader = dial()
	client.Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: 2, Cause: 16})
	expectLine(t, reader, `{"type":"release","id":"0000000000000002","fields":{},"cause":16}`)
	viewer.(*net.TCPConn).SetLinger(0)
	viewer.Close()
	<-full.lost
	_, reader = dial()
	expectLine(t, reader, `{"type":"release","id":"0000000000000002","fields":{},"cause":16}`)
}

// acceptingBroker is a broker that takes all requests.
type acceptingBroker struct {
	fullBroker
	clients chan broker.Client
}

func (c acceptingBroker) Submit(r broker.Request) bool { c.clients <- r.Client; return true }

// pipeListener is a listener whose connections are pipes, all from one host.
type pipeListener chan net.Conn

func (l pipeListener) Close() error   { close(l); return nil }
func (l pipeListener) Addr() net.Addr { return nil }
func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// viewerConn is a client's end of a connection.
type viewerConn struct {
	net.Conn
	reader *bufio.Reader
	client broker.Client // of its set-up; nil: it only tests
}

// pipeHost is where viewers connect from, in virtual time.
type pipeHost struct {
	t        *testing.T
	broker   acceptingBroker
	listener pipeListener
}

func runAtHost(t *testing.T, run func(t *testing.T, h pipeHost)) {
	synctest.Test(t, func(t *testing.T) {
		h := pipeHost{t, acceptingBroker{fullBroker{make(chan broker.Client, 9)}, make(chan broker.Client, 9)}, make(pipeListener)}
		f := &Front{Broker: h.broker, Decoder: message.SetupDecoder{Classes: []string{"feed"}, Cells: 1, MaxTimeLeft: time.Second}, Limits: peer.Limits{MaxConns: 9}, Log: zap.NewNop()}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Serve(ctx, h.listener) }()
		run(t, h)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// connect opens a connection that only tests.
func (h pipeHost) connect() viewerConn {
	client, server := net.Pipe()
	h.listener <- server
	viewer := viewerConn{Conn: client, reader: bufio.NewReader(client)}
	h.t.Cleanup(func() { client.Close() })
	io.WriteString(client, `{"type":"ping","id":"01"}`+"\n")
	expectLine(h.t, viewer.reader, `{"type":"pong","id":"01","fields":{},"cause":1}`)
	return viewer
}

// connectWithSession opens a connection on which a session is set up.
func (h pipeHost) connectWithSession(id string) viewerConn {
	viewer := h.connect()
	io.WriteString(viewer, `{"type":"setup","id":"000000000000000`+id+`","fields":{"class":"feed","left":"900","key":"1","extras":"home:0;copies:1;top:0"},"sdp":""}`+"\n")
	viewer.client = <-h.broker.clients
	viewer.client.Deliver(broker.Reply{Kind: broker.ReplyServed, ID: control.SessionID(id[0] - '0')})
	viewer.reader.ReadString('\n')
	return viewer
}

const endMessage = `{"type":"release","id":"0000000000000001","fields":{},"cause":16}`

var (
	end1 = broker.Reply{Kind: broker.ReplyEnded, ID: 1, Cause: 16}
	end2 = broker.Reply{Kind: broker.ReplyEnded, ID: 2, Cause: 17}
)

// An end whose own connection is gone goes to a viewer who has had a session, also
// where others from its host are connected who take no notice; they don't count.
func TestEndReachesClientWithSession(t *testing.T) {
	for name, reconnects := range map[string]bool{"its viewer has another": false, "its viewer comes back": true} {
		t.Run(name, func(t *testing.T) {
			runAtHost(t, func(t *testing.T, h pipeHost) {
				own, other := h.connectWithSession("1"), viewerConn{}
				own.Close()
				<-h.broker.lost
				if !reconnects {
					other = h.connectWithSession("2")
				}
				withoutSession := h.connect()
				go io.Copy(io.Discard, withoutSession)
				own.client.Deliver(end1)
				synctest.Wait()
				if reconnects {
					client, server := net.Pipe()
					defer client.Close()
					h.listener <- server
					expectLine(t, bufio.NewReader(client), endMessage)
					return
				}
				other.client.Deliver(end2)
				expectLine(t, other.reader, endMessage)
			})
		})
	}
}

// An end counts as heard once its viewer says so, and no sooner: a connection may be
// found to be gone long after what was written on it was lost.
func TestEndKeptUntilAcknowledged(t *testing.T) {
	for name, e := range map[string]struct {
		after time.Duration
		said  bool
		again bool
	}{
		"at once":            {again: true},
		"noticed late":       {after: 3 * time.Second, again: true},
		"heard":              {said: true},
		"too late to matter": {after: endLifetime + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runAtHost(t, func(t *testing.T, h pipeHost) {
				own, other := h.connectWithSession("1"), h.connectWithSession("2")
				own.client.Deliver(end1)
				expectLine(t, own.reader, endMessage)
				if e.said {
					io.WriteString(own, `{"type":"released","id":"0000000000000001"}`+"\n")
				}
				time.Sleep(e.after)
				own.Close()
				<-h.broker.lost
				other.client.Deliver(end2)
				want := endMessage
				if !e.again {
					want = strings.NewReplacer("01\"", "02\"", "16", "17").Replace(endMessage)
				}
				expectLine(t, other.reader, want)
			})
		})
	}
}

// A message over 16 KiB costs its connection.
func TestMessageTooLong(t *testing.T) {
	_, dial := startFront(t)
	viewer, reader := dial()
	viewer.Write(make([]byte, message.MaxSize+1))
	expectLine(t, reader, "")
}
