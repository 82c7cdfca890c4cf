package directory

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"golang.org/x/net/dns/dnsmessage"

	"millethinge/internal/remedy"
)

const (
	queryTime  = time.Second // for an answer by one transport
	udpMessage = 4096
)

var (
	errNoRecord = errors.New("there is no record")
	errCut      = errors.New("cut short")
	errStray    = errors.New("no answer to what was asked")
)

// key is a name as it is compared: in lower case (ASCII only), without the last dot.
func key(n dnsmessage.Name) string { return lower(strings.TrimSuffix(n.String(), ".")) }

func lower(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] += 'a' - 'A'
		}
	}
	return string(b)
}

func typeName(kind dnsmessage.Type) string { return strings.TrimPrefix(kind.String(), "Type") }

// ask sends one question over UDP, and over TCP if the answer is cut. It returns the
// records of the answer and the additional section.
func (d *DNSSDClient) ask(ctx context.Context, name string, kind dnsmessage.Type) ([]dnsmessage.Resource, error) {
	asked, err := dnsmessage.NewName(name + ".")
	if err != nil {
		return nil, &InstanceError{name, typeName(kind), err}
	}
	q := dnsmessage.Message{
		Header:    dnsmessage.Header{ID: uint16(rand.Uint32()), RecursionDesired: true},
		Questions: []dnsmessage.Question{{Name: asked, Type: kind, Class: dnsmessage.ClassINET}},
	}
	b, err := q.AppendPack(make([]byte, 2, 512))
	if err != nil {
		return nil, &InstanceError{name, typeName(kind), err}
	}
	binary.BigEndian.PutUint16(b, uint16(len(b)-2))
	for _, network := range []string{"udp", "tcp"} {
		m, err := d.exchange(ctx, network, b, &q)
		if err != nil {
			return nil, &DNSQueryError{d.ServerAddr, network, name, 0, err}
		}
		switch {
		case m.Truncated:
			continue
		case m.RCode == dnsmessage.RCodeNameError: // there are no records
			return nil, nil
		case m.RCode != dnsmessage.RCodeSuccess:
			return nil, &DNSQueryError{d.ServerAddr, network, name, int(m.RCode), nil}
		}
		for _, err := range m.left {
			d.Log.Warn("dns-sd", remedy.Fields(&RecordError{name, typeName(kind), err})...)
		}
		return m.records, nil
	}
	return nil, &DNSQueryError{d.ServerAddr, "tcp", name, 0, errCut}
}

// exchange sends a question, with its length before it, and waits for the answer.
func (d *DNSSDClient) exchange(ctx context.Context, network string, b []byte, q *dnsmessage.Message) (reply, error) {
	conn, err := (&net.Dialer{Timeout: queryTime}).DialContext(ctx, network, d.ServerAddr)
	if err != nil {
		return reply{}, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := conn.SetDeadline(time.Now().Add(queryTime)); err != nil {
		return reply{}, err
	}
	if network == "udp" {
		b = b[2:] // only TCP has the length before a message
	}
	if _, err := conn.Write(b); err != nil {
		return reply{}, err
	}
	for {
		in, err := receive(conn, network)
		if err != nil {
			return reply{}, err
		}
		m, err := parseReply(in, q)
		if err == nil || network == "tcp" {
			return m, err
		} // a stray datagram is passed over
	}
}

func receive(conn net.Conn, network string) ([]byte, error) {
	if network == "udp" {
		b := make([]byte, udpMessage)
		n, err := conn.Read(b)
		return b[:n], err
	}
	var size [2]byte
	if _, err := io.ReadFull(conn, size[:]); err != nil {
		return nil, err
	}
	b := make([]byte, binary.BigEndian.Uint16(size[:]))
	_, err := io.ReadFull(conn, b)
	return b, err
}

// reply is an answer. A truncated one has no records.
type reply struct {
	dnsmessage.Header
	records []dnsmessage.Resource
	left    []error // why records were left out
}

// parseReply reads the answer to q.
func parseReply(b []byte, q *dnsmessage.Message) (m reply, err error) {
	var p dnsmessage.Parser
	if m.Header, err = p.Start(b); err != nil {
		return m, err
	}
	asked, err := p.AllQuestions()
	if err != nil {
		return m, err
	}
	if want := q.Questions[0]; !m.Response || m.ID != q.ID || len(asked) != 1 || asked[0].Type != want.Type ||
		key(asked[0].Name) != key(want.Name) {
		return m, errStray
	}
	if m.Truncated {
		return m, nil
	}
	if err := m.take(&p, p.Answer, p.SkipAnswer); err != nil {
		return m, err
	}
	if err := p.SkipAllAuthorities(); err != nil {
		return m, err
	}
	return m, m.take(&p, p.Additional, p.SkipAdditional)
}

// take reads the records of a section of p. One that the library can't read, such as
// a name with a dot within a label, is left out; it fails if it can't be skipped.
func (m *reply) take(p *dnsmessage.Parser, next func() (dnsmessage.Resource, error), skip func() error) error {
	for {
		at := *p
		r, err := next()
		switch {
		case err == dnsmessage.ErrSectionDone:
			return nil
		case err != nil:
			m.left = append(m.left, err)
			*p = at
			if err := skip(); err != nil {
				return err
			}
		case r.Header.Class&^classFlush == dnsmessage.ClassINET:
			m.records = append(m.records, r)
		}
	}
}

// classFlush is what multicast DNS marks a whole set with.
const classFlush = 1 << 15
