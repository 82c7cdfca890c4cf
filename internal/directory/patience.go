package directory

import "time"

// patience is the time for which an answer of a peer is awaited. It doubles each time that it
// runs out, up to a limit: a peer that is slower than the present patience is heard in the end.
// It reads no clock.
type patience struct {
	shortest, longest time.Duration
	current           time.Duration // 0: shortest
}

// bound returns how long an answer is awaited now.
func (p *patience) bound() time.Duration { return max(p.current, p.shortest) }

// ranOut records that no answer came within the bound.
func (p *patience) ranOut() { p.current = min(2*p.bound(), p.longest) }

// heard records an answer that took this long. The next one may take twice as long.
func (p *patience) heard(took time.Duration) {
	p.current = min(max(2*took, p.shortest), p.longest)
}
