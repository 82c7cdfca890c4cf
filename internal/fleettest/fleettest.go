// Package fleettest starts several processes of the program on loopback, with
// stand-in media nodes, a stand-in coordinator and viewers, puts faults between
// them, and judges what passed by the rules.
//
// A Fleet is built from a Scenario, which is a text file (see Parse): what there
// is, what load it bears, and what fails when. Every pair of parties meets through
// a Relay. Records are taken at the relays, the nodes and the viewers, never from
// what the program says of itself; Judge reads them alone.
//
// Real time is used: the processes are real. What happens when is tied to what has
// been seen wherever a verdict depends on the order, and times bound only how long
// something is waited for. The package uses nothing of testing, so that a command
// may use it too.
package fleettest

import "time"

// defaultWaitTimeout bounds what is waited for. Nothing passes by being faster.
const defaultWaitTimeout = 30 * time.Second
