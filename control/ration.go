package control

import "math"

// maxRetryAfterS is the longest that a ration keeps a refused viewer away.
const maxRetryAfterS = 8

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

// rationState is what is left of a Ration.
type rationState struct {
	*Ration
	lastReturnAt []float64 // by class, when the last of the refused viewers comes again
	nextSendAt   []float64 // by zone, when this front may send there again
}

// onPlan takes what plans outside the module ask for: room for announced peaks, and
// a ration of the fleet.
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

// highestRung is the highest rung that a session may play on: its viewer's, and no more than
// a ration gives it by a lot of its own.
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

func extended(list []float64, n int) []float64 {
	return append(list, make([]float64, max(n-len(list), 0))...)
}

// overRation tells whether a new session is over its class's part. Of a part of a session
// a lot decides, so that the sum over all fronts comes out right. It harms where the
// plan takes this front's share for smaller than it is.
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

// retryAfterTime is how long a refused viewer is asked to stay away. Where a ration tells how often
// places get free, each is given the next time that nobody else has, so that they don't
// come back all at once.
func (c *Controller) retryAfterTime(s *session) float64 {
	ration := c.ration.Ration
	if ration == nil || s.class >= len(ration.RetryIntervalsS) || ration.RetryIntervalsS[s.class] <= 0 {
		return minRetryAfterS
	}
	lastReturnAt := &c.ration.lastReturnAt[s.class]
	*lastReturnAt = max(*lastReturnAt, c.now) + ration.RetryIntervalsS[s.class]/c.timeUnitS
	if *lastReturnAt-c.now > maxRetryAfterS {
		*lastReturnAt = c.now + maxRetryAfterS // who has no time left to be given comes by lot
		return max(minRetryAfterS, maxRetryAfterS*c.random())
	}
	return max(minRetryAfterS, *lastReturnAt-c.now)
}

// zoneBlockedUntil is until when nothing is sent to a zone: it seems lost, or its pace is used up.
func (c *Controller) zoneBlockedUntil(zone int) float64 {
	until := c.zoneLostUntil[zone]
	if ration := c.ration.Ration; ration != nil && zone >= 0 && zone < len(ration.ZoneRates) && ration.ZoneRates[zone] >= 0 {
		until = max(until, c.ration.nextSendAt[zone])
	}
	return until
}

// countZoneSend takes a session from a zone's pace.
func (c *Controller) countZoneSend(zone int) {
	if ration := c.ration.Ration; ration != nil && zone >= 0 && zone < len(ration.ZoneRates) && ration.ZoneRates[zone] >= 0 {
		interval := math.Inf(1)
		if rate := ration.ZoneRates[zone] * c.timeUnitS; rate > 0 {
			interval = 1 / rate
		}
		c.ration.nextSendAt[zone] = max(c.ration.nextSendAt[zone], c.now) + min(interval, maxRetryAfterS)
	}
}
