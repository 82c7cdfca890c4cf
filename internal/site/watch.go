package site

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// State is the state of a site as one manager judges it by its own evidence.
type State uint8

// The states of a site.
const (
	StatePresent    State = iota // no fault is known
	StateSlow                    // nodes accept connections and leave set-ups unanswered
	StatePartial                 // some nodes cannot be reached, others answer
	StateLost                    // no node answers, while nodes of other sites do
	StateRecovering              // the site was lost and some of its nodes answer again
)

// String returns the name of the state as it is logged.
func (s State) String() string { return [...]string{"present", "slow", "thin", "lost", "back"}[s] }

// Sign is what one exchange with a node says about whether the node can be reached.
type Sign uint8

// The signs of a node.
const (
	SignHeard          Sign = iota // the node answered, if only that it is full
	SignUnreachable                // no connection could be opened, or it was refused
	SignNoAnswer                   // a set-up was not answered
	SignConnectionLost             // an established session or open set-up was lost, and no new connection could be opened
)

// Parameters of a Watch. The failures of one node, or a short fault of this manager itself,
// say nothing about a site. A site is taken for lost only if several nodes fail, not by
// missing answers alone, and if nodes of another site answer meanwhile.
const (
	// failureMaxAge is how long a failure counts. A manager exchanges messages with any one
	// node rarely, and an older fault may have been repaired.
	failureMaxAge = 6 * time.Second
	// minLostShare is the share of a site's nodes, and minLostNodes the number of its nodes, of
	// which one suffices: so many have to fail in an uninterrupted run before the site is
	// taken for lost. If half of a site's nodes are lost, a run cannot reach minLostShare, and
	// reaches minLostNodes with a probability of 1 in 4,096.
	minLostShare = 0.6
	minLostNodes = 12
	// minLostFailures is the minimum number of failures in that run.
	minLostFailures = 7
	// minFailures is the minimum number of failures for a site to be slow or partly
	// unreachable, or for this manager to be cut off.
	minFailures = 3
	// isolationDelay is the time without a sign of any node after which this manager may be
	// the one that is cut off. vouchMaxAge is the maximum age of a sign of another site for
	// a failure to count as vouched for: as a fault of its own site, not of this manager.
	isolationDelay = 2 * time.Second
	vouchMaxAge    = time.Second
	// minVouched is the minimum number of failures in the run that are vouched for.
	minVouched = 2
	// minFailingShare is the minimum share of failing nodes among those contacted lately for a
	// site to be slow or partly unreachable.
	minFailingShare = 0.4
	// quietPeriod is the time without failing nodes after which a site is no longer slow or
	// partly unreachable.
	quietPeriod = 5 * time.Second
	// minRecoveredShare is the share of nodes that have to answer again for a site to be
	// present after a loss.
	minRecoveredShare = 0.5
	// maxRecoveryTime ends a recovery at the latest if no node fails, since nodes that are
	// not needed are not contacted.
	maxRecoveryTime = 30 * time.Second
	// probeInterval is the time without a sign of a site after which one of its nodes is
	// probed. doubtProbeInterval replaces it after a failure that no answer has followed.
	probeInterval      = time.Second
	doubtProbeInterval = 200 * time.Millisecond
	// unlistedTimeout is how long a lost site without listed nodes stays lost.
	unlistedTimeout = time.Minute
	// returnWindow is how long a return counts against a site that is lost again.
	returnWindow = time.Minute
)

// Notice is a change of a site's state, or of this manager's isolation, with its evidence.
type Notice struct {
	Site     int // index of the site; negative: this manager itself
	State    State
	Isolated bool   // this manager is cut off; only if Site is negative
	Text     string // the evidence, for operators
}

// Watch detects the loss of sites, and tells it from the failure of a node or a rack, a slow
// site, a rolling release and the isolation of this manager. Times are passed as arguments
// and must not go back.
type Watch struct {
	sites    []watchedSite
	isolated bool
}

// watchedSite holds the state of one site and the evidence for it.
type watchedSite struct {
	name        string
	nodes       map[uint64]*nodeEvidence // listed nodes that don't drain
	heard       time.Time                // when any node was last heard of
	failureRun  failureRun               // failures since then
	state       State
	stateSince  time.Time
	lostAt      time.Time   // when the site was last lost
	returnTimes []time.Time // returns within returnWindow
	lastSign    time.Time   // time of the last sign of any kind
	probedAt    time.Time   // when a node was last probed
	lastProbed  uint64      // the node that was last probed
	listedAt    time.Time   // when the site last had a node that is listed and doesn't drain
}

