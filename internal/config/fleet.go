package config

import (
	"bytes"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"

	"millethinge/internal/conf"
	"millethinge/internal/member"
)

// Fleet is the managers that an operator's file names, and how they meet.
type Fleet struct {
	Listen  string // empty: nothing is sent, and all that are named count as there
	Address string // at which the others reach this one; empty: Listen
	Join    []string
	Members []member.ConfiguredMember
	At      map[string][2]string // where members are reached from here
	Keys    [][]byte             // the first seals, all open
	Voters  []string
}

const (
	mostMembers = 4096
	mostName    = 100 // bytes; what a member tells of itself goes into one datagram
)

func fleetBlock(l *loader) conf.Key {
	return conf.Key{Name: "fleet", Usage: "{ … }", Doc: "the managers that work together, and how they meet", Read: func(d *conf.Directive) {
		f := &Fleet{At: map[string][2]string{}}
		known := func(d *conf.Directive, name string) {
			if !slices.ContainsFunc(f.Members, func(m member.ConfiguredMember) bool { return m.Name == name }) && !d.Bad() {
				d.Fault(d.At(), "%q is none of the members; name them before", name)
			}
		}
		var listen *conf.Directive
		d.Block(
			conf.Key{Name: "members", Usage: "NAME SITE…", Doc: "all managers of the fleet, this one too, each with its site", Many: true, Must: true, Read: func(d *conf.Directive) {
				for first := true; (first || d.More()) && !d.Bad(); first = false {
					m := member.ConfiguredMember{Name: fleetName(d, "a manager's name")}
					if slices.ContainsFunc(f.Members, func(o member.ConfiguredMember) bool { return o.Name == m.Name }) && !d.Bad() {
						d.Fault(d.At(), "%q is a member already", m.Name)
					}
					m.Site = fleetName(d, "the site of "+m.Name)
					if f.Members = append(f.Members, m); len(f.Members) > mostMembers && !d.Bad() {
						d.Fault(d.At(), "more than %d members", mostMembers)
					}
				}
			}},
			conf.Key{Name: "listen", Usage: "IP:PORT", Doc: "where the others are heard, TCP and UDP; without it nothing is sent, and all count as there", Read: func(d *conf.Directive) {
				f.Listen, listen = fleetAddress(d), d
			}},
			conf.Key{Name: "address", Usage: "IP:PORT", Doc: "at which the others reach this one; that of listen if absent", Read: func(d *conf.Directive) {
				if f.Address = fleetAddress(d); unbound(f.Address, true) && !d.Bad() {
					d.Fault(1, "%q can't be reached; name an address and a port", f.Address)
				}
			}},
			conf.Key{Name: "join", Usage: "HOST:PORT…", Doc: "members to ask at the start", Read: func(d *conf.Directive) {
				for first := true; (first || d.More()) && !d.Bad(); first = false {
					f.Join = append(f.Join, d.Address())
				}
			}},
			conf.Key{Name: "at", Usage: "NAME HOST:PORT [HOST:PORT]", Doc: "where a member is reached from here, if not where it says: by TCP, and by UDP if that differs", Many: true, Read: func(d *conf.Directive) {
				name := d.Word("a member")
				known(d, name)
				to := [2]string{d.Address()}
				if to[1] = to[0]; d.More() {
					to[1] = d.Address()
				}
				f.At[name] = to
			}},
			conf.Key{Name: "key", Usage: "FILE", Doc: "of the fleet's keys, one a line; the first seals, all open. Must off loopback", Read: func(d *conf.Directive) {
				path := d.Word("a file")
				if d.Bad() {
					return
				}
				var err error
				if f.Keys, err = readKeys(path); err != nil {
					d.Fault(1, "%v", err)
				} else if info, err := os.Stat(path); err == nil && info.Mode().Perm()&0o077 != 0 {
					l.Warnings = append(l.Warnings, fmt.Sprintf("fleet.key: %s may be read by others than its owner (mode %o); chmod 600 it", path, info.Mode().Perm()))
				}
			}},
			conf.Key{Name: "voters", Usage: "NAME…", Doc: "three or five members, who decide for all", Read: func(d *conf.Directive) {
				for first := true; (first || d.More()) && !d.Bad(); first = false {
					name := d.Word("a member")
					known(d, name)
					if slices.Contains(f.Voters, name) && !d.Bad() {
						d.Fault(d.At(), "%q stands twice", name)
					}
					f.Voters = append(f.Voters, name)
				}
				if n := len(f.Voters); n != 3 && n != 5 && !d.Bad() {
					d.Fault(1, "%d voters; three or five are wanted", n)
				}
			}},
		)
		l.later = append(l.later, func() { l.checkFleet(d, listen, f) })
		l.Fleet = f
	}}
}

