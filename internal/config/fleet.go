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
	Listen          string // empty: nothing is sent, and all that are named count as there
	Address         string // at which the others reach this one; empty: Listen
	Join            []string
	Members         []member.ConfiguredMember
	MemberAddresses map[string][2]string // where members are reached from here
	Keys            [][]byte             // the first seals, all open
	Voters          []string
}

const (
	maxMembers   = 4096
	maxNameBytes = 100 // bytes; what a member tells of itself goes into one datagram
)

func fleetBlock(l *loader) conf.Keyword {
	return conf.Keyword{Name: "fleet", Usage: "{ … }", Doc: "the managers that work together, and how they meet", Apply: func(d *conf.Directive) {
		fleet := &Fleet{MemberAddresses: map[string][2]string{}}
		checkMember := func(d *conf.Directive, name string) {
			if !slices.ContainsFunc(fleet.Members, func(m member.ConfiguredMember) bool { return m.Name == name }) && !d.HasFault() {
				d.ReportFault(d.ArgumentIndex(), "%q is none of the members; name them before", name)
			}
		}
		var listen *conf.Directive
		d.Block(
			conf.Keyword{Name: "members", Usage: "NAME SITE…", Doc: "all managers of the fleet, this one too, each with its site", Repeatable: true, Required: true, Apply: func(d *conf.Directive) {
				for first := true; (first || d.More()) && !d.HasFault(); first = false {
					m := member.ConfiguredMember{Name: readFleetName(d, "a manager's name")}
					if slices.ContainsFunc(fleet.Members, func(other member.ConfiguredMember) bool { return other.Name == m.Name }) && !d.HasFault() {
						d.ReportFault(d.ArgumentIndex(), "%q is a member already", m.Name)
					}
					m.Site = readFleetName(d, "the site of "+m.Name)
					if fleet.Members = append(fleet.Members, m); len(fleet.Members) > maxMembers && !d.HasFault() {
						d.ReportFault(d.ArgumentIndex(), "more than %d members", maxMembers)
					}
				}
			}},
			conf.Keyword{Name: "listen", Usage: "IP:PORT", Doc: "where the others are heard, TCP and UDP; without it nothing is sent, and all count as there", Apply: func(d *conf.Directive) {
				fleet.Listen, listen = readIPv4Address(d), d
			}},
			conf.Keyword{Name: "address", Usage: "IP:PORT", Doc: "at which the others reach this one; that of listen if absent", Apply: func(d *conf.Directive) {
				if fleet.Address = readIPv4Address(d); isUnspecified(fleet.Address, true) && !d.HasFault() {
					d.ReportFault(1, "%q can't be reached; name an address and a port", fleet.Address)
				}
			}},
			conf.Keyword{Name: "join", Usage: "HOST:PORT…", Doc: "members to ask at the start", Apply: func(d *conf.Directive) {
				for first := true; (first || d.More()) && !d.HasFault(); first = false {
					fleet.Join = append(fleet.Join, d.Address())
				}
			}},
			conf.Keyword{Name: "at", Usage: "NAME HOST:PORT [HOST:PORT]", Doc: "where a member is reached from here, if not where it says: by TCP, and by UDP if that differs", Repeatable: true, Apply: func(d *conf.Directive) {
				name := d.Word("a member")
				checkMember(d, name)
				addresses := [2]string{d.Address()}
				if addresses[1] = addresses[0]; d.More() {
					addresses[1] = d.Address()
				}
				fleet.MemberAddresses[name] = addresses
			}},
			conf.Keyword{Name: "key", Usage: "FILE", Doc: "of the fleet's keys, one a line; the first seals, all open. Must off loopback", Apply: func(d *conf.Directive) {
				path := d.Word("a file")
				if d.HasFault() {
					return
				}
				var err error
				if fleet.Keys, err = readKeyFile(path); err != nil {
					d.ReportFault(1, "%v", err)
				} else if info, err := os.Stat(path); err == nil && info.Mode().Perm()&0o077 != 0 {
					l.Warnings = append(l.Warnings, fmt.Sprintf("fleet.key: %s may be read by others than its owner (mode %o); chmod 600 it", path, info.Mode().Perm()))
				}
			}},
			conf.Keyword{Name: "voters", Usage: "NAME…", Doc: "three or five members, who decide for all", Apply: func(d *conf.Directive) {
				for first := true; (first || d.More()) && !d.HasFault(); first = false {
					name := d.Word("a member")
					checkMember(d, name)
					if slices.Contains(fleet.Voters, name) && !d.HasFault() {
						d.ReportFault(d.ArgumentIndex(), "%q stands twice", name)
					}
					fleet.Voters = append(fleet.Voters, name)
				}
				if n := len(fleet.Voters); n != 3 && n != 5 && !d.HasFault() {
					d.ReportFault(1, "%d voters; three or five are wanted", n)
				}
			}},
		)
		l.deferred = append(l.deferred, func() { l.checkFleet(d, listen, fleet) })
		l.Fleet = fleet
	}}
}