// failureRun is a series of failures at a site in which none of its nodes was heard of.
type failureRun struct {
	first, last  time.Time // times of the first and the last failure
	sufficientAt time.Time // when the run first sufficed for the loss of the site; zero: it has not
	failures     int
	unconnected  int             // failures without a connection
	vouched      int             // failures shortly after a sign of another site
	nodes        map[uint64]bool // nodes that failed
}

// nodeEvidence holds the signs of one node.
type nodeEvidence struct {
	heard       time.Time // when the node was last heard of
	failedAt    time.Time // time of the last failure since then
	failures    int       // failures since it was heard of
	unconnected int       // failures without a connection
}

// failing reports whether the node counts as one that cannot be reached.
func (s *nodeEvidence) failing(now time.Time) bool {
	return s.failures > 0 && now.Sub(s.failedAt) <= failureMaxAge
}

// NewWatch returns a Watch over the named sites, all of which are present at first.
func NewWatch(names []string) *Watch {
	w := &Watch{}
	for _, n := range names {
		w.sites = append(w.sites, watchedSite{name: n, nodes: map[uint64]*nodeEvidence{}})
	}
	return w
}

// UpdateNode applies an entry of the list of nodes. ready is false for a node that drains or
// is gone: such a node is expected to disappear, so its signs are no evidence.
func (w *Watch) UpdateNode(site int, node uint64, ready bool) {
	if site < 0 || site >= len(w.sites) {
		return
	}
	for i := range w.sites {
		if i != site || !ready {
			delete(w.sites[i].nodes, node)
		}
	}
	if s := &w.sites[site]; ready && s.nodes[node] == nil {
		s.nodes[node] = &nodeEvidence{}
	}
}

// RecordSign records a sign of a node.
func (w *Watch) RecordSign(now time.Time, node uint64, sign Sign) {
	for i := range w.sites {
		s := &w.sites[i]
		n := s.nodes[node]
		if n == nil {
			continue
		}
		s.lastSign = now
		if sign == SignHeard {
			*n = nodeEvidence{heard: now}
			s.heard, s.failureRun = now, failureRun{}
			return
		}
		unconnectedCount := 0
		if sign == SignUnreachable || sign == SignConnectionLost {
			unconnectedCount = 1
		}
		n.failedAt, n.failures, n.unconnected = now, n.failures+1, n.unconnected+unconnectedCount
		if s.failureRun.failures == 0 || now.Sub(s.failureRun.last) > failureMaxAge {
			s.failureRun = failureRun{first: now, nodes: map[uint64]bool{}}
		}
		r := &s.failureRun
		r.last, r.failures, r.unconnected, r.nodes[node] = now, r.failures+1, r.unconnected+unconnectedCount, true
		for k := range w.sites {
			// Another site was heard of since the run began and shortly before this failure,
			// so this manager's own network connection was up.
			if h := w.sites[k].heard; k != i && h.After(r.first) && now.Sub(h) <= vouchMaxAge {
				r.vouched++
				break
			}
		}
		if r.sufficientAt.IsZero() && s.silent(now, minLostFailures) {
			r.sufficientAt = now
		}
		return
	}
}

// ForgetFailures discards all failures. It is called after a process pause: what has timed
// out meanwhile was caused by this manager rather than by the nodes.
func (w *Watch) ForgetFailures() {
	for i := range w.sites {
		w.sites[i].forgetFailures()
	}
}

// forgetFailures discards the failures at one site.
func (s *watchedSite) forgetFailures() {
	s.failureRun = failureRun{}
	for _, n := range s.nodes {
		*n = nodeEvidence{heard: n.heard}
	}
}

// State returns the state of a site.
func (w *Watch) State(site int) State { return w.sites[site].state }

// Isolated reports whether this manager hears of no node at all. It is then taken to be cut
// off itself, and no site becomes lost.
func (w *Watch) Isolated() bool { return w.isolated }

