package directory

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/dns/dnsmessage"

	"millethinge/internal/diagnostic"
)

const (
	minRefreshInterval = time.Second      // shortest time between two queries for the same records
	maxRefreshInterval = 60 * time.Second // longest such time, so that a removal is noticed soon enough

	applyInterval = 100 * time.Millisecond // longest time within a round until what was found is applied
)

// DNSSDClient finds media nodes by DNS service discovery (RFC 6763): PTR records
// name the instances of a service, SRV records their addresses, and TXT records,
// in the keys zone, kind, cell, size, state and up, their entries in the list. It
// is a source of the list beside the coordinator or instead of it.
type DNSSDClient struct {
	ServerAddr string // host:port of the DNS server
	Service    string // domain name, such as _rtsp._tcp.media.example
	Names      Names  // of zones and machine kinds
	Sink       Sink   // receives the changes
	Log        *zap.Logger

	mu       sync.Mutex          // guards the fields of this group, and calls of Sink
	found    map[string]instance // found so far, by domain name
	answered bool                // whether the server has listed the instances
	revision uint64              // counts the changes of what the server told

	pending      map[string]instance // found in this round and not yet applied
	appliedAt    time.Time           // when pending was last applied
	patience     patience            // for the response to a query
	overdueAfter time.Duration       // twice the time that the last response took, and at least minQueryTimeout
	silentSince  time.Time           // when the first query was made that has no response; zero: there is none
}

// instance is a media node as its records describe it until they expire.
type instance struct {
	node    Node
	expires time.Time
}

// Run queries the DNS server until ctx ends, again each time the shortest TTL expires.
func (d *DNSSDClient) Run(ctx context.Context) error {
	d.pending = make(map[string]instance)
	d.patience, d.overdueAfter = patience{shortest: minQueryTimeout, longest: maxQueryTimeout}, minQueryTimeout
	for {
		start := time.Now()
		ttl, err := d.browse(ctx)
		if ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		d.applyPending(now)
		wait := ttl - now.Sub(start) // the next round may take as long
		if err != nil {
			// The server does not respond: earlier records are used until their TTL expires.
			d.Log.Warn("dns-sd", diagnostic.Fields(err)...)
			d.expire(now)
			wait = minRefreshInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(min(max(wait, minRefreshInterval), maxRefreshInterval)):
		}
	}
}

// applyPending applies what was found since the last call.
func (d *DNSSDClient) applyPending(now time.Time) {
	d.update(d.pending, func(string, instance) bool { return false })
	clear(d.pending)
	d.appliedAt = now
}

// expire removes the instances whose TTL has expired.
func (d *DNSSDClient) expire(now time.Time) {
	d.update(nil, func(_ string, inst instance) bool { return now.After(inst.expires) })
}

// update adds instances that were found, and removes those of the others for which remove returns
// true. It passes on to the sink what has changed.
func (d *DNSSDClient) update(found map[string]instance, remove func(name string, inst instance) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateLocked(found, remove)
}

// updateLocked is update for callers that hold d.mu.
func (d *DNSSDClient) updateLocked(found map[string]instance, remove func(name string, inst instance) bool) {
	if d.found == nil {
		d.found = make(map[string]instance)
	}
	var c Change
	for name, inst := range d.found {
		if _, ok := found[name]; !ok && remove(name, inst) {
			delete(d.found, name)
			d.revision++
			inst.node.Phase = phaseTerminated
			c.Members = append(c.Members, inst.node.member(d.Names))
		}
	}
	for name, inst := range found {
		if d.found[name].node != inst.node {
			c.Members = append(c.Members, inst.node.member(d.Names))
		}
		d.found[name] = inst
		d.revision++
	}
	if len(c.Members) > 0 {
		d.Sink(c)
	}
}

// browse queries the instances of the service and the records of each. It returns the shortest
// TTL of these records.
//
// Guard: what an answer says is applied when it comes, not at the end of the round: where
// answers are slow, a round takes longer than a record is valid.
func (d *DNSSDClient) browse(ctx context.Context) (time.Duration, error) {
	service := lowerASCII(strings.TrimSuffix(d.Service, "."))
	records, err := d.query(ctx, service, dnsmessage.TypePTR)
	if err != nil {
		return 0, err
	}
	listed := make(map[string]bool)
	var pointers []dnsmessage.Resource
	for _, r := range records {
		if ptr, ok := r.Body.(*dnsmessage.PTRResource); ok && canonicalName(r.Header.Name) == service {
			listed[canonicalName(ptr.PTR)] = true
			pointers = append(pointers, r)
		}
	}
	d.noteAnswered()
	d.update(nil, func(name string, _ instance) bool { return !listed[name] })
	minTTL := maxRefreshInterval
	for _, r := range pointers {
		name := canonicalName(r.Body.(*dnsmessage.PTRResource).PTR)
		inst, ttl, err := d.resolve(ctx, name, records)
		now := time.Now()
		if err != nil {
			if queryErr := (*DNSQueryError)(nil); ctx.Err() != nil || errors.As(err, &queryErr) {
				return 0, err
			}
			d.Log.Warn("dns-sd", diagnostic.Fields(err)...)
			d.update(nil, func(other string, _ instance) bool { return other == name })
			continue
		}
		ttl = min(ttl, recordTTL(r))
		inst.expires = now.Add(ttl)
		minTTL = min(minTTL, ttl)
		d.pending[name] = inst
		if now.Sub(d.appliedAt) > applyInterval {
			d.applyPending(now)
		}
	}
	return minTTL, nil
}