// checkFleet tells what fits together in no line of the block.
func (l *loader) checkFleet(d, listen *conf.Directive, f *Fleet) {
	self := slices.IndexFunc(f.Members, func(m member.ConfiguredMember) bool { return m.Name == l.on.Name })
	if self < 0 && len(f.Members) > 0 && l.on.Name != "" {
		d.Fault(0, "%q, the name of this manager, is none of the members", l.on.Name)
	}
	for _, m := range f.Members {
		site := slices.ContainsFunc(l.Sites, func(s Site) bool { return s.Name == m.Site })
		if len(l.on.Zones) > 0 && !site && !slices.Contains(l.on.Zones, m.Site) {
			l.Warnings = append(l.Warnings, d.Remark(0, "%s is in %q, which is no site of this file and no zone of this deployment", m.Name, m.Site))
			break // the others are wrong the same way
		}
	}
	if listen == nil {
		if len(f.Join)+len(f.At)+len(f.Keys) > 0 || f.Address != "" {
			l.Warnings = append(l.Warnings, d.Remark(0, "without listen nothing is sent: address, join, at and key are of no use"))
		}
		return
	}
	if listen.Bad() {
		return
	}
	if unbound(f.Listen, false) && f.Address == "" {
		listen.Fault(1, "%q is every address of this machine; say at which the others reach it, by address", f.Listen)
	}
	if len(f.Keys) == 0 && !(loopback(f.Listen) && (f.Address == "" || loopback(f.Address))) {
		listen.Fault(1, "%q is not loopback: whoever reaches it could join; name a key file, by key", f.Listen)
	}
	if len(f.Join)+len(f.At) == 0 && len(f.Members) > 1 {
		l.Warnings = append(l.Warnings, d.Remark(0, "neither join nor at: this one asks nobody and waits to be asked"))
	}
}

func fleetName(d *conf.Directive, what string) string {
	name := d.Word(what)
	switch {
	case d.Bad():
	case name == "" || len(name) > mostName:
		d.Fault(d.At(), "a name has 1 to %d bytes", mostName)
	case strings.ContainsAny(name, "/\n"):
		d.Fault(d.At(), "%q: a name has no slash and no line break", name)
	}
	return name
}

// fleetAddress reads an IPv4 address and a port.
func fleetAddress(d *conf.Directive) string {
	w := d.Address()
	if a, err := netip.ParseAddrPort(w); (err != nil || !a.Addr().Is4()) && !d.Bad() {
		d.Fault(d.At(), "%q is no IPv4 address with a port", w)
	}
	return w
}

func loopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Addr().IsLoopback()
}

// unbound tells whether an address names none, or with port also no port.
func unbound(address string, port bool) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && (a.Addr().IsUnspecified() || port && a.Port() == 0)
}

// readKeys reads keys of 16, 24 or 32 bytes, as hexadecimal or base64, one a line.
// Empty lines and what follows # are left out. No message holds a part of a key.
func readKeys(path string) (keys [][]byte, err error) {
	text, err := readBounded(path)
	if err != nil {
		return nil, err
	}
	for i, line := range bytes.Split(text, []byte("\n")) {
		line, _, _ := bytes.Cut(line, []byte("#"))
		word := string(bytes.TrimSpace(line))
		if word == "" {
			continue
		}
		key, err := hex.DecodeString(word)
		if err != nil {
			key, err = base64.StdEncoding.DecodeString(word)
		}
		if n := len(key); err != nil || n != 16 && n != 24 && n != 32 {
			return nil, fmt.Errorf("%s:%d: no key: 16, 24 or 32 bytes as hexadecimal or base64 are wanted, as `openssl rand -hex 32` writes them", path, i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s: holds no key; `openssl rand -hex 32` writes one", path)
	}
	return keys, nil
}

// Membership is what a member is told by the configuration; false where the operator's
// file has no fleet.
func (c *Config) Membership() (m member.Config, ok bool) {
	f := c.Operator.Fleet
	if f == nil {
		return m, false
	}
	m = member.Config{Self: member.Meta{Name: c.Name, Address: f.Address}, ConfiguredMembers: f.Members, JoinAddresses: f.Join, ListenAddress: f.Listen, AddressOverrides: f.At, EncryptionKeys: f.Keys}
	for _, n := range f.Members {
		if n.Name == c.Name {
			m.Self.Site = n.Site
		}
	}
	return m, true
}

// summary says in a line what a fleet comes to.
func (f *Fleet) summary() string {
	sites := map[string]bool{}
	for _, m := range f.Members {
		sites[m.Site] = true
	}
	s := fmt.Sprintf("fleet of %d managers in %d sites", len(f.Members), len(sites))
	if f.Listen == "" {
		return s + ", which is asked nothing"
	}
	host, port, _ := net.SplitHostPort(f.Listen)
	return s + fmt.Sprintf(", heard on %s port %s, %d keys", host, port, len(f.Keys))
}
