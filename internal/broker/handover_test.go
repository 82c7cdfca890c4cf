package broker

import (
	"testing"

	"millethinge/control"
)

// clientAtHost is a Client that knows its viewer's host.
type clientAtHost struct {
	*recorder
	host string
}

func (a clientAtHost) From() string { return a.host }

// Established sessions are handed over once, and the final Handover has those that have ended
// since. No session is interrupted. The successor has each session once, reports its end, and
// assigns it to the viewer that names it.
func TestHandover(t *testing.T) {
	predecessor, oldCalls := newTestBroker(t)
	var initial Handover
	predecessor.sendHandover = func(e Handover) { initial = e }
	for id := control.SessionID(1); id <= 3; id++ {
		predecessor.submitNow(oldCalls, id, feed, -1, 0)
		predecessor.reportNow(id, ReportStarted, 0)
		predecessor.sessions[id].client = clientAtHost{oldCalls, "h1"}
	}
	oldCalls.takeCalls()
	serverOf := func(id control.SessionID) control.ServerID { return predecessor.sessions[id].server }
	server1, server2, server3 := serverOf(1), serverOf(2), serverOf(3)
	predecessor.handleMessage(drainRequest{forSuccessor: true})
	if len(initial.Sessions) != 3 || initial.Final || initial.Sessions[0].ViewerHost != "h1" {
		t.Fatalf("%+v", initial)
	}
	predecessor.handleMessage(Report{Kind: ReportEnded, Server: server2, ID: 2, Status: control.ConnectionReset, Cause: CauseInterrupted})
	predecessor.drainStart = predecessor.drainStart.Add(-predecessor.minDrainTime())
	predecessor.checkDrained()
	final := predecessor.FinalHandover()
	if got := oldCalls.takeCalls(); len(final.Sessions) != 2 || !final.Final || final.Ended[2] != CauseInterrupted || got != "ended 2" {
		t.Fatalf("%+v; calls: %s", final, got)
	}

	successor, newCalls := newTestBroker(t)
	clientFor := func(string) Client { return newCalls }
	successor.handleMessage(adoption{initial, clientFor})
	successor.handleMessage(adoption{initial, clientFor}) // the file is read twice
	if len(successor.sessions) != 3 {
		t.Fatalf("%d sessions", len(successor.sessions))
	}
	successor.handleMessage(Report{Kind: ReportEnded, Server: server3, ID: 3, Status: control.OK, Cause: CauseEnded})
	if got := newCalls.takeCalls(); got != "ended 3" {
		t.Error(got)
	}
	successor.handleMessage(adoption{final, clientFor}) // it still lists session 3, whose end the successor knows
	if got := newCalls.takeCalls(); got != "teardown 2, ended 2" || len(successor.sessions) != 1 {
		t.Errorf("%s; %d sessions", got, len(successor.sessions))
	}
	successor.handleMessage(adoption{initial, clientFor}) // from another predecessor, which knows of no ends
	if got := newCalls.takeCalls(); got != "" || len(successor.sessions) != 1 {
		t.Errorf("%s; %d sessions", got, len(successor.sessions))
	}
	viewer := &recorder{}
	successor.handleMessage(Request{ID: 1, Class: feed, Team: -1, PlayingOn: server1, Client: viewer})
	successor.handleMessage(Report{Kind: ReportEnded, Server: server1, ID: 1, Status: control.OK, Cause: CauseEnded})
	if got := viewer.takeCalls() + newCalls.takeCalls(); got != "ended 1" || len(successor.sessions) != 0 {
		t.Errorf("%s; %d sessions", got, len(successor.sessions))
	}
}
