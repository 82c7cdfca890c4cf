// Package agreed decides on which rules and lists a fleet of managers acts, so that
// no two act on what contradicts. It has no I/O: time is an argument, and what it
// wants sent is handed back. machine.go is its interface; docs/agreed-design.md gives
// the reasons.
package agreed

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// MaxDocumentBytes bounds an encoded Document.
const MaxDocumentBytes = 2 << 20

// A Document is one version of all that a fleet agrees on. Its names are unique within
// a kind. What is marked free is for people to read and contradicts nothing.
type Document struct {
	Version  uint64 `cbor:"1,keyasint"` // from 1
	Replaces uint64 `cbor:"2,keyasint"` // the version that its author had before him; 0: none

	Definitions   []Definition `cbor:"3,keyasint,omitempty"`
	Routes        []Route      `cbor:"4,keyasint,omitempty"` // the first that matches counts
	Teams         []Team       `cbor:"5,keyasint,omitempty"`
	Sites         []Site       `cbor:"6,keyasint,omitempty"`
	Retirements   []Retirement `cbor:"7,keyasint,omitempty"`
	Peaks         []Peak       `cbor:"8,keyasint,omitempty"`
	DisabledNodes []string     `cbor:"9,keyasint,omitempty"` // nodes that are sent nothing new

	// LeastList is the least revision of the node list that may be acted on.
	MinListRevision uint64 `cbor:"10,keyasint,omitempty"`
}

// A Definition is a definition, a table or a set of the rules, in their language.
type Definition struct {
	Name string `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint"`
}

// A Route is a rule: a condition and what it sets, in the rules' language.
type Route struct {
	Name       string            `cbor:"1,keyasint"` // free
	When       string            `cbor:"2,keyasint"` // empty: always
	Class      string            `cbor:"3,keyasint,omitempty"`
	Team       string            `cbor:"4,keyasint,omitempty"`
	Key        string            `cbor:"5,keyasint,omitempty"`
	Labels     map[string]string `cbor:"6,keyasint,omitempty"` // free
	AtMostOnce bool              `cbor:"7,keyasint,omitempty"` // sets a class that must never be set up twice
}

// A Team is a team's share and limits. A limit of 0 is none.
type Team struct {
	Name           string  `cbor:"1,keyasint"`
	Title          string  `cbor:"2,keyasint,omitempty"` // free
	Weight         float64 `cbor:"3,keyasint,omitempty"` // of its share of slots
	SessionsPerS   float64 `cbor:"4,keyasint,omitempty"` // sessions a second over all managers
	MaxEstablished int     `cbor:"5,keyasint,omitempty"` // sessions at one manager
	// Closed is set by Careful only: versions disagree on whether there is such a team.
	RefuseAll bool `cbor:"-"`
}

// A Site is zones that are lost together.
type Site struct {
	Name   string        `cbor:"1,keyasint"`
	Title  string        `cbor:"2,keyasint,omitempty"` // free
	Zones  []string      `cbor:"3,keyasint"`
	Keep   []string      `cbor:"4,keyasint,omitempty"`
	Refuse []string      `cbor:"5,keyasint,omitempty"`
	Pace   time.Duration `cbor:"6,keyasint,omitempty"`
}

// A Retirement takes a site out of use step by step.
type Retirement struct {
	Site        string        `cbor:"1,keyasint"`
	Note        string        `cbor:"2,keyasint,omitempty"` // free
	Period      time.Duration `cbor:"3,keyasint"`
	UntilUnixS  int64         `cbor:"4,keyasint,omitempty"` // Unix seconds; 0: not told
	TargetSites []string      `cbor:"5,keyasint,omitempty"`
	// Held: no further step, neither on nor back. Careful sets it where versions differ.
	Suspended bool `cbor:"6,keyasint,omitempty"`
}

// A Peak is an announced peak. Each manager holds its own part of the room, and
// gives way without it: no two holds contradict.
type Peak struct {
	Name       string        `cbor:"1,keyasint"`
	Spec       string        `cbor:"2,keyasint"` // days and classes, as the file has them
	StartUnixS int64         `cbor:"3,keyasint"` // Unix seconds
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
		panic(err) // Guard: only types of this package come here, and all can be encoded
	}
	return b
}

// Hash names the whole contents, the number as well.
func (d *Document) Hash() uint64 { return xxhash.Sum64(encode(d)) }

// Incompatible tells whether two managers must not act on a and b at the same time. It
// goes by the kinds, not by the numbers, and is an equivalence turned round: what
// contradicts neither of two that agree contradicts no third one that agrees with them.
func Incompatible(a, b *Document) bool { return !bytes.Equal(bindingContents(a), bindingContents(b)) }

// bindingContents is the part of d that binds every manager, in one order.
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

// sortedUnique sorts names and drops those that come twice.
func sortedUnique(s []string) []string { return slices.Compact(slices.Sorted(slices.Values(s))) }

// Validate tells what is wrong with the form of d, whatever its rules mean: a *Bad, or nil.
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
