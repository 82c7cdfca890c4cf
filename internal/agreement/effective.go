package agreement

import (
	"maps"
	"slices"
	"time"
)

// UnsettledRetryAfter is after how long a viewer whose route is unsettled should retry.
const UnsettledRetryAfter = 2 * time.Second

// EffectiveConfig is what a manager may act on: one version, or what all of several versions
// allow. It shares memory with the Documents that it was made from, so it must not be modified.
type EffectiveConfig struct {
	Versions []uint64 // the versions that bind the manager
	// NoLease is set while the manager holds no lease: there may be a version that it never
	// heard of. Routes to a class that must never be set up twice are then refused.
	NoLease         bool
	Teams           map[string]Team // with the lower of each limit
	Sites           map[string]Site // zones of a site that is missing here count one by one
	Retirements     map[string]Retirement
	Peaks           map[string]Peak
	DisabledNodes   map[string]bool
	MinListRevision uint64

	documents []*Document
}

// MostRestrictive returns what all of the given versions allow.
func MostRestrictive(a *Document, others ...*Document) EffectiveConfig {
	e := fromDocument(a)
	for _, d := range others {
		e = e.restrictedBy(d)
	}
	return e
}

func fromDocument(d *Document) EffectiveConfig {
	e := EffectiveConfig{
		Versions: []uint64{d.Version}, Teams: indexByName(d.Teams, teamName), Sites: indexByName(d.Sites, siteName),
		Retirements: indexByName(d.Retirements, retirementSite), Peaks: indexByName(d.Peaks, peakName), DisabledNodes: map[string]bool{},
		MinListRevision: d.MinListRevision, documents: []*Document{d},
	}
	for _, n := range d.DisabledNodes {
		e.DisabledNodes[n] = true
	}
	return e
}

func indexByName[T any](s []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(s))
	for _, x := range s {
		m[name(x)] = x
	}
	return m
}

// restrictedBy returns what both e and d allow.
func (e EffectiveConfig) restrictedBy(d *Document) EffectiveConfig {
	other := fromDocument(d)
	e.Versions = append(slices.Clip(e.Versions), d.Version)
	e.documents = append(slices.Clip(e.documents), d)
	e.MinListRevision = max(e.MinListRevision, d.MinListRevision)
	maps.Copy(e.DisabledNodes, other.DisabledNodes)
	// Of what only one version has, teams are refused, retirements suspended, sites and peaks
	// left out.
	merge(e.Teams, other.Teams, func(a, b Team) (Team, bool) {
		a.Weight, a.SessionsPerS, a.MaxEstablished = min(a.Weight, b.Weight), lowerLimit(a.SessionsPerS, b.SessionsPerS), lowerLimit(a.MaxEstablished, b.MaxEstablished)
		a.RefuseAll = a.RefuseAll || b.RefuseAll
		return a, true
	}, func(t Team) (Team, bool) { t.RefuseAll = true; return t, true })
	merge(e.Retirements, other.Retirements, func(a, b Retirement) (Retirement, bool) {
		a.Suspended = a.Suspended || b.Suspended || !slices.Equal(sortedUnique(a.TargetSites), sortedUnique(b.TargetSites))
		a.Period, a.UntilUnixS = max(a.Period, b.Period), max(a.UntilUnixS, b.UntilUnixS)
		if a.Suspended {
			a.TargetSites = intersection(a.TargetSites, b.TargetSites)
		}
		return a, true
	}, func(r Retirement) (Retirement, bool) { r.Suspended = true; return r, true })
	merge(e.Sites, other.Sites, func(a, b Site) (Site, bool) {
		if !slices.Equal(a.Refuse, b.Refuse) {
			a.Refuse = nil // the default order: by worth per kB
		}
		a.Keep, a.Pace = intersection(a.Keep, b.Keep), max(a.Pace, b.Pace)
		return a, slices.Equal(sortedUnique(a.Zones), sortedUnique(b.Zones))
	}, omit)
	merge(e.Peaks, other.Peaks, func(a, b Peak) (Peak, bool) {
		same := a.Spec == b.Spec && a.StartUnixS == b.StartUnixS
		a.Factor, a.Length = min(a.Factor, b.Factor), min(a.Length, b.Length)
		return a, same
	}, omit)
	return e
}

func omit[T any](x T) (T, bool) { return x, false }

// merge merges b into a: mergeBoth is called for names in both, mergeSingle for names in one of
// them. The name is removed if they return false.
func merge[T any](a, b map[string]T, mergeBoth func(a, b T) (T, bool), mergeSingle func(T) (T, bool)) {
	for name, x := range b {
		if _, ok := a[name]; !ok {
			if y, keep := mergeSingle(x); keep {
				a[name] = y
			}
		}
	}
	for name, x := range a {
		y, keep := x, true
		if z, ok := b[name]; ok {
			y, keep = mergeBoth(x, z)
		} else {
			y, keep = mergeSingle(x)
		}
		if a[name] = y; !keep {
			delete(a, name)
		}
	}
}

func intersection(a, b []string) (out []string) {
	for _, x := range a {
		if slices.Contains(b, x) {
			out = append(out, x)
		}
	}
	return out
}

// lowerLimit returns the lower of two limits, where 0 means no limit.
func lowerLimit[T int | float64](a, b T) T {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Route returns the route of a request. firstMatch returns the index of the first of d's routes
// that matches, or -1. Route calls it for each version, and returns a route only if all versions
// agree on its binding fields. found is false if no route matches. The error is an
// *UnsettledRouteError.
func (e EffectiveConfig) Route(firstMatch func(d *Document) int) (r Route, found bool, err error) {
	for i, d := range e.documents {
		n := firstMatch(d)
		var x Route
		if n >= 0 {
			x = d.Routes[n]
		}
		if i == 0 {
			r, found = x, n >= 0
		} else if found != (n >= 0) || r.Class != x.Class || r.Team != x.Team || r.Key != x.Key || r.AtMostOnce != x.AtMostOnce {
			return Route{}, false, &UnsettledRouteError{Versions: e.Versions, RetryAfter: UnsettledRetryAfter}
		}
	}
	// Guard: a version that this manager has not heard of may have removed this route, and a
	// session that it sets up can't be undone.
	if e.NoLease && r.AtMostOnce {
		return Route{}, false, &UnsettledRouteError{Versions: e.Versions, NoLease: true, RetryAfter: UnsettledRetryAfter}
	}
	return r, found, nil
}