// ReturnCount returns how often a site has returned within the last minute, which limits the
// rate of sessions that may be sent to it.
func (w *Watch) ReturnCount(now time.Time, site int) int {
	s := &w.sites[site]
	s.returnTimes = slices.DeleteFunc(s.returnTimes, func(t time.Time) bool { return now.Sub(t) > returnWindow })
	return len(s.returnTimes)
}

// evidence sums up the signs of a site's nodes at one time: listed nodes, nodes contacted
// lately, failing nodes, their failures, those of them without a connection, and nodes heard
// of since the site was lost.
type evidence struct {
	nodes, contacted, failing, failures, unconnected, heard int
}

// evidence sums up the signs of the site's nodes.
func (s *watchedSite) evidence(now time.Time) (c evidence) {
	c.nodes = len(s.nodes)
	for _, n := range s.nodes {
		if n.failing(now) {
			c.failing, c.failures, c.unconnected = c.failing+1, c.failures+n.failures, c.unconnected+n.unconnected
		}
		if n.failing(now) || now.Sub(n.heard) <= failureMaxAge {
			c.contacted++
		}
		if s.state >= StateLost && n.heard.After(s.lostAt) {
			c.heard++
		}
	}
	return c
}

// silent reports whether the site looks lost from here: a run of at least the given number
// of failures covers enough of its nodes, and not all of them are set-ups without an answer,
// as at a site that is merely slow.
func (s *watchedSite) silent(now time.Time, failures int) bool {
	r := &s.failureRun
	return r.failures >= failures && r.unconnected > 0 && len(r.nodes) >= min(minLostNodes, int(math.Ceil(minLostShare*float64(len(s.nodes))))) && now.Sub(r.last) <= failureMaxAge
}

// Tick updates the states of all sites and returns the changes. It is to be called several
// times a second.
func (w *Watch) Tick(now time.Time) (notices []Notice) {
	evidences := make([]evidence, len(w.sites))
	var lastHeard time.Time // when any node was last heard of
	silent, listedSites, anySilent := 0, 0, false
	for i := range w.sites {
		s := &w.sites[i]
		evidences[i] = s.evidence(now)
		if s.heard.After(lastHeard) {
			lastHeard = s.heard
		}
		if evidences[i].nodes == 0 {
			continue
		}
		listedSites++
		if s.silent(now, minFailures) || s.state == StateLost {
			silent++
		}
		anySilent = anySilent || s.silent(now, minFailures)
	}
	// If no node at all is heard of, this manager is more likely to be cut off than all sites
	// to be lost. A manager without requests sees neither failures nor answers, so at least
	// one run of failures is required.
	if isolated := silent == listedSites && now.Sub(lastHeard) > isolationDelay && (anySilent || w.isolated); isolated != w.isolated && (isolated || now.Sub(lastHeard) <= isolationDelay) {
		w.isolated = isolated
		text := "somebody is heard of again"
		if isolated {
			text = fmt.Sprintf("nobody has been heard of for %v: this manager takes itself for cut off, and no site for lost", now.Sub(lastHeard).Round(time.Millisecond))
			if lastHeard.IsZero() {
				text = "nobody has ever been heard of: this manager takes itself for cut off, and no site for lost"
			}
		} else {
			w.ForgetFailures() // failures during the isolation say nothing about the sites
			for i := range w.sites {
				evidences[i] = w.sites[i].evidence(now)
			}
		}
		notices = append(notices, Notice{Site: -1, Isolated: isolated, Text: text})
	}
	for i := range w.sites {
		s, c := &w.sites[i], &evidences[i]
		if c.nodes > 0 || s.listedAt.IsZero() {
			s.listedAt = now
		}
		if c.nodes == 0 && (s.state != StateLost || now.Sub(s.listedAt) > unlistedTimeout) {
			if s.state != StatePresent {
				s.state, s.stateSince = StatePresent, now
				notices = append(notices, Notice{Site: i, Text: "none of its nodes is expected to be there: they drain, or are off the list"})
			}
			continue
		}
		// Guard: another site has to be heard of after the run of failures sufficed. A manager
		// that is cut off hears of none, whatever failed by chance before.
		othersHeard := slices.ContainsFunc(w.sites, func(o watchedSite) bool {
			return o.name != s.name && !s.failureRun.sufficientAt.IsZero() && o.heard.After(s.failureRun.sufficientAt)
		})
		nextState, text := s.nextState(now, c, w.isolated, othersHeard)
		if nextState == s.state {
			continue
		}
		switch {
		case nextState == StateLost:
			s.lostAt = now
		case s.state == StateLost:
			s.returnTimes = append(s.returnTimes, now)
			s.forgetFailures()
			text = fmt.Sprintf("%s; lost for %v, back %d times within a minute", text, now.Sub(s.stateSince).Round(100*time.Millisecond), w.ReturnCount(now, i))
		}
		s.state, s.stateSince = nextState, now
		notices = append(notices, Notice{Site: i, State: nextState, Text: text})
	}
	return notices
}

