package member

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// Traffic counts what a member sends to others and gets on connections of its own, in
// bytes without the headers of IP, UDP and TCP. What one sends another gets: over a
// fleet, Sent is all.
type Traffic struct {
	DatagramsSent, DatagramBytesSent, ConnectionsOpened, ConnectionBytes atomic.Int64
}

// transport is memberlist's, reaching members where the file says.
type transport struct {
	memberlist.NodeAwareTransport
	addressOverrides map[string][2]string
	traffic          *Traffic
	port             int
	ctx              context.Context // of the stay in the fleet: its end breaks what is open
}

func (s *Swim) bindTransport() (*transport, error) {
	if s.config.transportForTest != nil {
		return &transport{s.config.transportForTest(), s.config.AddressOverrides, &s.traffic, 0, context.Background()}, nil
	}
	host, port, err := net.SplitHostPort(s.config.ListenAddress)
	if err != nil {
		return nil, &ListenError{s.config.ListenAddress, err}
	}
	n, err := strconv.Atoi(port)
	if err == nil && net.ParseIP(host).To4() == nil {
		err = net.InvalidAddrError("no IPv4 address")
	}
	if err != nil {
		return nil, &ListenError{s.config.ListenAddress, err}
	}
	for attempts := 0; ; attempts++ {
		t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: n, Logger: s.logger()})
		if err == nil {
			return &transport{t, s.config.AddressOverrides, &s.traffic, t.GetAutoBindPort(), context.Background()}, nil
		}
		// With port 0, the port that TCP was given may be in use for UDP.
		if n != 0 || attempts == 10 {
			return nil, &ListenError{s.config.ListenAddress, err}
		}
	}
}

// resolve is an address as the file has it, for connections or for datagrams.
func (t *transport) resolve(a memberlist.Address, protocol int) memberlist.Address {
	if override, ok := t.addressOverrides[a.Name]; ok {
		a.Addr = override[protocol]
	}
	return a
}

// WriteToAddress sends a datagram.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.traffic.DatagramsSent.Add(1)
	t.traffic.DatagramBytesSent.Add(int64(len(b)))
	return t.NodeAwareTransport.WriteToAddress(b, t.resolve(a, 1))
}

// WriteTo sends a datagram to an address that has no name.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

// DialAddressTimeout opens a connection.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	var c net.Conn
	var err error
	if _, overSockets := t.NodeAwareTransport.(*memberlist.NetTransport); overSockets {
		d := net.Dialer{Timeout: timeout}
		c, err = d.DialContext(t.ctx, "tcp4", t.resolve(a, 0).Addr)
	} else {
		c, err = t.NodeAwareTransport.DialAddressTimeout(t.resolve(a, 0), timeout)
	}
	if err != nil {
		return nil, err
	}
	// Guard: nobody's silence holds up the program's end.
	stopAutoClose := context.AfterFunc(t.ctx, func() { c.Close() })
	t.traffic.ConnectionsOpened.Add(1)
	return &countedConn{c, t.traffic, stopAutoClose}, nil
}

// DialTimeout opens a connection to an address that has no name.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

type countedConn struct {
	net.Conn
	traffic       *Traffic
	stopAutoClose func() bool
}

func (c *countedConn) Close() error {
	c.stopAutoClose()
	return c.Conn.Close()
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.ConnectionBytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.ConnectionBytes.Add(int64(n))
	return n, err
}
