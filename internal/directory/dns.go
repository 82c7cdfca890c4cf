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
	queryTimeout = time.Second // for an answer by one transport
	maxUDPBytes  = 4096
)

var (
	errNoRecord  = errors.New("there is no record")
	errTruncated = errors.New("cut short")
	errMismatch  = errors.New("no answer to what was asked")
)

// canonicalName is a name as it is compared: in lower case (ASCII only), without the last dot.
func canonicalName(n dnsmessage.Name) string { return lowerASCII(strings.TrimSuffix(n.String(), ".")) }

func lowerASCII(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] += 'a' - 'A'
		}
	}
	return string(b)
}

func recordTypeName(recordType dnsmessage.Type) string {
	return strings.TrimPrefix(recordType.String(), "Type")
}

// query sends one question over UDP, and over TCP if the answer is cut. It returns the
// records of the answer and the additional section.
func (d *DNSSDClient) query(ctx context.Context, name string, recordType dnsmessage.Type) ([]dnsmessage.Resource, error) {
	questionName, err := dnsmessage.NewName(name + ".")
	if err != nil {
		return nil, &InstanceError{name, recordTypeName(recordType), err}
	}
	msg := dnsmessage.Message{
		Header:    dnsmessage.Header{ID: uint16(rand.Uint32()), RecursionDesired: true},
		Questions: []dnsmessage.Question{{Name: questionName, Type: recordType, Class: dnsmessage.ClassINET}},
	}
	packed, err := msg.AppendPack(make([]byte, 2, 512))
	if err != nil {
		return nil, &InstanceError{name, recordTypeName(recordType), err}
	}
	binary.BigEndian.PutUint16(packed, uint16(len(packed)-2))
	for _, network := range []string{"udp", "tcp"} {
		resp, err := d.exchange(ctx, network, packed, &msg)
		if err != nil {
			return nil, &DNSQueryError{d.ServerAddr, network, name, 0, err}
		}
		switch {
		case resp.Truncated:
			continue
		case resp.RCode == dnsmessage.RCodeNameError: // there are no records
			return nil, nil
		case resp.RCode != dnsmessage.RCodeSuccess:
			return nil, &DNSQueryError{d.ServerAddr, network, name, int(resp.RCode), nil}
		}
		for _, err := range resp.skipped {
			d.Log.Warn("dns-sd", remedy.Fields(&RecordError{name, recordTypeName(recordType), err})...)
		}
		return resp.records, nil
	}
	return nil, &DNSQueryError{d.ServerAddr, "tcp", name, 0, errTruncated}
}

// exchange sends a question, with its length before it, and waits for the answer.
func (d *DNSSDClient) exchange(ctx context.Context, network string, packed []byte, query *dnsmessage.Message) (dnsResponse, error) {
	conn, err := (&net.Dialer{Timeout: queryTimeout}).DialContext(ctx, network, d.ServerAddr)
	if err != nil {
		return dnsResponse{}, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := conn.SetDeadline(time.Now().Add(queryTimeout)); err != nil {
		return dnsResponse{}, err
	}
	if network == "udp" {
		packed = packed[2:] // only TCP has the length before a message
	}
	if _, err := conn.Write(packed); err != nil {
		return dnsResponse{}, err
	}
	for {
		received, err := receive(conn, network)
		if err != nil {
			return dnsResponse{}, err
		}
		resp, err := parseDNSResponse(received, query)
		if err == nil || network == "tcp" {
			return resp, err
		} // a stray datagram is passed over
	}
}

func receive(conn net.Conn, network string) ([]byte, error) {
	if network == "udp" {
		b := make([]byte, maxUDPBytes)
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

// dnsResponse is an answer. A truncated one has no records.
type dnsResponse struct {
	dnsmessage.Header
	records []dnsmessage.Resource
	skipped []error // why records were left out
}

// parseDNSResponse reads the answer to q.
func parseDNSResponse(packed []byte, query *dnsmessage.Message) (resp dnsResponse, err error) {
	var p dnsmessage.Parser
	if resp.Header, err = p.Start(packed); err != nil {
		return resp, err
	}
	questions, err := p.AllQuestions()
	if err != nil {
		return resp, err
	}
	if want := query.Questions[0]; !resp.Response || resp.ID != query.ID || len(questions) != 1 || questions[0].Type != want.Type ||
		canonicalName(questions[0].Name) != canonicalName(want.Name) {
		return resp, errMismatch
	}
	if resp.Truncated {
		return resp, nil
	}
	if err := resp.readSection(&p, p.Answer, p.SkipAnswer); err != nil {
		return resp, err
	}
	if err := p.SkipAllAuthorities(); err != nil {
		return resp, err
	}
	return resp, resp.readSection(&p, p.Additional, p.SkipAdditional)
}

// readSection reads the records of a section of p. One that the library can't read, such as
// a name with a dot within a label, is left out; it fails if it can't be skipped.
func (resp *dnsResponse) readSection(p *dnsmessage.Parser, next func() (dnsmessage.Resource, error), skip func() error) error {
	for {
		start := *p
		r, err := next()
		switch {
		case err == dnsmessage.ErrSectionDone:
			return nil
		case err != nil:
			resp.skipped = append(resp.skipped, err)
			*p = start
			if err := skip(); err != nil {
				return err
			}
		case r.Header.Class&^cacheFlushBit == dnsmessage.ClassINET:
			resp.records = append(resp.records, r)
		}
	}
}

// cacheFlushBit is what multicast DNS marks a whole set with.
const cacheFlushBit = 1 << 15
