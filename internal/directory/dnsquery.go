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

	"millethinge/internal/diagnostic"
)

const (
	minQueryTimeout = time.Second      // for the response over one transport
	maxQueryTimeout = 16 * time.Second // the same, where the server has not responded in less
	maxUDPBytes     = 4096             // of a response over UDP
)

var (
	errNoRecord  = errors.New("no such record")
	errTruncated = errors.New("response truncated")
	errMismatch  = errors.New("response does not match the query")
)

// canonicalName returns n in the form in which names are compared: with ASCII letters in lower
// case and without the final dot.
func canonicalName(n dnsmessage.Name) string { return lowerASCII(strings.TrimSuffix(n.String(), ".")) }

// lowerASCII returns s with its ASCII letters in lower case.
func lowerASCII(s string) string {
	b := []byte(s)
	for i, c := range b {
		if c >= 'A' && c <= 'Z' {
			b[i] += 'a' - 'A'
		}
	}
	return string(b)
}

// recordTypeName returns the usual name of a record type, such as SRV.
func recordTypeName(recordType dnsmessage.Type) string {
	return strings.TrimPrefix(recordType.String(), "Type")
}

// query sends one question over UDP, and again over TCP if the response is truncated. It
// returns the records of the answer section and of the additional section.
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
		resp, err := d.awaitExchange(ctx, network, packed, &msg)
		if err != nil {
			return nil, &DNSQueryError{d.ServerAddr, network, name, 0, err}
		}
		switch {
		case resp.Truncated:
			continue
		case resp.RCode == dnsmessage.RCodeNameError: // the name does not exist
			return nil, nil
		case resp.RCode != dnsmessage.RCodeSuccess:
			return nil, &DNSQueryError{d.ServerAddr, network, name, int(resp.RCode), nil}
		}
		for _, err := range resp.skipped {
			d.Log.Warn("dns-sd", diagnostic.Fields(&RecordError{name, recordTypeName(recordType), err})...)
		}
		return resp.records, nil
	}
	return nil, &DNSQueryError{d.ServerAddr, "tcp", name, 0, errTruncated}
}

// awaitExchange makes an exchange. While the response is overdue, records expire.
//
// Guard: the time for a response grows while none comes. A server that always needs longer than
// the shortest time would never be heard otherwise.
func (d *DNSSDClient) awaitExchange(ctx context.Context, network string, packed []byte, query *dnsmessage.Message) (resp dnsResponse, err error) {
	timeout, start, done := d.patience.bound(), time.Now(), make(chan struct{})
	if d.silentSince.IsZero() {
		d.silentSince = start
	}
	go func() {
		defer close(done)
		resp, err = d.exchange(ctx, network, packed, query, timeout)
	}()
	ticker := time.NewTicker(applyInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			d.applyPending(now)
			if now.Sub(d.silentSince) > d.overdueAfter {
				d.expire(now)
			}
		case <-done:
			d.noteExchange(time.Since(start), err)
			return resp, err
		}
	}
}

// noteExchange records how long a response took, or that none came in time.
func (d *DNSSDClient) noteExchange(took time.Duration, err error) {
	var netErr net.Error
	switch {
	case err == nil:
		d.silentSince = time.Time{}
		d.overdueAfter = max(2*took, minQueryTimeout)
		d.patience.heard(took)
	case errors.As(err, &netErr) && netErr.Timeout():
		d.patience.ranOut()
	}
}

// exchange sends a packed query and returns its response. The query is preceded by its length
// in 2 bytes.
func (d *DNSSDClient) exchange(ctx context.Context, network string, packed []byte, query *dnsmessage.Message, timeout time.Duration) (dnsResponse, error) {
	conn, err := (&net.Dialer{Timeout: timeout}).DialContext(ctx, network, d.ServerAddr)
	if err != nil {
		return dnsResponse{}, err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return dnsResponse{}, err
	}
	if network == "udp" {
		packed = packed[2:] // the length precedes a message only over TCP
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
		} // a datagram that is not the response is ignored
	}
}

// receive reads one message.
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

// dnsResponse is the response to a query. A truncated one has no records.
type dnsResponse struct {
	dnsmessage.Header
	records []dnsmessage.Resource
	skipped []error // one for each record that was left out
}

// parseDNSResponse decodes the response to query.
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

// readSection adds the records of the section of p that next and skip read. A record that the
// library can't decode, such as one whose name has a dot within a label, is skipped; the error
// is that of a failed skip.
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

// cacheFlushBit is the bit of a record's class by which multicast DNS marks a complete set of
// records (RFC 6762, section 10.2).
const cacheFlushBit = 1 << 15
