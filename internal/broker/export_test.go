package broker

import "millethinge/control"

// HoldAlways has a part of the room held from the start on, as a plain reserve
// would. It is to be called before Run.
func (b *Broker) HoldAlways(shares []float64) {
	b.dispatch(control.Event{Kind: control.EventHold, HeldShares: shares})
}