// recordTTL returns a record's time to live.
func recordTTL(r dnsmessage.Resource) time.Duration {
	return time.Duration(r.Header.TTL) * time.Second
}

// resolve builds an instance from its records, which it takes from received or queries. It also
// returns their shortest TTL.
func (d *DNSSDClient) resolve(ctx context.Context, name string, received []dnsmessage.Resource) (inst instance, ttl time.Duration, err error) {
	srvRecord, err := d.find(ctx, name, dnsmessage.TypeSRV, received)
	if err != nil {
		return inst, 0, err
	}
	txtRecord, err := d.find(ctx, name, dnsmessage.TypeTXT, received)
	if err != nil {
		return inst, 0, err
	}
	srv := srvRecord.Body.(*dnsmessage.SRVResource)
	host, ttl := canonicalName(srv.Target), min(recordTTL(srvRecord), recordTTL(txtRecord))
	addr, err := netip.ParseAddr(host)
	if err != nil {
		addrRecord, err := d.find(ctx, host, dnsmessage.TypeA, received)
		if err != nil {
			if addrRecord, err = d.find(ctx, host, dnsmessage.TypeAAAA, received); err != nil {
				return inst, 0, err
			}
		}
		switch body := addrRecord.Body.(type) {
		case *dnsmessage.AResource:
			addr = netip.AddrFrom4(body.A)
		case *dnsmessage.AAAAResource:
			addr = netip.AddrFrom16(body.AAAA)
		}
		ttl = min(ttl, recordTTL(addrRecord))
	}
	node, err := parseTXT(name, txtRecord.Body.(*dnsmessage.TXTResource).TXT)
	node.HostPort = netip.AddrPortFrom(addr, srv.Port).String()
	return instance{node: node}, ttl, err
}

// find returns a record of the given name and type, from received or by a query. Its body is
// that type's. Of several records it returns the first, of SRV records the first of the lowest
// priority value.
func (d *DNSSDClient) find(ctx context.Context, name string, recordType dnsmessage.Type, received []dnsmessage.Resource) (dnsmessage.Resource, error) {
	priority := func(r dnsmessage.Resource) uint16 {
		if srv, ok := r.Body.(*dnsmessage.SRVResource); ok {
			return srv.Priority
		}
		return 0
	}
	pick := func(records []dnsmessage.Resource) (best dnsmessage.Resource, ok bool) {
		for _, r := range records {
			if canonicalName(r.Header.Name) == name && r.Header.Type == recordType && (!ok || priority(r) < priority(best)) {
				best, ok = r, true
			}
		}
		return best, ok
	}
	if r, ok := pick(received); ok {
		return r, nil
	}
	records, err := d.query(ctx, name, recordType)
	if err != nil {
		return dnsmessage.Resource{}, err
	}
	if r, ok := pick(records); ok {
		return r, nil
	}
	return dnsmessage.Resource{}, &InstanceError{name, recordTypeName(recordType), errNoRecord}
}

// parseTXT builds a node from the keys of its TXT record. The case of keys is ignored,
// and the first of several equal keys counts (RFC 6763, section 6.4).
func parseTXT(name string, txt []string) (Node, error) {
	values := make(map[string]string)
	for _, t := range txt {
		k, v, _ := strings.Cut(t, "=")
		if k = strings.ToLower(k); k != "" {
			if _, ok := values[k]; !ok {
				values[k] = v
			}
		}
	}
	n := Node{ID: name, Phase: phaseInService, Size: 1, Locality: values["zone"], Flavor: values["kind"]}
	if values["state"] == "draining" {
		n.Phase = phaseTerminating
	}
	var err error
	readNumber := func(txtKey string, set func(float64)) {
		if v, ok := values[txtKey]; ok {
			f, parseErr := strconv.ParseFloat(v, 64)
			if parseErr != nil || !(f >= 0 && f < 1e15) {
				err = &InstanceError{name, "TXT key " + txtKey, fmt.Errorf("%q is not a number of at least 0 and below 1e15", v)}
				return
			}
			set(f)
		}
	}
	readNumber("cell", func(v float64) { n.Cell = int(v) })
	readNumber("size", func(v float64) { n.Size = v })
	readNumber("up", func(v float64) { n.UpSinceMS = int64(v) })
	return n, err
}