// checkFleet tells what fits together in no line of the block.
func (l *loader) checkFleet(d, listen *conf.Directive, fleet *Fleet) {
	self := slices.IndexFunc(fleet.Members, func(m member.ConfiguredMember) bool { return m.Name == l.deployment.Name })
	if self < 0 && len(fleet.Members) > 0 && l.deployment.Name != "" {
		d.ReportFault(0, "%q, the name of this manager, is none of the members", l.deployment.Name)
	}
	for _, m := range fleet.Members {
		isSite := slices.ContainsFunc(l.Sites, func(s Site) bool { return s.Name == m.Site })
		if len(l.deployment.Zones) > 0 && !isSite && !slices.Contains(l.deployment.Zones, m.Site) {
			l.Warnings = append(l.Warnings, d.FormatWarning(0, "%s is in %q, which is no site of this file and no zone of this deployment", m.Name, m.Site))
			break // the others are wrong the same way
		}
	}
	if listen == nil {
		if len(fleet.Join)+len(fleet.MemberAddresses)+len(fleet.Keys) > 0 || fleet.Address != "" {
			l.Warnings = append(l.Warnings, d.FormatWarning(0, "without listen nothing is sent: address, join, at and key are of no use"))
		}
		return
	}
	if listen.HasFault() {
		return
	}
	if isUnspecified(fleet.Listen, false) && fleet.Address == "" {
		listen.ReportFault(1, "%q is every address of this machine; say at which the others reach it, by address", fleet.Listen)
	}
	if len(fleet.Keys) == 0 && !(isLoopback(fleet.Listen) && (fleet.Address == "" || isLoopback(fleet.Address))) {
		listen.ReportFault(1, "%q is not loopback: whoever reaches it could join; name a key file, by key", fleet.Listen)
	}
	if len(fleet.Join)+len(fleet.MemberAddresses) == 0 && len(fleet.Members) > 1 {
		l.Warnings = append(l.Warnings, d.FormatWarning(0, "neither join nor at: this one asks nobody and waits to be asked"))
	}
}

func readFleetName(d *conf.Directive, expected string) string {
	name := d.Word(expected)
	switch {
	case d.HasFault():
	case name == "" || len(name) > maxNameBytes:
		d.ReportFault(d.ArgumentIndex(), "a name has 1 to %d bytes", maxNameBytes)
	case strings.ContainsAny(name, "/\n"):
		d.ReportFault(d.ArgumentIndex(), "%q: a name has no slash and no line break", name)
	}
	return name
}

// readIPv4Address reads an IPv4 address and a port.
func readIPv4Address(d *conf.Directive) string {
	address := d.Address()
	if addrPort, err := netip.ParseAddrPort(address); (err != nil || !addrPort.Addr().Is4()) && !d.HasFault() {
		d.ReportFault(d.ArgumentIndex(), "%q is no IPv4 address with a port", address)
	}
	return address
}

func isLoopback(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().IsLoopback()
}

// isUnspecified tells whether an address names none, or with port also no port.
func isUnspecified(address string, checkPort bool) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && (addrPort.Addr().IsUnspecified() || checkPort && addrPort.Port() == 0)
}

// readKeyFile reads keys of 16, 24 or 32 bytes, as hexadecimal or base64, one a line.
// Empty lines and what follows # are left out. No message holds a part of a key.
func readKeyFile(path string) (keys [][]byte, err error) {
	text, err := readFileBounded(path)
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

// MemberConfig is what a member is told by the configuration; false where the operator's
// file has no fleet.
func (c *Config) MemberConfig() (m member.Config, ok bool) {
	fleet := c.Operator.Fleet
	if fleet == nil {
		return m, false
	}
	m = member.Config{Self: member.Meta{Name: c.Name, Address: fleet.Address}, ConfiguredMembers: fleet.Members, JoinAddresses: fleet.Join, ListenAddress: fleet.Listen, AddressOverrides: fleet.MemberAddresses, EncryptionKeys: fleet.Keys}
	for _, named := range fleet.Members {
		if named.Name == c.Name {
			m.Self.Site = named.Site
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
	text := fmt.Sprintf("fleet of %d managers in %d sites", len(f.Members), len(sites))
	if f.Listen == "" {
		return text + ", which is asked nothing"
	}
	host, port, _ := net.SplitHostPort(f.Listen)
	return text + fmt.Sprintf(", heard on %s port %s, %d keys", host, port, len(f.Keys))
}
