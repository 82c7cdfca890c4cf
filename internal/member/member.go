// Package member tracks which managers of a fleet are present.
//
// Fleet has two implementations: Swim detects failures with the SWIM protocol
// (github.com/hashicorp/memberlist); Static sends nothing and takes all members that the
// operator's file names as present. Tracker derives the rest from the reports of the protocol,
// without I/O: the numbering of views, the loss of the quorum, and which of two members with
// one name is refused.
package member

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"
)

// Fleet is one manager's membership in a fleet.
type Fleet interface {
	// View returns the current view without blocking.
	View() View
	// Leave makes this member announce to the others that it leaves. It does not block.
	Leave()
	// Run takes part in the fleet until ctx ends.
	Run(ctx context.Context) error
}

// Config is the configuration of a Fleet.
type Config struct {
	Self              Meta               // NewSwim sets StartedUnixNano, and Address if empty
	ConfiguredMembers []ConfiguredMember // all members of the fleet, itself included
	JoinAddresses     []string           // HOST:PORT of members to contact while some are not present
	// ListenAddress is HOST:PORT of the TCP and UDP sockets.
	ListenAddress string
	// AddressOverrides has, by member name, the addresses for TCP and for UDP at which this
	// manager reaches a member, if they differ from the address that the member announces.
	AddressOverrides map[string][2]string
	// EncryptionKeys are AES keys of 128 to 256 bits for all traffic. The first one encrypts,
	// all decrypt. Without keys, traffic is not encrypted.
	EncryptionKeys [][]byte
	// OnEvents, if not nil, is called from one goroutine with events and the view that
	// resulted. It must not block.
	OnEvents func(View, []Event)
	// LogLine receives the log lines of the membership protocol. May be nil.
	LogLine func(string)

	transportForTest func() memberlist.NodeAwareTransport // replaces the sockets, for tests
}

// ListenError reports an address that a member can't listen on, or that can't be announced.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("fleet: %s: %v; set fleet.listen to an IPv4 address of this machine with a port that is free for TCP and UDP", e.Address, e.Err)
}

func (e *ListenError) Unwrap() error { return e.Err }

var errNoMembers = errors.New("fleet: no members are configured; name all of them in fleet.members")

// Static is a Fleet that takes all configured members as present. It sends nothing.
type Static struct{ view View }

// NewStatic returns a Static of the configured members.
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

// View returns the view, which never changes.
func (f *Static) View() View { return f.view }

// Leave implements Fleet. It does nothing.
func (f *Static) Leave() {}

// Run blocks until ctx ends.
func (f *Static) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
