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
	// freshTime is how long a failure counts. Managers meet a node seldom; what is older
	// may have been mended.
	freshTime = 6 * time.Second
	// mostPart of a site's nodes, or enoughNodes of them, fail in a row before it is taken
	// for lost: where half of it is, no row is as wide, or one in 4,096 is.
	mostPart    = 0.6
	enoughNodes = 12
	// leastSigns is how many failures in a row it takes in any case.
	leastSigns = 7
	// fewSigns is how many it takes for a site to be called slow or thin, or for this
	// manager to be cut off.
	fewSigns = 3
	// elsewhere is how old a word from anybody may be for this manager not to be the one
	// that is cut off, and vouchTime how old one from another site may be for a failure
	// to say something of this one.
	elsewhere = 2 * time.Second
	vouchTime = time.Second
	// leastVouched of the failures in a row are so.
	leastVouched = 2
	// thinPart of the nodes that were met lately fail in a thin site.
	thinPart = 0.4
	// quietTime without a failure ends slow and thin.
	quietTime = 5 * time.Second
	// wholePart of its nodes are heard of again in a site that is whole.
	wholePart = 0.5
	// longBack ends the return at the latest, if nothing fails: nodes that nobody needs
	// are not heard of.
	longBack = 30 * time.Second
	// askTime without any sign of a site has one node of it asked for a report, and in
	// doubt, after a failure with no word since, doubtTime has the next one asked.
	askTime   = time.Second
	doubtTime = 200 * time.Millisecond
	// goneTime is how long a lost site is on no list until it is no longer waited for.
	goneTime = time.Minute
	// trustTime is how long a return is held against a site that is lost again.
	trustTime = time.Minute
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
	sites []watched
	alone bool
}

type watched struct {
	name    string
	nodes   map[uint64]*seen // that are on the list and don't drain
	heard   time.Time        // when any of it was heard of last
	row     row              // failures since
	state   State
	since   time.Time
	lost    time.Time   // when it was lost last
	returns []time.Time // within trustTime
	signed  time.Time   // the last sign of any kind
	asked   time.Time   // when one of its nodes was asked last, and which
	last    uint64
	listed  time.Time // when it had a node that is expected to be there
}

// row is the failures at a site with no word of it between them.
type row struct {
	first, last time.Time
	enough      time.Time // when it became long and wide enough; zero: it has not
	signs       int
	ways        int // of these, without a connection
	vouched     int // of these, with a word from another site just before
	nodes       map[uint64]bool
}

// seen is what has been seen of one node.
type seen struct {
	heard  time.Time
	failed time.Time // last, since it was heard of
	signs  int       // failures since it was heard of
	ways   int       // of these, without a connection
}

// failing tells whether a node counts as one that can't be reached.
func (s *seen) failing(now time.Time) bool { return s.signs > 0 && now.Sub(s.failed) <= freshTime }

// NewWatch returns a Watch over sites, all present.
func NewWatch(names []string) *Watch {
	w := &Watch{}
	for _, n := range names {
		w.sites = append(w.sites, watched{name: n, nodes: map[uint64]*seen{}})
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
		s.nodes[node] = &seen{}
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
		s.signed = now
		if sign == SignHeard {
			*n = seen{heard: now}
			s.heard, s.row = now, row{}
			return
		}
		way := 0
		if sign == SignUnreachable || sign == SignConnectionLost {
			way = 1
		}
		n.failed, n.signs, n.ways = now, n.signs+1, n.ways+way
		if s.row.signs == 0 || now.Sub(s.row.last) > freshTime {
			s.row = row{first: now, nodes: map[uint64]bool{}}
		}
		r := &s.row
		r.last, r.signs, r.ways, r.nodes[node] = now, r.signs+1, r.ways+way, true
		for k := range w.sites {
			// A word from elsewhere since the row began, and just before: the way from here
			// was open, and this failure is not this manager's.
			if h := w.sites[k].heard; k != i && h.After(r.first) && now.Sub(h) <= vouchTime {
				r.vouched++
				break
			}
		}
		if r.enough.IsZero() && s.silent(now, leastSigns) {
			r.enough = now
		}
		return
	}
}

// ForgetFailures drops what has failed so far, as after a time in which this manager stood still:
// what it then finds to have timed out says more of it than of anybody else.
func (w *Watch) ForgetFailures() {
	for i := range w.sites {
		w.sites[i].forget()
	}
}

func (s *watched) forget() {
	s.row = row{}
	for _, n := range s.nodes {
		*n = seen{heard: n.heard}
	}
}

// State is what a site is taken for.
func (w *Watch) State(site int) State { return w.sites[site].state }

// Isolated tells whether this manager hears nobody. Then it is taken to be the one that is
// cut off: no site is given up for it.
func (w *Watch) Isolated() bool { return w.alone }

// ReturnCount is how often a site has come back within the last minute, for the pace of its
// return.
func (w *Watch) ReturnCount(now time.Time, site int) int {
	s := &w.sites[site]
	s.returns = slices.DeleteFunc(s.returns, func(t time.Time) bool { return now.Sub(t) > trustTime })
	return len(s.returns)
}

// count is a site's evidence at a moment.
type count struct {
	nodes, met, failing, signs, ways, heard int
}

func (s *watched) count(now time.Time) (c count) {
	c.nodes = len(s.nodes)
	for _, n := range s.nodes {
		if n.failing(now) {
			c.failing, c.signs, c.ways = c.failing+1, c.signs+n.signs, c.ways+n.ways
		}
		if n.failing(now) || now.Sub(n.heard) <= freshTime {
			c.met++
		}
		if s.state >= StateLost && n.heard.After(s.lost) {
			c.heard++
		}
	}
	return c
}

