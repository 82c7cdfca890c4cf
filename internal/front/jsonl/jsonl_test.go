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

// startFront runs a front with a full broker until the test ends, and returns that broker and
// a function that connects to the front.
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

// A set-up for which the broker's mailbox has no room is answered with a refusal.
func TestRefusedWhenBrokerIsFull(t *testing.T) {
	_, dial := startFront(t)
	viewer, reader := dial()
	viewer.Write([]byte(`{"type":"setup","id":"0000000000000001","fields":{"class":"feed","left":"900","key":"1","extras":"home:0;copies:1;top:0"},"sdp":""}` + "\n"))
	expectLine(t, reader, `{"type":"release","id":"0000000000000001","fields":{"wait":"1000"},"cause":42}`)
}

// An end for which no connection is open is sent on the next one that opens.
func TestEndSentOnNextConnection(t *testing.T) {
	full, dial := startFront(t)
	viewer, _ := dial()
	viewer.Close()
	client := <-full.lost
	client.Deliver(broker.Reply{Kind: broker.ReplyServed, ID: 1}) // can't be sent: the connection is closed
	client.Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: 1, Cause: 41})
	_, reader := dial()
	expectLine(t, reader, `{"type":"release","id":"0000000000000001","fields":{},"cause":41}`)
}

// An end is sent to its viewer's host only, not to clients at other hosts.
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
	expectLine(t, otherReader, `{"type":"pong","id":"01","fields":{},"cause":1}`) // the connection has been accepted
	viewer.Close()
	(<-full.lost).Deliver(broker.Reply{Kind: broker.ReplyEnded, ID: 1, Cause: 41})
	_, reader := dial()
	expectLine(t, reader, `{"type":"release","id":"0000000000000001","fields":{},"cause":41}`)
	io.WriteString(otherViewer, `{"type":"ping","id":"02"}`+"\n")
	expectLine(t, otherReader, `{"type":"pong","id":"02","fields":{},"cause":1}`)
}

// An end that was lost with its connection is sent again on another one; an acknowledged end
// is not.
func TestUnacknowledgedEndIsResent(t *testing.T) {
	full, dial := startFront(t)
	viewer, reader := dial()
	io.WriteString(viewer, `{"type":"setup","id":"0000000000000001","fields":{"class":"feed","left":"900","key":"1","extras":"at:s-1;home:0;copies:1;top:0"},"sdp":""}`+"\n")
	expectLine(t, reader, `{"type":"release","id":"0000000000000001","fields":{},"cause":41}`) // not taken over: the broker's mailbox is full
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

// acceptingBroker is a broker that accepts all requests.
type acceptingBroker struct {
	fullBroker
	clients chan broker.Client // of the accepted requests
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

// viewerConn is the viewer's side of a connection.
type viewerConn struct {
	net.Conn
	reader *bufio.Reader
	client broker.Client // the front's client for its set-up; nil: it only sent a ping
}

// pipeHost is the host of viewers who connect to a front by pipes, in virtual time.
type pipeHost struct {
	t        *testing.T
	broker   acceptingBroker
	listener pipeListener
}

// runAtHost runs a front and calls run with a host that can connect to it, in virtual time.
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

// connect opens a connection and sends only a ping on it.
func (h pipeHost) connect() viewerConn {
	client, server := net.Pipe()
	h.listener <- server
	viewer := viewerConn{Conn: client, reader: bufio.NewReader(client)}
	h.t.Cleanup(func() { client.Close() })
	io.WriteString(client, `{"type":"ping","id":"01"}`+"\n")
	expectLine(h.t, viewer.reader, `{"type":"pong","id":"01","fields":{},"cause":1}`)
	return viewer
}

// connectWithSession opens a connection and sets a session up on it.
func (h pipeHost) connectWithSession(id string) viewerConn {
	viewer := h.connect()
	io.WriteString(viewer, `{"type":"setup","id":"000000000000000`+id+`","fields":{"class":"feed","left":"900","key":"1","extras":"home:0;copies:1;top:0"},"sdp":""}`+"\n")
	viewer.client = <-h.broker.clients
	viewer.client.Deliver(broker.Reply{Kind: broker.ReplyServed, ID: control.SessionID(id[0] - '0')})
	viewer.reader.ReadString('\n')
	return viewer
}

// endMessage is end1 as it is sent.
const endMessage = `{"type":"release","id":"0000000000000001","fields":{},"cause":16}`

var (
	end1 = broker.Reply{Kind: broker.ReplyEnded, ID: 1, Cause: 16}
	end2 = broker.Reply{Kind: broker.ReplyEnded, ID: 2, Cause: 17}
)

// An end whose own connection is gone reaches a client that has had a session, even if other
// clients from the viewer's host are connected: those ignore it, so an end that is sent to
// them does not count as delivered.
func TestEndReachesClientWithSession(t *testing.T) {
	for name, reconnects := range map[string]bool{"another connection with a session": false, "viewer reconnects": true} {
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

// An end counts as delivered once its viewer acknowledges it, and not before: a connection
// may be found to be broken long after data written to it was lost. After endLifetime it is
// not sent again.
func TestEndKeptUntilAcknowledged(t *testing.T) {
	for name, e := range map[string]struct {
		delay        time.Duration // from the end to the loss of its connection
		acknowledged bool
		resent       bool // whether it is to be sent again
	}{
		"connection lost at once": {resent: true},
		"connection lost later":   {delay: 3 * time.Second, resent: true},
		"acknowledged":            {acknowledged: true},
		"expired":                 {delay: endLifetime + time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runAtHost(t, func(t *testing.T, h pipeHost) {
				own, other := h.connectWithSession("1"), h.connectWithSession("2")
				own.client.Deliver(end1)
				expectLine(t, own.reader, endMessage)
				if e.acknowledged {
					io.WriteString(own, `{"type":"released","id":"0000000000000001"}`+"\n")
				}
				time.Sleep(e.delay)
				own.Close()
				<-h.broker.lost
				other.client.Deliver(end2)
				want := endMessage
				if !e.resent {
					want = strings.NewReplacer("01\"", "02\"", "16", "17").Replace(endMessage)
				}
				expectLine(t, other.reader, want)
			})
		})
	}
}

// A message of more than 16 KiB has its connection closed.
func TestMessageTooLong(t *testing.T) {
	_, dial := startFront(t)
	viewer, reader := dial()
	viewer.Write(make([]byte, message.MaxSize+1))
	expectLine(t, reader, "")
}
