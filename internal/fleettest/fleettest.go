// Package fleettest runs several processes of the program on loopback, together with
// simulated media nodes, simulated coordinators and simulated viewers, injects faults
// into the connections between them, and checks the recorded traffic against the rules
// of the protocol.
//
// A Fleet is built from a Scenario, a text file (see Parse) that lists the parties, the
// load and the order of the faults. Each pair of parties communicates through a Relay.
// Events are recorded at the relays, the nodes and the viewers, never from what the
// program reports about itself; Judge reads these events only.
//
// The processes are real, so the package runs in real time. Where a verdict depends on
// the order of events, a step waits for an observed event; timeouts only limit how long
// it waits. The package doesn't import testing, so that commands can use it too.
package fleettest

import "time"

// defaultWaitTimeout limits each wait for an event. It is only reached when something is
// broken; a shorter value makes no test pass that would fail with this one.
const defaultWaitTimeout = 30 * time.Second
