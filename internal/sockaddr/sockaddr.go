// Package sockaddr replaces github.com/hashicorp/go-sockaddr, by a replace directive in the
// program's go.mod. memberlist needs three of its functions. The original runs other programs
// to find a private address, which the platform's terms forbid, and the linker can't
// eliminate that code. Here the address is always configured, never discovered.
package sockaddr

import (
	"errors"
	"net/netip"
)

// IfAddr is an address as memberlist passes it.
type IfAddr struct{ SockAddr any }

// NewIPAddr parses an IP address.
func NewIPAddr(s string) (netip.Addr, error) { return netip.ParseAddr(s) }

// IfByRFC separates the addresses that RFC 6890 reserves for special purposes from public
// ones. No other RFC is supported.
func IfByRFC(rfc string, all []IfAddr) (special, public []IfAddr, err error) {
	if rfc != "6890" {
		return nil, nil, errors.New("sockaddr: only RFC 6890 is supported")
	}
	for _, a := range all {
		ip, _ := a.SockAddr.(netip.Addr)
		if ip.IsGlobalUnicast() && !ip.IsPrivate() {
			public = append(public, a)
		} else {
			special = append(special, a)
		}
	}
	return special, public, nil
}

// GetPrivateIP always fails: the address to announce must be configured.
func GetPrivateIP() (string, error) {
	return "", errors.New("sockaddr: finding a private address is not supported; configure the address to announce")
}
