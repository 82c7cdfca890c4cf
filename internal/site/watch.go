package site

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// State is what a manager takes a site for, by its own evidence.
type State uint8

const (
	StatePresent    State = iota
	StateSlow             // it takes connections and leaves set-ups unanswered
	StatePartial          // a part of its nodes can't be reached, others are heard of
	StateLost             // none of its nodes is heard of, and others elsewhere are
	StateRecovering       // it was lost, and is heard of again; not all of it yet
)

func (s State) String() string { return [...]string{"present", "slow", "thin", "lost", "back"}[s] }

// Sign is something that a manager sees of a node.
type Sign uint8

const (
	SignHeard          Sign = iota // the node itself said something, if only that it is full
	SignUnreachable                // no connection came up, or it was refused
	SignNoAnswer                   // a set-up got no answer
	SignConnectionLost             // what stood or was open went down, and no new connection came up
)

// Figures of a Watch. What one node does, or a manager's own bad moment, tells nothing
// of a site: it takes several nodes, more than one kind of word, and a word from
// elsewhere.
const (
	// failureMaxAge is how long a failure counts. Managers meet a node seldom; what is older
	// may have been mended.
	failureMaxAge = 6 * time.Second
	// minLostShare of a site's nodes, or enoughNodes of them, fail in a row before it is taken
	// for lost: where half of it is, no row is as wide, or one in 4,096 is.
	minLostShare = 0.6
	minLostNodes = 12
	// minLostFailures is how many failures in a row it takes in any case.
	minLostFailures = 7
	// minFailures is how many it takes for a site to be called slow or thin, or for this
	// manager to be cut off.
	minFailures = 3
	// isolationDelay is how old a word from anybody may be for this manager not to be the one
	// that is cut off, and vouchTime how old one from another site may be for a failure
	// to say something of this one.
	isolationDelay = 2 * time.Second
	vouchMaxAge    = time.Second
	// minVouched of the failures in a row are so.
	minVouched = 2
	// minFailingShare of the nodes that were met lately fail in a thin site.
	minFailingShare = 0.4
	// quietPeriod without a failure ends slow and thin.
	quietPeriod = 5 * time.Second
	// minRecoveredShare of its nodes are heard of again in a site that is whole.
	minRecoveredShare = 0.5
	// maxRecoveryTime ends the return at the latest, if nothing fails: nodes that nobody needs
	// are not heard of.
	maxRecoveryTime = 30 * time.Second
	// probeInterval without any sign of a site has one node of it asked for a report, and in
	// doubt, after a failure with no word since, doubtTime has the next one asked.
	probeInterval      = time.Second
	doubtProbeInterval = 200 * time.Millisecond
	// unlistedTimeout is how long a lost site is on no list until it is no longer waited for.
	unlistedTimeout = time.Minute
	// returnWindow is how long a return is held against a site that is lost again.
	returnWindow = time.Minute
)

// Notice is a change that operators are told, and what it rests on.
type Notice struct {
	Site     int // under 0: this manager itself
	State    State
	Isolated bool // this manager hears nobody
	Text     string
}

// Watch tells the loss of a site from what looks like it: a node, a rack, a slow site, a
// rolling release, and this manager's own isolation. Times are arguments and must not
// step back.
type Watch struct {
	sites    []watchedSite
	isolated bool
}

type watchedSite struct {
	name        string
	nodes       map[uint64]*nodeEvidence // that are on the list and don't drain
	heard       time.Time                // when any of it was heard of last
	failureRun  failureRun               // failures since
	state       State
	stateSince  time.Time
	lostAt      time.Time   // when it was lost last
	returnTimes []time.Time // within trustTime
	lastSign    time.Time   // the last sign of any kind
	probedAt    time.Time   // when one of its nodes was asked last, and which
	lastProbed  uint64
	listedAt    time.Time // when it had a node that is expected to be there
}

// failureRun is the failures at a site with no word of it between them.
type failureRun struct {
	first, last  time.Time
	sufficientAt time.Time // when it became long and wide enough; zero: it has not
	failures     int
	unconnected  int // of these, without a connection
	vouched      int // of these, with a word from another site just before
	nodes        map[uint64]bool
}

// nodeEvidence is what has been seen of one node.
type nodeEvidence struct {
	heard       time.Time
	failedAt    time.Time // last, since it was heard of
	failures    int       // failures since it was heard of
	unconnected int       // of these, without a connection
}

