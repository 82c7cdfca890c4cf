package agreement

import (
	"errors"
	"flag"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "300", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// drawDocument draws a random Document. It uses few names, so that two Documents have much in
// common.
func drawDocument(t *rapid.T) *Document {
	word := rapid.SampledFrom([]string{"a", "b", "c"})
	names := func() []string { return sortedUnique(rapid.SliceOfN(word, 0, 3).Draw(t, "names")) }
	d := &Document{Version: 1, DisabledNodes: names(), MinListRevision: rapid.Uint64Range(0, 2).Draw(t, "list")}
	for _, n := range names() {
		d.Teams = append(d.Teams, Team{Name: n, Title: word.Draw(t, "title"), SessionsPerS: float64(rapid.IntRange(0, 2).Draw(t, "rate")), MaxEstablished: rapid.IntRange(0, 2).Draw(t, "standing")})
	}
	for _, n := range names() {
		d.Sites = append(d.Sites, Site{Name: n, Zones: names(), Keep: names(), Pace: time.Duration(rapid.IntRange(0, 1).Draw(t, "pace"))})
		d.Retirements = append(d.Retirements, Retirement{Site: n, Note: word.Draw(t, "note"), Period: time.Duration(rapid.IntRange(1, 2).Draw(t, "over")), TargetSites: names()})
		d.Peaks = append(d.Peaks, Peak{Name: n, Factor: float64(rapid.IntRange(1, 2).Draw(t, "factor"))})
	}
	for range rapid.IntRange(0, 3).Draw(t, "routes") {
		d.Routes = append(d.Routes, Route{Name: word.Draw(t, "name"), When: word.Draw(t, "when"), Class: word.Draw(t, "class"), Labels: map[string]string{"l": word.Draw(t, "label")}})
	}
	return d
}

// Descriptive fields make no versions incompatible; all others but Peaks do. Order matters for
// Routes only.
func TestIncompatible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawDocument(t)
		b := clone(a)
		b.Version, b.Replaces, b.Peaks = 7, 6, nil
		for i := range b.Routes {
			b.Routes[i].Name, b.Routes[i].Labels = "other", map[string]string{"l": "other"}
		}
		for i := range b.Retirements {
			b.Retirements[i].Note = "other"
		}
		for i := range b.Teams {
			b.Teams[i].Title = "other"
		}
		slices.Reverse(b.Teams)
		slices.Reverse(b.DisabledNodes)
		if Incompatible(a, b) || Incompatible(b, a) {
			t.Fatal("incompatible, with differences in descriptive fields and order only")
		}
		changes := map[string]func(){
			"out": func() { b.DisabledNodes = append(b.DisabledNodes, "z") }, "list": func() { b.MinListRevision++ }, "team": func() { b.Teams = append(b.Teams, Team{Name: "z"}) },
			"route":  func() { b.Routes = append(b.Routes, Route{Class: "z"}) },
			"site":   func() { b.Sites = append(b.Sites, Site{Name: "z"}) },
			"retire": func() { b.Retirements = append(b.Retirements, Retirement{Site: "z"}) }, "define": func() { b.Definitions = append(b.Definitions, Definition{Name: "z"}) },
		}
		kind := rapid.SampledFrom([]string{"out", "list", "team", "route", "site", "retire", "define"}).Draw(t, "kind")
		if changes[kind](); !Incompatible(a, b) || !Incompatible(b, a) {
			t.Fatalf("%s: not incompatible", kind)
		}
	})
}

func clone(d *Document) *Document {
	c := new(Document)
	if err := cborDecMode.Unmarshal(encode(d), c); err != nil {
		panic(err)
	}
	return c
}

// MostRestrictive allows nothing that one of the two versions does not, in either order. Of one
// version twice it is that version.
func TestMostRestrictive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t), drawDocument(t)
		restricted, reversed := MostRestrictive(a, b), MostRestrictive(b, a)
		if again := MostRestrictive(a, a); !reflect.DeepEqual(again.Teams, fromDocument(a).Teams) || !reflect.DeepEqual(again.Retirements, fromDocument(a).Retirements) || !reflect.DeepEqual(again.Sites, fromDocument(a).Sites) {
			t.Fatalf("of one version twice: %+v, want that version", again)
		}
		if !reflect.DeepEqual(restricted.DisabledNodes, reversed.DisabledNodes) || len(restricted.Sites) != len(reversed.Sites) || len(restricted.Teams) != len(reversed.Teams) || len(restricted.Peaks) != len(reversed.Peaks) {
			t.Fatalf("results differ by the order of the versions: %+v, %+v", restricted, reversed)
		}
		for _, d := range []*Document{a, b} {
			for _, n := range d.DisabledNodes {
				if !restricted.DisabledNodes[n] {
					t.Fatalf("disabled node %s is allowed", n)
				}
			}
			w := fromDocument(d)
			for n, x := range restricted.Teams {
				y, ok := w.Teams[n]
				over := ok && (y.SessionsPerS != 0 && (x.SessionsPerS == 0 || x.SessionsPerS > y.SessionsPerS) || y.MaxEstablished != 0 && (x.MaxEstablished == 0 || x.MaxEstablished > y.MaxEstablished))
				if over || !ok && !x.RefuseAll || x.RefuseAll != reversed.Teams[n].RefuseAll {
					t.Fatalf("team %+v where a version has %+v (%v)", x, y, ok)
				}
			}
			for n, x := range restricted.Retirements {
				if y, ok := w.Retirements[n]; !ok && !x.Suspended || ok && x.Period < y.Period {
					t.Fatalf("retirement %+v where a version has %+v (%v)", x, y, ok)
				}
			}
			for n, x := range restricted.Sites {
				if y, ok := w.Sites[n]; !ok || x.Pace < y.Pace || !slices.Equal(x.Zones, y.Zones) {
					t.Fatalf("site %+v where a version has %+v (%v)", x, y, ok)
				}
			}
			if restricted.MinListRevision < d.MinListRevision {
				t.Fatal("an older node list is allowed")
			}
		}
		request := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "request")
		first := func(d *Document) int {
			return slices.IndexFunc(d.Routes, func(r Route) bool { return r.When == request })
		}
		ra, ina, _ := fromDocument(a).Route(first)
		rb, inb, _ := fromDocument(b).Route(first)
		r, found, err := restricted.Route(first)
		var unsettled *UnsettledRouteError
		same := ina == inb && ra.Class == rb.Class
		if errors.As(err, &unsettled) == same || same && (found != ina || r.Class != ra.Class) {
			t.Fatalf("%+v, %+v give %+v, %v", ra, rb, r, err)
		}
	})
}

// Without a lease, routes to a class that must never be set up twice are refused; others are not.
func TestRouteWithoutLease(t *testing.T) {
	e := MostRestrictive(&Document{Version: 3, Routes: []Route{{Class: "clip", AtMostOnce: true}, {Class: "feed"}}})
	e.NoLease = true
	_, _, err := e.Route(func(*Document) int { return 0 })
	var unsettled *UnsettledRouteError
	if !errors.As(err, &unsettled) || !unsettled.NoLease || unsettled.RetryAfter == 0 {
		t.Errorf("route of class clip without a lease: %v, want an UnsettledRouteError", err)
	}
	if r, found, err := e.Route(func(*Document) int { return 1 }); err != nil || !found || r.Class != "feed" {
		t.Errorf("route of class feed without a lease: %v, %v", r, err)
	}
}
