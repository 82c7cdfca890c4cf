// Package member tells who of a fleet of managers is there.
//
// A Fleet is a small interface with two carriers: Swim asks the others by the SWIM
// protocol (github.com/hashicorp/memberlist); Fixed sends nothing and takes all that the
// operator's file names as there. What follows from what a carrier hears, numbering of
// views, who is alone, which of two of one name is refused, is decided by Book, without
// I/O.
package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"
)

// Fleet is who is there.
type Fleet interface {
	// View returns the present view, at once.
	View() View
	// Leave tells the others that this member leaves. It returns at once.
	Leave()
	// Run carries it until ctx ends.
	Run(ctx context.Context) error
}

// Config is what a member is told.
type Config struct {
	Self              Meta               // Started is set at the start
	ConfiguredMembers []ConfiguredMember // all, itself among them
	JoinAddresses     []string
	// Listen is the address of the sockets, TCP and UDP of one port.
	ListenAddress string
	// At is where members are reached from here, by name, if not at the address that
	// they tell of themselves: for connections, and for datagrams.
	AddressOverrides map[string][2]string
	// Keys for all that is sent, AES-128 to 256; the first seals, all open. None: what
	// is sent is not sealed.
	EncryptionKeys [][]byte
	// Told, if not nil, is called with what happened and the view that it led to, from
	// one goroutine. It must not block.
	OnEvents func(View, []Event)
	// Log takes what the carrier remarks, one line each.
	LogLine func(string)

	transportForTest func() memberlist.NodeAwareTransport // in the place of sockets, for tests
}

// ListenError is an address that a member can't listen at, or be reached at.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("fleet: %s: %v; name an IPv4 address of this machine that is free, TCP and UDP, by fleet.listen", e.Address, e.Err)
}

func (e *ListenError) Unwrap() error { return e.Err }

var errNoMembers = errors.New("fleet: no member is named; name all by fleet.members")

// Static is a fleet that a file names, all of it taken as there. It sends nothing.
type Static struct{ view View }

// NewStatic returns the fleet of a file.
func NewStatic(c Config) (*Static, error) {
	if len(c.ConfiguredMembers) == 0 {
		return nil, errNoMembers
	}
	b := NewTracker(c.Self, c.ConfiguredMembers, time.Time{})
	for i := range b.view.Members {
		b.view.Members[i].Status = StatusAlive
	}
	b.recount()
	return &Static{b.view}, nil
}

// View returns the one view that there is.
func (f *Static) View() View { return f.view }

// Leave does nothing.
func (f *Static) Leave() {}

// Run waits for ctx.
func (f *Static) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
