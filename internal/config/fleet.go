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

	"millethinge/internal/directive"
	"millethinge/internal/member"
)

// Fleet configures the managers that work together and how they reach each other.
type Fleet struct {
	Listen          string   // IP:PORT for TCP and UDP; empty: nothing is sent, and all members count as present
	Address         string   // IP:PORT at which the other managers reach this one; empty: Listen
	Join            []string // addresses of members to ask at the start
	Members         []member.ConfiguredMember
	MemberAddresses map[string][2]string // by member's name, its TCP and UDP address as seen from here, where they differ from what it announces
	Keys            [][]byte             // the first encrypts, any of them decrypts
	Voters          []string             // names of the members that decide for all
}

// Limits of the fleet's block.
const (
	maxMembers   = 4096
	maxNameBytes = 100 // of a manager or site; what a member announces of itself has to fit into one datagram
)

func fleetBlock(l *loader) directive.Keyword {
	return directive.Keyword{Name: "fleet", Usage: "{ … }", Doc: "the managers that work together, and how they meet", Apply: func(d *directive.Directive) {
		fleet := &Fleet{MemberAddresses: map[string][2]string{}}
		checkMember := func(d *directive.Directive, name string) {
			if !slices.ContainsFunc(fleet.Members, func(m member.ConfiguredMember) bool { return m.Name == name }) && !d.HasFault() {
				d.ReportFault(d.ArgumentIndex(), "%q is none of the members; name them before", name)
			}
		}
		var listen *directive.Directive
		d.Block(
			directive.Keyword{Name: "members", Usage: "NAME SITE…", Doc: "all managers of the fleet, this one too, each with its site", Repeatable: true, Required: true, Apply: func(d *directive.Directive) {
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
			directive.Keyword{Name: "listen", Usage: "IP:PORT", Doc: "where the others are heard, TCP and UDP; without it nothing is sent, and all count as there", Apply: func(d *directive.Directive) {
				fleet.Listen, listen = readIPv4Address(d), d
			}},
			directive.Keyword{Name: "address", Usage: "IP:PORT", Doc: "at which the others reach this one; that of listen if absent", Apply: func(d *directive.Directive) {
				if fleet.Address = readIPv4Address(d); isUnspecified(fleet.Address, true) && !d.HasFault() {
					d.ReportFault(1, "%q can't be reached; name an address and a port", fleet.Address)
				}
			}},
			directive.Keyword{Name: "join", Usage: "HOST:PORT…", Doc: "members to ask at the start", Apply: func(d *directive.Directive) {
				for first := true; (first || d.More()) && !d.HasFault(); first = false {
					fleet.Join = append(fleet.Join, d.Address())
				}
			}},
			directive.Keyword{Name: "at", Usage: "NAME HOST:PORT [HOST:PORT]", Doc: "where a member is reached from here, if not where it says: by TCP, and by UDP if that differs", Repeatable: true, Apply: func(d *directive.Directive) {
				name := d.Word("a member")
				checkMember(d, name)
				addresses := [2]string{d.Address()}
				if addresses[1] = addresses[0]; d.More() {
					addresses[1] = d.Address()
				}
				fleet.MemberAddresses[name] = addresses
			}},
			directive.Keyword{Name: "key", Usage: "FILE", Doc: "of the fleet's keys, one a line; the first seals, all open. Must off loopback", Apply: func(d *directive.Directive) {
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
			directive.Keyword{Name: "voters", Usage: "NAME…", Doc: "three or five members, who decide for all", Apply: func(d *directive.Directive) {
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

// checkFleet reports settings of the fleet's block that don't fit together or don't fit
// the rest of the configuration. listen is the block's listen line, or nil.
func (l *loader) checkFleet(d, listen *directive.Directive, fleet *Fleet) {
	self := slices.IndexFunc(fleet.Members, func(m member.ConfiguredMember) bool { return m.Name == l.deployment.Name })
	if self < 0 && len(fleet.Members) > 0 && l.deployment.Name != "" {
		d.ReportFault(0, "%q, the name of this manager, is none of the members", l.deployment.Name)
	}
	for _, m := range fleet.Members {
		isSite := slices.ContainsFunc(l.Sites, func(s Site) bool { return s.Name == m.Site })
		if len(l.deployment.Zones) > 0 && !isSite && !slices.Contains(l.deployment.Zones, m.Site) {
			l.Warnings = append(l.Warnings, d.FormatWarning(0, "%s is in %q, which is no site of this file and no zone of this deployment", m.Name, m.Site))
			break // other members with an unknown site most likely have the same cause
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

// readFleetName reads the name of a manager or site.
func readFleetName(d *directive.Directive, expected string) string {
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
func readIPv4Address(d *directive.Directive) string {
	address := d.Address()
	if addrPort, err := netip.ParseAddrPort(address); (err != nil || !addrPort.Addr().Is4()) && !d.HasFault() {
		d.ReportFault(d.ArgumentIndex(), "%q is no IPv4 address with a port", address)
	}
	return address
}

// isLoopback reports whether address is an IP address and port of the loopback network.
func isLoopback(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().IsLoopback()
}

// isUnspecified reports whether address, of the form IP:PORT, has an unspecified IP address
// or, if checkPort is set, port 0.
func isUnspecified(address string, checkPort bool) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && (addrPort.Addr().IsUnspecified() || checkPort && addrPort.Port() == 0)
}

// readKeyFile reads keys of 16, 24 or 32 bytes in hexadecimal or base64, one a line. It
// skips empty lines and comments, which begin with #. No error text contains any part of
// a key.
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

// MemberConfig returns the configuration of the fleet's member that this manager is. ok is
// false if the operator's file has no fleet block.
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

// summary returns a description of the fleet in one line.
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
