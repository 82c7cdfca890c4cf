package standin

import (
	"encoding/binary"
	"io"
	"net"
	"sync"

	"millethinge/internal/dns"
)

// DNS is a DNS server of a few records, for tests.
type DNS struct {
	mu      sync.Mutex
	records []dns.Record
	cut     bool // answers over UDP come truncated
}

// Set replaces the records. Cut: they come over TCP only.
func (d *DNS) Set(cut bool, records ...dns.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records, d.cut = records, cut
}

// Serve answers until both sockets are closed.
func (d *DNS) Serve(udp net.PacketConn, tcp net.Listener) {
	go func() {
		for {
			c, err := tcp.Accept()
			if err != nil {
				return
			}
			go d.talk(c)
		}
	}()
	b := make([]byte, 4096)
	for {
		n, from, err := udp.ReadFrom(b)
		if err != nil {
			return
		}
		if out := d.answer(b[:n], true); out != nil {
			udp.WriteTo(out, from) // a client that is gone needs no answer
		}
	}
}

func (d *DNS) talk(c net.Conn) {
	defer c.Close()
	var size [2]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return
	}
	b := make([]byte, binary.BigEndian.Uint16(size[:]))
	if _, err := io.ReadFull(c, b); err != nil {
		return
	}
	out := d.answer(b, false)
	c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(out))), out...))
}

func (d *DNS) answer(b []byte, mayCut bool) []byte {
	m, err := dns.Parse(b)
	if err != nil || len(m.Questions) != 1 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m.Response, m.Code = true, 3
	q := m.Questions[0]
	for _, r := range d.records {
		if r.Name == q.Name {
			m.Code = 0
			if r.Type == q.Type {
				m.Records = append(m.Records, r)
			}
		}
	}
	if mayCut && d.cut {
		m.Truncated, m.Records = true, nil
	}
	out, err := dns.Append(nil, m)
	if err != nil {
		return nil
	}
	return out
}