// failing tells whether a node counts as one that can't be reached.
func (s *nodeEvidence) failing(now time.Time) bool {
	return s.failures > 0 && now.Sub(s.failedAt) <= failureMaxAge
}

// NewWatch returns a Watch over sites, all present.
func NewWatch(names []string) *Watch {
	w := &Watch{}
	for _, n := range names {
		w.sites = append(w.sites, watchedSite{name: n, nodes: map[uint64]*nodeEvidence{}})
	}
	return w
}

// UpdateNode tells of a node of the list. One that drains or is gone is evidence of nothing:
// it is expected to go.
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

// RecordSign takes a sign of a node.
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
			// A word from elsewhere since the row began, and just before: the way from here
			// was open, and this failure is not this manager's.
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

// ForgetFailures drops what has failed so far, as after a time in which this manager stood still:
// what it then finds to have timed out says more of it than of anybody else.
func (w *Watch) ForgetFailures() {
	for i := range w.sites {
		w.sites[i].forgetFailures()
	}
}

func (s *watchedSite) forgetFailures() {
	s.failureRun = failureRun{}
	for _, n := range s.nodes {
		*n = nodeEvidence{heard: n.heard}
	}
}

// State is what a site is taken for.
func (w *Watch) State(site int) State { return w.sites[site].state }

// Isolated tells whether this manager hears nobody. Then it is taken to be the one that is
// cut off: no site is given up for it.
func (w *Watch) Isolated() bool { return w.isolated }

// ReturnCount is how often a site has come back within the last minute, for the pace of its
// return.
func (w *Watch) ReturnCount(now time.Time, site int) int {
	s := &w.sites[site]
	s.returnTimes = slices.DeleteFunc(s.returnTimes, func(t time.Time) bool { return now.Sub(t) > returnWindow })
	return len(s.returnTimes)
}

// evidence is a site's evidence at a moment.
type evidence struct {
	nodes, contacted, failing, failures, unconnected, heard int
}

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

// silent tells whether a site looks lost from here: enough of its nodes have failed with
// no word of any between, in some way that isn't only slowness.
func (s *watchedSite) silent(now time.Time, failures int) bool {
	r := &s.failureRun
	return r.failures >= failures && r.unconnected > 0 && len(r.nodes) >= min(minLostNodes, int(math.Ceil(minLostShare*float64(len(s.nodes))))) && now.Sub(r.last) <= failureMaxAge
}

// Tick looks at all sites. It is to be called some times a second; each change is told
// once.
func (w *Watch) Tick(now time.Time) (notices []Notice) {
	evidences := make([]evidence, len(w.sites))
	var lastHeard time.Time // word from anybody
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
	// Where nobody at all is heard of, it is more likely this manager than all others.
	// One that nobody asks for anything fails at nothing, and hears nothing either.
	if isolated := silent == listedSites && now.Sub(lastHeard) > isolationDelay && (anySilent || w.isolated); isolated != w.isolated && (isolated || now.Sub(lastHeard) <= isolationDelay) {
		w.isolated = isolated
		text := "somebody is heard of again"
		if isolated {
			text = fmt.Sprintf("nobody has been heard of for %v: this manager takes itself for cut off, and no site for lost", now.Sub(lastHeard).Round(time.Millisecond))
			if lastHeard.IsZero() {
				text = "nobody has ever been heard of: this manager takes itself for cut off, and no site for lost"
			}
		} else {
			w.ForgetFailures() // what failed meanwhile says nothing of anybody else
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
		// Guard: a word from elsewhere after all of that. A manager that is cut off has
		// none, whatever failed by chance before.
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

// nextState is the state that a site's evidence leads to.
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

// NodesToProbe returns nodes to be asked for a report, in turn, so that a site is watched that
// this manager sends little to, as one that prefers another does, and so that the return
// of one is seen to which nothing is sent. It is one node a second of a site that nothing
// else is seen of, and five where there is doubt.
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

// UnreachableNodes are the nodes of a site that can't be reached at the moment, in order.
func (w *Watch) UnreachableNodes(now time.Time, site int) (failing []uint64) {
	for _, id := range slices.Sorted(maps.Keys(w.sites[site].nodes)) {
		if w.sites[site].nodes[id].failing(now) {
			failing = append(failing, id)
		}
	}
	return failing
}
