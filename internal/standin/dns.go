package standin

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/net/dns/dnsmessage"
)

// DNSServer is a DNS server that answers from a few fixed records.
type DNSServer struct {
	mu          sync.Mutex
	records     []dnsmessage.Resource
	truncateUDP bool // answers over UDP are empty and marked as truncated
	delay       time.Duration
	ignored     dnsmessage.Type // queries for this type get no answer; 0: none
}

// IgnoreQueries leaves queries for a record type without an answer from now on.
func (d *DNSServer) IgnoreQueries(recordType dnsmessage.Type) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignored = recordType
}

// SetDelay makes each answer over UDP come that much later. Others don't wait for it.
func (d *DNSServer) SetDelay(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// SetRecords replaces the records. With truncateUDP they can be read over TCP only.
func (d *DNSServer) SetRecords(truncateUDP bool, records ...dnsmessage.Resource) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records, d.truncateUDP = records, truncateUDP
}

// Serve answers requests until both sockets are closed.
func (d *DNSServer) Serve(udp net.PacketConn, tcp net.Listener) {
	go func() {
		for {
			c, err := tcp.Accept()
			if err != nil {
				return
			}
			go d.serveTCP(c)
		}
	}()
	b := make([]byte, 4096)
	for {
		n, from, err := udp.ReadFrom(b)
		if err != nil {
			return
		}
		if out := d.buildAnswer(b[:n], true); out != nil {
			d.mu.Lock()
			delay := d.delay
			d.mu.Unlock()
			time.AfterFunc(delay, func() { udp.WriteTo(out, from) }) // the client may have gone
		}
	}
}

// serveTCP answers one request on a connection.
func (d *DNSServer) serveTCP(c net.Conn) {
	defer c.Close()
	var size [2]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return
	}
	b := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err := io.ReadFull(c, b); err != nil {
		return
	}
	out := d.buildAnswer(b, false)
	c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(out))), out...))
}

// buildAnswer returns the answer to a request, or nil if the request is malformed.
func (d *DNSServer) buildAnswer(b []byte, overUDP bool) []byte {
	var m dnsmessage.Message
	if err := m.Unpack(b); err != nil || len(m.Questions) != 1 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m.Response, m.RCode = true, dnsmessage.RCodeNameError
	q := m.Questions[0]
	if q.Type == d.ignored {
		return nil
	}
	for _, r := range d.records {
		if r.Header.Name == q.Name {
			m.RCode = dnsmessage.RCodeSuccess
			if r.Header.Type == q.Type {
				m.Answers = append(m.Answers, r)
			}
		}
	}
	if overUDP && d.truncateUDP {
		m.Truncated, m.Answers = true, nil
	}
	out, err := m.Pack()
	if err != nil {
		return nil
	}
	return out
}

// ServiceRecords returns the PTR, SRV, TXT and A records of one service instance at host.example,
// which is 127.0.0.1. ttl is in seconds.
func ServiceRecords(service, instance string, ttl uint32, port uint16, text ...string) []dnsmessage.Resource {
	record := func(owner string, body dnsmessage.ResourceBody) dnsmessage.Resource {
		return dnsmessage.Resource{Body: body, Header: dnsmessage.ResourceHeader{
			Name: dnsmessage.MustNewName(owner), Class: dnsmessage.ClassINET, TTL: ttl, Type: recordType(body)}}
	}
	fullName, host := instance+"."+service+".", "host.example."
	return []dnsmessage.Resource{
		record(service+".", &dnsmessage.PTRResource{PTR: dnsmessage.MustNewName(fullName)}),
		record(fullName, &dnsmessage.SRVResource{Port: port, Target: dnsmessage.MustNewName(host)}),
		record(fullName, &dnsmessage.TXTResource{TXT: text}),
		record(host, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}}),
	}
}

// recordType returns the type of a record body.
func recordType(body dnsmessage.ResourceBody) dnsmessage.Type {
	switch body.(type) {
	case *dnsmessage.PTRResource:
		return dnsmessage.TypePTR
	case *dnsmessage.SRVResource:
		return dnsmessage.TypeSRV
	case *dnsmessage.TXTResource:
		return dnsmessage.TypeTXT
	}
	return dnsmessage.TypeA
}