// nextState returns the state that follows from the site's evidence, and the reason for a
// change in words.
func (s *watchedSite) nextState(now time.Time, c *evidence, isolated, othersHeard bool) (State, string) {
	switch {
	case s.state == StateLost:
		if c.heard > 0 {
			return StateRecovering, fmt.Sprintf("%d of %d nodes are heard of again", c.heard, c.nodes)
		}
		return StateLost, ""
	case !isolated && othersHeard && s.failureRun.vouched >= minVouched && s.silent(now, minLostFailures):
		r := &s.failureRun
		return StateLost, fmt.Sprintf("%d of %d nodes fail, %d signs in %v, %d without a connection, and no word of the site between them; other sites are heard of",
			len(r.nodes), c.nodes, r.failures, r.last.Sub(r.first).Round(time.Millisecond), r.unconnected)
	case s.state == StateRecovering:
		if float64(c.heard) >= minRecoveredShare*float64(c.nodes) && c.failing == 0 || c.failing == 0 && now.Sub(s.stateSince) > maxRecoveryTime {
			return StatePresent, fmt.Sprintf("%d of %d nodes are heard of, and none fails", c.heard, c.nodes)
		}
		return StateRecovering, ""
	case !isolated && c.failing >= 2 && c.unconnected == 0 && c.failures >= minFailures && float64(c.failing) >= minFailingShare*float64(c.contacted):
		return StateSlow, fmt.Sprintf("%d of %d nodes that were met lately leave set-ups unanswered and take connections", c.failing, c.contacted)
	case !isolated && c.failing >= 2 && c.failing < c.contacted && c.unconnected > 0 && c.failures >= minFailures && float64(c.failing) >= minFailingShare*float64(c.contacted):
		return StatePartial, fmt.Sprintf("%d of %d nodes that were met lately can't be reached, others can", c.failing, c.contacted)
	case s.state != StatePresent && c.failing == 0 && now.Sub(s.stateSince) > quietPeriod:
		return StatePresent, "no node fails any more"
	}
	return s.state, ""
}

// NodesToProbe returns the nodes to be probed now, in turn. Without probes, a manager that
// prefers another site and so sends little to this one would not notice its loss, and the
// return of a site to which nothing is sent would go unnoticed. A site without other signs
// is probed once a second, and five times a second in doubt.
func (w *Watch) NodesToProbe(now time.Time) (nodes []uint64) {
	for i := range w.sites {
		s := &w.sites[i]
		interval := probeInterval
		if s.failureRun.failures > 0 && s.state != StateLost && now.Sub(s.failureRun.last) <= failureMaxAge {
			interval = doubtProbeInterval
		}
		if len(s.nodes) == 0 || now.Sub(s.lastSign) < interval || now.Sub(s.probedAt) < interval {
			continue
		}
		var next, lowest uint64
		hasNext, hasLowest := false, false
		for id := range s.nodes {
			if id > s.lastProbed && (!hasNext || id < next) {
				next, hasNext = id, true
			}
			if !hasLowest || id < lowest {
				lowest, hasLowest = id, true
			}
		}
		if !hasNext {
			next = lowest
		}
		s.probedAt, s.lastProbed = now, next
		nodes = append(nodes, next)
	}
	return nodes
}

// UnreachableNodes returns the nodes of a site that cannot be reached at the moment, in
// ascending order.
func (w *Watch) UnreachableNodes(now time.Time, site int) (failing []uint64) {
	for _, id := range slices.Sorted(maps.Keys(w.sites[site].nodes)) {
		if w.sites[site].nodes[id].failing(now) {
			failing = append(failing, id)
		}
	}
	return failing
}
