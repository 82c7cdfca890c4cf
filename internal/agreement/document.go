// Package agreement decides on which version of its rules and lists a fleet of managers may act,
// so that no two managers act on incompatible versions. Versions are accepted by a raft log of
// a few voters, and managers act on them under leases. The package does no I/O: times are
// arguments, and messages to send are returned. Machine is its interface;
// docs/agreement-design.md gives the reasons.
package agreement

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// MaxDocumentBytes is the maximum size of an encoded Document in bytes.
const MaxDocumentBytes = 2 << 20

// A Document is one version of all that a fleet agrees on. Names are unique within a kind.
// Fields marked as descriptive are for people to read and make no versions incompatible.
type Document struct {
	Version  uint64 `cbor:"1,keyasint"` // at least 1
	Replaces uint64 `cbor:"2,keyasint"` // the version that the author edited; 0: none

	Definitions   []Definition `cbor:"3,keyasint,omitempty"`
	Routes        []Route      `cbor:"4,keyasint,omitempty"` // the first that matches applies
	Teams         []Team       `cbor:"5,keyasint,omitempty"`
	Sites         []Site       `cbor:"6,keyasint,omitempty"`
	Retirements   []Retirement `cbor:"7,keyasint,omitempty"`
	Peaks         []Peak       `cbor:"8,keyasint,omitempty"`
	DisabledNodes []string     `cbor:"9,keyasint,omitempty"` // media nodes that get no new sessions

	// MinListRevision is the lowest revision of the node list that managers may act on.
	MinListRevision uint64 `cbor:"10,keyasint,omitempty"`
}

