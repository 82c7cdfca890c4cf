package control

import "math"

// maxRetryAfterS, in time units, is the longest time for which a ration keeps a refused
// viewer away, and the longest that it keeps this manager from sending to a zone again.
const maxRetryAfterS = 8

// Ration is this manager's share of what a plan for the whole fleet allows. A nil
// Ration allows everything; so does a figure below 0, or one that is missing.
type Ration struct {
	SessionLimits   []float64 // by class, sessions that this manager may hold at a time
	RetryIntervalsS []float64 // by class, s between the returns of two refused viewers; 0: not spread
	ZoneRates       []float64 // by zone, sessions a second that this manager may send there
	// RungShares is, by class, the cumulative distribution of sessions over rungs:
	// RungShares[class][rung] is the share that plays at that rung or a lower one. An
	// established session above its highest allowed rung is lowered at once, to free
	// capacity.
	RungShares [][]float64
}

// rationState is a Ration with what has been used of it.
type rationState struct {
	*Ration
	lastReturnAt []float64 // by class, when the last of the refused viewers is to return
	nextSendAt   []float64 // by zone, when this manager may send there again
}

// onPlan takes what plans outside this package decide: slots held for announced
// peaks, and a ration of the fleet.
func (c *Controller) onPlan(e Event) {
	if e.Kind == EventHold {
		c.heldShares = append(c.heldShares[:0], e.HeldShares...)
		return
	}
	c.ration.Ration = e.Ration
	if e.Ration == nil {
		c.ration = rationState{}
		return
	}
	c.ration.lastReturnAt = extended(c.ration.lastReturnAt, len(e.Ration.RetryIntervalsS))
	c.ration.nextSendAt = extended(c.ration.nextSendAt, len(e.Ration.ZoneRates))
	for _, sv := range c.serverOrder {
		for _, s := range sv.sessions {
			if highest := c.highestRung(s); s.playing && s.rung > highest {
				c.setRung(s, highest)
			}
		}
	}
}

// highestRung is the highest rung at which a session may play: at most its topRung, and
// at most what the ration allows. Which of the ration's shares a session falls into
// follows from a hash of its ID, so it stays the same from call to call.
func (c *Controller) highestRung(s *session) int {
	ration := c.ration.Ration
	if ration == nil || s.class >= len(ration.RungShares) || len(ration.RungShares[s.class]) == 0 {
		return s.topRung
	}
	draw := hashToUnit(c.seed^uint64(s.id), uint64(len(ration.RungShares)))
	for rung, share := range ration.RungShares[s.class] {
		if draw <= share {
			return max(min(rung, s.topRung), min(c.cfg.Classes[s.class].FloorRung, s.topRung))
		}
	}
	return s.topRung
}

// extended returns the list, lengthened with zeros to at least n elements.
func extended(list []float64, n int) []float64 {
	return append(list, make([]float64, max(n-len(list), 0))...)
}

// overRation reports whether a new session is over its class's limit. A limit that is
// not whole is rounded up or down by a random number of each session, so that on
// average the limits of all managers add up to the fleet's. It refuses too many where
// the plan takes this manager's share for smaller than it is.
func (c *Controller) overRation(s *session) bool {
	ration := c.ration.Ration
	if ration == nil || s.class >= len(ration.SessionLimits) || ration.SessionLimits[s.class] < 0 {
		return false
	}
	n := hashToUnit(c.seed, uint64(s.id))
	for _, o := range c.sessions {
		if o != s && o.class == s.class && !o.requestEnded {
			n++
		}
	}
	return n > ration.SessionLimits[s.class]
}

// retryAfterTime is how long a refused viewer is asked to stay away. Where a ration
// tells how often places get free, each viewer gets the next time that no other
// has, so that they don't all return at once.
func (c *Controller) retryAfterTime(s *session) float64 {
	ration := c.ration.Ration
	if ration == nil || s.class >= len(ration.RetryIntervalsS) || ration.RetryIntervalsS[s.class] <= 0 {
		return minRetryAfterS
	}
	lastReturnAt := &c.ration.lastReturnAt[s.class]
	*lastReturnAt = max(*lastReturnAt, c.now) + ration.RetryIntervalsS[s.class]/c.timeUnitS
	// All return times up to maxRetryAfterS are taken: return a random one of them.
	if *lastReturnAt-c.now > maxRetryAfterS {
		*lastReturnAt = c.now + maxRetryAfterS
		return max(minRetryAfterS, maxRetryAfterS*c.random())
	}
	return max(minRetryAfterS, *lastReturnAt-c.now)
}

// zoneBlockedUntil is until when nothing is sent to a zone: it seems lost, or the
// ration's rate for it is used up.
func (c *Controller) zoneBlockedUntil(zone int) float64 {
	until := c.zoneLostUntil[zone]
	if ration := c.ration.Ration; ration != nil && zone >= 0 && zone < len(ration.ZoneRates) && ration.ZoneRates[zone] >= 0 {
		until = max(until, c.ration.nextSendAt[zone])
	}
	return until
}

// spaceZoneSends sets the earliest time of the next send to a zone, as the ration's
// rate for it requires. The interval between sends is at most maxRetryAfterS, also if
// the rate is 0.
func (c *Controller) spaceZoneSends(zone int) {
	if ration := c.ration.Ration; ration != nil && zone >= 0 && zone < len(ration.ZoneRates) && ration.ZoneRates[zone] >= 0 {
		interval := math.Inf(1)
		if rate := ration.ZoneRates[zone] * c.timeUnitS; rate > 0 {
			interval = 1 / rate
		}
		c.ration.nextSendAt[zone] = max(c.ration.nextSendAt[zone], c.now) + min(interval, maxRetryAfterS)
	}
}