// silent tells whether a site looks lost from here: enough of its nodes have failed with
// no word of any between, in some way that isn't only slowness.
func (s *watched) silent(now time.Time, signs int) bool {
	r := &s.row
	return r.signs >= signs && r.ways > 0 && len(r.nodes) >= min(enoughNodes, int(math.Ceil(mostPart*float64(len(s.nodes))))) && now.Sub(r.last) <= freshTime
}

// Tick looks at all sites. It is to be called some times a second; each change is told
// once.
func (w *Watch) Tick(now time.Time) (notices []Notice) {
	counts := make([]count, len(w.sites))
	var last time.Time // word from anybody
	silent, any, fails := 0, 0, false
	for i := range w.sites {
		s := &w.sites[i]
		counts[i] = s.count(now)
		if s.heard.After(last) {
			last = s.heard
		}
		if counts[i].nodes == 0 {
			continue
		}
		any++
		if s.silent(now, fewSigns) || s.state == StateLost {
			silent++
		}
		fails = fails || s.silent(now, fewSigns)
	}
	// Where nobody at all is heard of, it is more likely this manager than all others.
	// One that nobody asks for anything fails at nothing, and hears nothing either.
	if alone := silent == any && now.Sub(last) > elsewhere && (fails || w.alone); alone != w.alone && (alone || now.Sub(last) <= elsewhere) {
		w.alone = alone
		text := "somebody is heard of again"
		if alone {
			text = fmt.Sprintf("nobody has been heard of for %v: this manager takes itself for cut off, and no site for lost", now.Sub(last).Round(time.Millisecond))
			if last.IsZero() {
				text = "nobody has ever been heard of: this manager takes itself for cut off, and no site for lost"
			}
		} else {
			w.ForgetFailures() // what failed meanwhile says nothing of anybody else
			for i := range w.sites {
				counts[i] = w.sites[i].count(now)
			}
		}
		notices = append(notices, Notice{Site: -1, Isolated: alone, Text: text})
	}
	for i := range w.sites {
		s, c := &w.sites[i], &counts[i]
		if c.nodes > 0 || s.listed.IsZero() {
			s.listed = now
		}
		if c.nodes == 0 && (s.state != StateLost || now.Sub(s.listed) > goneTime) {
			if s.state != StatePresent {
				s.state, s.since = StatePresent, now
				notices = append(notices, Notice{Site: i, Text: "none of its nodes is expected to be there: they drain, or are off the list"})
			}
			continue
		}
		// Guard: a word from elsewhere after all of that. A manager that is cut off has
		// none, whatever failed by chance before.
		others := slices.ContainsFunc(w.sites, func(o watched) bool {
			return o.name != s.name && !s.row.enough.IsZero() && o.heard.After(s.row.enough)
		})
		next, text := s.next(now, c, w.alone, others)
		if next == s.state {
			continue
		}
		switch {
		case next == StateLost:
			s.lost = now
		case s.state == StateLost:
			s.returns = append(s.returns, now)
			s.forget()
			text = fmt.Sprintf("%s; lost for %v, back %d times within a minute", text, now.Sub(s.since).Round(100*time.Millisecond), w.ReturnCount(now, i))
		}
		s.state, s.since = next, now
		notices = append(notices, Notice{Site: i, State: next, Text: text})
	}
	return notices
}

// next is the state that a site's evidence leads to.
func (s *watched) next(now time.Time, c *count, alone, others bool) (State, string) {
	switch {
	case s.state == StateLost:
		if c.heard > 0 {
			return StateRecovering, fmt.Sprintf("%d of %d nodes are heard of again", c.heard, c.nodes)
		}
		return StateLost, ""
	case !alone && others && s.row.vouched >= leastVouched && s.silent(now, leastSigns):
		r := &s.row
		return StateLost, fmt.Sprintf("%d of %d nodes fail, %d signs in %v, %d without a connection, and no word of the site between them; other sites are heard of",
			len(r.nodes), c.nodes, r.signs, r.last.Sub(r.first).Round(time.Millisecond), r.ways)
	case s.state == StateRecovering:
		if float64(c.heard) >= wholePart*float64(c.nodes) && c.failing == 0 || c.failing == 0 && now.Sub(s.since) > longBack {
			return StatePresent, fmt.Sprintf("%d of %d nodes are heard of, and none fails", c.heard, c.nodes)
		}
		return StateRecovering, ""
	case !alone && c.failing >= 2 && c.ways == 0 && c.signs >= fewSigns && float64(c.failing) >= thinPart*float64(c.met):
		return StateSlow, fmt.Sprintf("%d of %d nodes that were met lately leave set-ups unanswered and take connections", c.failing, c.met)
	case !alone && c.failing >= 2 && c.failing < c.met && c.ways > 0 && c.signs >= fewSigns && float64(c.failing) >= thinPart*float64(c.met):
		return StatePartial, fmt.Sprintf("%d of %d nodes that were met lately can't be reached, others can", c.failing, c.met)
	case s.state != StatePresent && c.failing == 0 && now.Sub(s.since) > quietTime:
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
		pause := askTime
		if s.row.signs > 0 && s.state != StateLost && now.Sub(s.row.last) <= freshTime {
			pause = doubtTime
		}
		if len(s.nodes) == 0 || now.Sub(s.signed) < pause || now.Sub(s.asked) < pause {
			continue
		}
		var next, first uint64
		found, any := false, false
		for id := range s.nodes {
			if id > s.last && (!found || id < next) {
				next, found = id, true
			}
			if !any || id < first {
				first, any = id, true
			}
		}
		if !found {
			next = first
		}
		s.asked, s.last = now, next
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