// A Definition is a definition, a table or a set in the rules' language.
type Definition struct {
	Name string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// A Route is a rule in the rules' language: a condition and the values that it sets.
type Route struct {
	Name       string            `cbor:"1,keyasint"` // descriptive
	When       string            `cbor:"2,keyasint"` // empty: always
	Class      string            `cbor:"3,keyasint,omitempty"`
	Team       string            `cbor:"4,keyasint,omitempty"`
	Key        string            `cbor:"5,keyasint,omitempty"`
	Labels     map[string]string `cbor:"6,keyasint,omitempty"` // descriptive
	AtMostOnce bool              `cbor:"7,keyasint,omitempty"` // sessions of Class must never be set up twice
}

// A Team is a team's share and limits. A limit of 0 means no limit.
type Team struct {
	Name           string  `cbor:"1,keyasint"`
	Title          string  `cbor:"2,keyasint,omitempty"` // descriptive
	Weight         float64 `cbor:"3,keyasint,omitempty"` // its share of slots is proportional to this
	SessionsPerS   float64 `cbor:"4,keyasint,omitempty"` // new sessions a second, over all managers
	MaxEstablished int     `cbor:"5,keyasint,omitempty"` // established sessions at each manager
	// RefuseAll is set by MostRestrictive only, if the versions disagree on whether the team
	// exists.
	RefuseAll bool `cbor:"-"`
}

// A Site is a set of zones that fail together.
type Site struct {
	Name   string        `cbor:"1,keyasint"`
	Title  string        `cbor:"2,keyasint,omitempty"` // descriptive
	Zones  []string      `cbor:"3,keyasint"`
	Keep   []string      `cbor:"4,keyasint,omitempty"` // classes that are served before all others while the site is lost
	Refuse []string      `cbor:"5,keyasint,omitempty"` // classes in the order in which they are refused; nil: by worth per kB
	Pace   time.Duration `cbor:"6,keyasint,omitempty"` // until its nodes take their full load again
}

// A Retirement takes a site out of use step by step.
type Retirement struct {
	Site        string        `cbor:"1,keyasint"`
	Note        string        `cbor:"2,keyasint,omitempty"` // descriptive
	Period      time.Duration `cbor:"3,keyasint"`           // over which the steps are spread
	UntilUnixS  int64         `cbor:"4,keyasint,omitempty"` // Unix time in seconds; 0: not known
	TargetSites []string      `cbor:"5,keyasint,omitempty"`
	// Suspended allows no further step, neither forward nor back. MostRestrictive sets it if
	// versions differ.
	Suspended bool `cbor:"6,keyasint,omitempty"`
}

// A Peak is an announced peak of load. Each manager holds its own part of the capacity for it,
// and may do without the hold, so peaks make no versions incompatible.
type Peak struct {
	Name       string        `cbor:"1,keyasint"`
	Spec       string        `cbor:"2,keyasint"` // days and classes, as written in the operator's file
	StartUnixS int64         `cbor:"3,keyasint"` // Unix time in seconds
	Length     time.Duration `cbor:"4,keyasint"`
	Factor     float64       `cbor:"5,keyasint"`
}

var cborEncMode = func() cbor.EncMode {
	m, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func encode(v any) []byte {
	b, err := cborEncMode.Marshal(v)
	if err != nil {
		panic(err) // Guard: only called with types of this package, all of which can be encoded
	}
	return b
}

// Hash returns a hash of the whole document, including its version number.
func (d *Document) Hash() uint64 { return xxhash.Sum64(encode(d)) }

// Incompatible reports whether two managers must not act on a and b at the same time. It
// compares the contents, not the version numbers. Its negation is an equivalence relation: a
// document that is compatible with one of several compatible documents is compatible with all.
func Incompatible(a, b *Document) bool { return !bytes.Equal(bindingContents(a), bindingContents(b)) }

// bindingContents encodes the part of d that binds every manager, in a canonical order.
func bindingContents(d *Document) []byte {
	n := Document{Definitions: sortedByName(d.Definitions, func(x Definition) string { return x.Name }), MinListRevision: d.MinListRevision}
	for _, r := range d.Routes {
		r.Name, r.Labels = "", nil
		n.Routes = append(n.Routes, r)
	}
	for _, t := range sortedByName(d.Teams, teamName) {
		t.Title = ""
		n.Teams = append(n.Teams, t)
	}
	for _, s := range sortedByName(d.Sites, siteName) {
		s.Title, s.Zones, s.Keep = "", sortedUnique(s.Zones), sortedUnique(s.Keep)
		n.Sites = append(n.Sites, s)
	}
	for _, r := range sortedByName(d.Retirements, retirementSite) {
		r.Note, r.TargetSites = "", sortedUnique(r.TargetSites)
		n.Retirements = append(n.Retirements, r)
	}
	n.DisabledNodes = sortedUnique(d.DisabledNodes)
	return encode(&n)
}

func teamName(t Team) string             { return t.Name }
func siteName(s Site) string             { return s.Name }
func retirementSite(r Retirement) string { return r.Site }
func peakName(p Peak) string             { return p.Name }

func sortedByName[T any](s []T, name func(T) string) []T {
	return slices.SortedFunc(slices.Values(s), func(a, b T) int { return strings.Compare(name(a), name(b)) })
}

// sortedUnique returns the names sorted and without duplicates.
func sortedUnique(s []string) []string { return slices.Compact(slices.Sorted(slices.Values(s))) }

// Validate checks the form of d, but not the meaning of its rules. It returns an
// *InvalidVersionError or nil.
func (d *Document) Validate() error {
	invalid := func(reason string) error { return &InvalidVersionError{Version: d.Version, Reason: reason} }
	if d.Version == 0 || d.Replaces >= d.Version {
		return invalid("its number must be over the one that it replaces")
	}
	for kind, names := range map[string][]string{
		"definition": namesOf(d.Definitions, func(x Definition) string { return x.Name }), "team": namesOf(d.Teams, teamName),
		"site": namesOf(d.Sites, siteName), "retirement": namesOf(d.Retirements, retirementSite), "peak": namesOf(d.Peaks, peakName), "node": d.DisabledNodes,
	} {
		if len(sortedUnique(names)) < len(names) {
			return invalid("a " + kind + " is named twice")
		}
	}
	if n := len(encode(d)); n > MaxDocumentBytes {
		return invalid("it is larger than 2 MiB")
	}
	return nil
}

func namesOf[T any](s []T, name func(T) string) (out []string) {
	for _, x := range s {
		out = append(out, name(x))
	}
	return out
}
