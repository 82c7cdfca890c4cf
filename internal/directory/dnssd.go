package directory

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/dns/dnsmessage"

	"millethinge/control"
	"millethinge/internal/remedy"
)

const (
	leastTTL = time.Second      // between looks at the same records
	mostTTL  = 60 * time.Second // so that a removal is not missed for long
)

// DNSSDClient finds media nodes by DNS service discovery (RFC 6763): PTR records
// name the instances of a service, SRV their addresses, and TXT, in the keys
// zone, kind, cell, size, state and up, what the list says of them. It is the
// list's actor where there is no coordinator.
type DNSSDClient struct {
	ServerAddr string // address of the DNS server
	Service    string
	Names      Names
	Sink       Sink
	Log        *zap.Logger

	known map[string]instance
}

// instance is a node as its records said, until they expire.
type instance struct {
	member  Member
	expires time.Time
}

// Run looks until ctx ends, again each time the shortest TTL runs out.
func (d *DNSSDClient) Run(ctx context.Context) error {
	d.known = make(map[string]instance)
	for {
		now := time.Now()
		found, ttl, err := d.browse(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The server says nothing: what it said before stands until its TTL.
			d.Log.Warn("dns-sd", remedy.Fields(err)...)
			d.apply(now, nil, false)
			ttl = leastTTL
		} else {
			d.apply(now, found, true)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(min(max(ttl, leastTTL), mostTTL)):
		}
	}
}

// apply tells the sink what has changed. Whole: what was not found is removed.
func (d *DNSSDClient) apply(now time.Time, found map[string]instance, whole bool) {
	var c Change
	for name, i := range d.known {
		if _, ok := found[name]; !ok && (whole || now.After(i.expires)) {
			delete(d.known, name)
			i.member.State = control.Gone
			c.Members = append(c.Members, i.member)
		}
	}
	for name, i := range found {
		if d.known[name].member != i.member {
			c.Members = append(c.Members, i.member)
		}
		d.known[name] = i
	}
	if len(c.Members) > 0 {
		d.Sink(c)
	}
}

// browse asks for the service's instances and for each one's records.
func (d *DNSSDClient) browse(ctx context.Context) (map[string]instance, time.Duration, error) {
	service := lower(strings.TrimSuffix(d.Service, "."))
	records, err := d.ask(ctx, service, dnsmessage.TypePTR)
	if err != nil {
		return nil, 0, err
	}
	found, soonest := make(map[string]instance), mostTTL
	for _, r := range records {
		ptr, ok := r.Body.(*dnsmessage.PTRResource)
		if !ok || key(r.Header.Name) != service {
			continue
		}
		name := key(ptr.PTR)
		i, ttl, err := d.resolve(ctx, name, records)
		if err != nil {
			if silent := (*DNSQueryError)(nil); ctx.Err() != nil || errors.As(err, &silent) {
				return nil, 0, err
			}
			d.Log.Warn("dns-sd", remedy.Fields(err)...)
			continue
		}
		ttl = min(ttl, seconds(r))
		i.expires = time.Now().Add(ttl)
		soonest = min(soonest, ttl)
		found[name] = i
	}
	return found, soonest, nil
}

func seconds(r dnsmessage.Resource) time.Duration {
	return time.Duration(r.Header.TTL) * time.Second
}

// resolve finds an instance's records, among those that came along or by
// asking for them.
func (d *DNSSDClient) resolve(ctx context.Context, name string, came []dnsmessage.Resource) (i instance, ttl time.Duration, err error) {
	place, err := d.find(ctx, name, dnsmessage.TypeSRV, came)
	if err != nil {
		return i, 0, err
	}
	text, err := d.find(ctx, name, dnsmessage.TypeTXT, came)
	if err != nil {
		return i, 0, err
	}
	srv := place.Body.(*dnsmessage.SRVResource)
	host, ttl := key(srv.Target), min(seconds(place), seconds(text))
	addr, err := netip.ParseAddr(host)
	if err != nil {
		a, err := d.find(ctx, host, dnsmessage.TypeA, came)
		if err != nil {
			if a, err = d.find(ctx, host, dnsmessage.TypeAAAA, came); err != nil {
				return i, 0, err
			}
		}
		switch b := a.Body.(type) {
		case *dnsmessage.AResource:
			addr = netip.AddrFrom4(b.A)
		case *dnsmessage.AAAAResource:
			addr = netip.AddrFrom16(b.AAAA)
		}
		ttl = min(ttl, seconds(a))
	}
	m, err := d.member(name, text.Body.(*dnsmessage.TXTResource).TXT)
	m.Addr = netip.AddrPortFrom(addr, srv.Port).String()
	return instance{member: m}, ttl, err
}

// find returns a name's record of a type, whose body is that type's. Of SRV records
// it is the one that goes first.
func (d *DNSSDClient) find(ctx context.Context, name string, kind dnsmessage.Type, came []dnsmessage.Resource) (dnsmessage.Resource, error) {
	rank := func(r dnsmessage.Resource) uint16 {
		if srv, ok := r.Body.(*dnsmessage.SRVResource); ok {
			return srv.Priority
		}
		return 0
	}
	pick := func(list []dnsmessage.Resource) (best dnsmessage.Resource, ok bool) {
		for _, r := range list {
			if key(r.Header.Name) == name && r.Header.Type == kind && (!ok || rank(r) < rank(best)) {
				best, ok = r, true
			}
		}
		return best, ok
	}
	if r, ok := pick(came); ok {
		return r, nil
	}
	list, err := d.ask(ctx, name, kind)
	if err != nil {
		return dnsmessage.Resource{}, err
	}
	if r, ok := pick(list); ok {
		return r, nil
	}
	return dnsmessage.Resource{}, &InstanceError{name, typeName(kind), errNoRecord}
}

// member reads the TXT keys. Keys are taken whatever their case; the first of
// a name counts (RFC 6763, section 6.4).
func (d *DNSSDClient) member(name string, text []string) (Member, error) {
	keys := make(map[string]string)
	for _, t := range text {
		k, v, _ := strings.Cut(t, "=")
		if k = strings.ToLower(k); k != "" {
			if _, ok := keys[k]; !ok {
				keys[k] = v
			}
		}
	}
	m := Member{ID: name, Entry: control.Entry{
		Server: ServerIDOf(name), State: control.Ready, Weight: 1,
		Zone: index(d.Names.Zones, keys["zone"]), MachineKind: index(d.Names.MachineKinds, keys["kind"]),
	}}
	if keys["state"] == "draining" {
		m.State = control.Draining
	}
	var err error
	number := func(key string, set func(float64)) {
		if v, ok := keys[key]; ok {
			f, bad := strconv.ParseFloat(v, 64)
			if bad != nil || !(f >= 0 && f < 1e15) {
				err = &InstanceError{name, "TXT key " + key, fmt.Errorf("%q is no number", v)}
				return
			}
			set(f)
		}
	}
	number("cell", func(v float64) { m.Cell = int(v) })
	number("size", func(v float64) { m.Weight = v })
	number("up", func(v float64) {
		m.StartedAt, m.StartedAtS = time.UnixMilli(int64(v)), v/1000
	})
	return m, err
}
