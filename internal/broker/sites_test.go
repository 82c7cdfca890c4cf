package broker

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"millethinge/control"
	"millethinge/internal/site"
)

// What nodes report is a sign of their site, or none: what this manager does itself
// says nothing.
func TestSigns(t *testing.T) {
	for _, e := range []struct {
		report Report
		sign   site.Sign
		none   bool
	}{
		{report: Report{Kind: Started}, sign: site.Heard},
		{report: Report{Kind: Noted}, sign: site.Heard},
		{report: Report{Kind: Probed, Status: control.OK}, sign: site.Heard},
		{report: Report{Kind: Ended, Status: control.Full}, sign: site.Heard},
		{report: Report{Kind: Ended, Status: control.Errored}, sign: site.Heard},
		{report: Report{Kind: Ended, Status: control.ConnectFailed}, sign: site.NoWay},
		{report: Report{Kind: Probed, Status: control.ConnectFailed}, sign: site.NoWay},
		{report: Report{Kind: Ended, Status: control.TimedOut}, sign: site.Silence},
		{report: Report{Kind: Ended, Status: control.ConnectionReset}, sign: site.Broke},
		{report: Report{Kind: Ended, Status: control.ConnectionReset, Confined: true}, sign: site.Heard},
		{report: Report{Kind: Ended, Status: control.Cancelled}, none: true},
		{report: Report{Kind: Ended, Status: control.NotSent}, none: true},
		{report: Report{Kind: Probed, Status: control.NotSent}, none: true},
	} {
		if sign, ok := signOf(&e.report); ok == e.none || ok && sign != e.sign {
			t.Errorf("%+v: %v, %v", e.report, sign, ok)
		}
	}
}

// An episode is logged with its site, state, evidence and how long it has lasted. A
// node that drains is no evidence, nor is what failed before the program stood still.
func TestSiteEpisodes(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	s := newSites(Sites{Names: []string{"a", "b"}, Of: []int{0, 1}, Rules: make([]site.Rule, 2)}, control.Settings{}, zap.New(core))
	ctl, err := control.New(settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	var list []control.Entry
	for n := range 8 {
		list = append(list, control.Entry{Server: control.ServerID(n), State: control.Ready, Zone: n / 4})
	}
	list = append(list, control.Entry{Server: 9, State: control.Ready, Zone: 7}) // of no zone that is known
	s.Listed(now, list)
	round := func(status control.Status) {
		for n := range 8 {
			now = now.Add(50 * time.Millisecond)
			r := Report{Kind: Ended, Server: control.ServerID(n), Status: control.Full}
			if n >= 4 {
				r.Status = status
			}
			s.Reported(now, &r)
			s.Tick(now, view{&Broker{ctl: ctl, nodes: &fake{}}})
		}
	}
	lasts := false // an episode
	told := func(want ...string) {
		t.Helper()
		var got []string
		for _, l := range logs.TakeAll() {
			if l.Message != "site" {
				continue // what is planned
			}
			f := l.ContextMap()
			got = append(got, f["site"].(string)+" "+f["state"].(string))
			if f["evidence"] == "" {
				t.Error("no evidence")
			}
			if _, since := f["since"]; since != lasts {
				t.Errorf("%v: since %v", got, f["since"])
			}
			lasts = f["state"] != "present"
		}
		if !slices.Equal(got, want) {
			t.Errorf("told %v, want %v", got, want)
		}
	}
	round(control.Full)
	round(control.ConnectFailed)
	s.Stalled(now, 6*time.Second)
	round(control.ConnectFailed)
	told("b thin")
	for i := range list {
		if list[i].Zone == 1 {
			list[i].State = control.Draining
		}
	}
	s.Listed(now, list)
	for range 4 {
		round(control.ConnectFailed)
	}
	told("b present") // nothing of it is expected to be there
	for i := range list {
		list[i].State = control.Ready
	}
	s.Listed(now, list)
	for range 3 {
		round(control.ConnectFailed)
	}
	for range 3 {
		round(control.Full)
	}
	told("b lost", "b back", "b present")
}
