package control

import "math"

// mostAwayS is the longest that a ration keeps a refused viewer away.
const mostAwayS = 8

// A Ration is this front's part of what a plan for the whole fleet allows. A nil one
// allows everything; so does a figure under 0, or one that is missing.
type Ration struct {
	SessionLimits   []float64 // by class, sessions that this front may hold at a time
	RetryIntervalsS []float64 // by class, s between two refused viewers that come again; 0: not spread
	ZoneRates       []float64 // by zone, sessions a second that this front may send there
	// Rungs is, by class and rung, the part of its sessions that plays on that rung or a
	// lower one. Those that play higher are lowered at once: the room is wanted.
	RungShares [][]float64
}

// rations is what is left of a Ration.
type rations struct {
	*Ration
	due  []float64 // by class, when the last of the refused viewers comes again
	next []float64 // by zone, when this front may send there again
}

// planned takes what plans outside the module ask for: room for announced peaks, and
// a ration of the fleet.
func (c *Controller) planned(e Event) {
	if e.Kind == EventHold {
		c.held = append(c.held[:0], e.HeldShares...)
		return
	}
	c.ration.Ration = e.Ration
	if e.Ration == nil {
		c.ration = rations{}
		return
	}
	c.ration.due = grown(c.ration.due, len(e.Ration.RetryIntervalsS))
	c.ration.next = grown(c.ration.next, len(e.Ration.ZoneRates))
	for _, sv := range c.order {
		for _, s := range sv.sessions {
			if top := c.topOf(s); s.playing && s.rung > top {
				c.setRung(s, top)
			}
		}
	}
}

// topOf is the highest rung that a session may play on: its viewer's, and no more than
// a ration gives it by a lot of its own.
func (c *Controller) topOf(s *session) int {
	r := c.ration.Ration
	if r == nil || s.class >= len(r.RungShares) || len(r.RungShares[s.class]) == 0 {
		return s.top
	}
	lot := chance(c.seed^uint64(s.id), uint64(len(r.RungShares)))
	for rung, part := range r.RungShares[s.class] {
		if lot <= part {
			return max(min(rung, s.top), min(c.set.Classes[s.class].FloorRung, s.top))
		}
	}
	return s.top
}

func grown(list []float64, n int) []float64 {
	return append(list, make([]float64, max(n-len(list), 0))...)
}

// rationed tells whether a new session is over its class's part. Of a part of a session
// a lot decides, so that the sum over all fronts comes out right. It harms where the
// plan takes this front's share for smaller than it is.
func (c *Controller) rationed(s *session) bool {
	r := c.ration.Ration
	if r == nil || s.class >= len(r.SessionLimits) || r.SessionLimits[s.class] < 0 {
		return false
	}
	n := chance(c.seed, uint64(s.id))
	for _, o := range c.sessions {
		if o != s && o.class == s.class && !o.gone {
			n++
		}
	}
	return n > r.SessionLimits[s.class]
}

// away is how long a refused viewer is asked to stay away. Where a ration tells how often
// places get free, each is given the next time that nobody else has, so that they don't
// come back all at once.
func (c *Controller) away(s *session) float64 {
	r := c.ration.Ration
	if r == nil || s.class >= len(r.RetryIntervalsS) || r.RetryIntervalsS[s.class] <= 0 {
		return awayS
	}
	due := &c.ration.due[s.class]
	*due = max(*due, c.now) + r.RetryIntervalsS[s.class]/c.unit
	if *due-c.now > mostAwayS {
		*due = c.now + mostAwayS // who has no time left to be given comes by lot
		return max(awayS, mostAwayS*c.draw())
	}
	return max(awayS, *due-c.now)
}

// shutTil is until when nothing is sent to a zone: it seems lost, or its pace is used up.
func (c *Controller) shutTil(zone int) float64 {
	til := c.lostTil[zone]
	if r := c.ration.Ration; r != nil && zone >= 0 && zone < len(r.ZoneRates) && r.ZoneRates[zone] >= 0 {
		til = max(til, c.ration.next[zone])
	}
	return til
}

// sentTo takes a session from a zone's pace.
func (c *Controller) sentTo(zone int) {
	if r := c.ration.Ration; r != nil && zone >= 0 && zone < len(r.ZoneRates) && r.ZoneRates[zone] >= 0 {
		gap := math.Inf(1)
		if p := r.ZoneRates[zone] * c.unit; p > 0 {
			gap = 1 / p
		}
		c.ration.next[zone] = max(c.ration.next[zone], c.now) + min(gap, mostAwayS)
	}
}
