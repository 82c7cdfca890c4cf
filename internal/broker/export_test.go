package broker

import "millethinge/control"

// HoldAlways holds shares of the slots, by class, from the start on, like a fixed reserve. It
// must be called before Run.
func (b *Broker) HoldAlways(shares []float64) {
	b.dispatch(control.Event{Kind: control.EventHold, HeldShares: shares})
}
