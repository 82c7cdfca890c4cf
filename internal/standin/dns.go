package standin

import (
	"encoding/binary"
	"io"
	"net"
	"sync"

	"golang.org/x/net/dns/dnsmessage"
)

// DNSServer is a DNSServer server of a few records, for tests.
type DNSServer struct {
	mu          sync.Mutex
	records     []dnsmessage.Resource
	truncateUDP bool // answers over UDP come truncated
}

// SetRecords replaces the records. Cut: they come over TCP only.
func (d *DNSServer) SetRecords(cut bool, records ...dnsmessage.Resource) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records, d.truncateUDP = records, cut
}

// Serve answers until both sockets are closed.
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
			udp.WriteTo(out, from) // a client that is gone needs no answer
		}
	}
}

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

func (d *DNSServer) buildAnswer(b []byte, mayCut bool) []byte {
	var m dnsmessage.Message
	if err := m.Unpack(b); err != nil || len(m.Questions) != 1 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m.Response, m.RCode = true, dnsmessage.RCodeNameError
	q := m.Questions[0]
	for _, r := range d.records {
		if r.Header.Name == q.Name {
			m.RCode = dnsmessage.RCodeSuccess
			if r.Header.Type == q.Type {
				m.Answers = append(m.Answers, r)
			}
		}
	}
	if mayCut && d.truncateUDP {
		m.Truncated, m.Answers = true, nil
	}
	out, err := m.Pack()
	if err != nil {
		return nil
	}
	return out
}

// ServiceRecords is the records of one instance of a service, at host.example, which is
// 127.0.0.1. They live for ttl seconds.
func ServiceRecords(service, name string, ttl uint32, port uint16, text ...string) []dnsmessage.Resource {
	record := func(owner string, body dnsmessage.ResourceBody) dnsmessage.Resource {
		return dnsmessage.Resource{Body: body, Header: dnsmessage.ResourceHeader{
			Name: dnsmessage.MustNewName(owner), Class: dnsmessage.ClassINET, TTL: ttl, Type: recordType(body)}}
	}
	full, host := name+"."+service+".", "host.example."
	return []dnsmessage.Resource{
		record(service+".", &dnsmessage.PTRResource{PTR: dnsmessage.MustNewName(full)}),
		record(full, &dnsmessage.SRVResource{Port: port, Target: dnsmessage.MustNewName(host)}),
		record(full, &dnsmessage.TXTResource{TXT: text}),
		record(host, &dnsmessage.AResource{A: [4]byte{127, 0, 0, 1}}),
	}
}

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
