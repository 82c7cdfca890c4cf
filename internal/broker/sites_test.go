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

// Reports of nodes are signs of the state of their site, except for reports that this manager
// itself caused.
func TestSignFromReport(t *testing.T) {
	for _, e := range []struct {
		report Report
		sign   site.Sign
		none   bool
	}{
		{report: Report{Kind: ReportStarted}, sign: site.SignHeard},
		{report: Report{Kind: ReportNote}, sign: site.SignHeard},
		{report: Report{Kind: ReportProbed, Status: control.OK}, sign: site.SignHeard},
		{report: Report{Kind: ReportEnded, Status: control.Full}, sign: site.SignHeard},
		{report: Report{Kind: ReportEnded, Status: control.Errored}, sign: site.SignHeard},
		{report: Report{Kind: ReportEnded, Status: control.ConnectFailed}, sign: site.SignUnreachable},
		{report: Report{Kind: ReportProbed, Status: control.ConnectFailed}, sign: site.SignUnreachable},
		{report: Report{Kind: ReportEnded, Status: control.TimedOut}, sign: site.SignNoAnswer},
		{report: Report{Kind: ReportEnded, Status: control.ConnectionReset}, sign: site.SignConnectionLost},
		{report: Report{Kind: ReportEnded, Status: control.ConnectionReset, ConnectionOnly: true}, sign: site.SignHeard},
		{report: Report{Kind: ReportEnded, Status: control.Cancelled}, none: true},
		{report: Report{Kind: ReportEnded, Status: control.NotSent}, none: true},
		{report: Report{Kind: ReportProbed, Status: control.NotSent}, none: true},
	} {
		if sign, ok := signFromReport(&e.report); ok == e.none || ok && sign != e.sign {
			t.Errorf("%+v: %v, %v", e.report, sign, ok)
		}
	}
}

// An episode is logged with its site, state, evidence and duration. Draining nodes and
// failures before a process pause are no evidence.
func TestSiteEpisodes(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	s := newSitePlanner(SiteConfig{Names: []string{"a", "b"}, SiteByZone: []int{0, 1}, Rules: make([]site.Rule, 2)}, control.Settings{}, zap.New(core))
	controller, err := control.New(testSettings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1000, 0)
	var entries []control.Entry
	for n := range 8 {
		entries = append(entries, control.Entry{Server: control.ServerID(n), State: control.Ready, Zone: n / 4})
	}
	entries = append(entries, control.Entry{Server: 9, State: control.Ready, Zone: 7}) // in an unknown zone
	s.ListUpdated(now, entries)
	reportRound := func(status control.Status) {
		for n := range 8 {
			now = now.Add(50 * time.Millisecond)
			r := Report{Kind: ReportEnded, Server: control.ServerID(n), Status: control.Full}
			if n >= 4 {
				r.Status = status
			}
			s.NodeReported(now, &r)
			s.Tick(now, brokerView{&Broker{controller: controller, nodes: &recorder{}}})
		}
	}
	ongoing := false // whether an episode is under way
	expectLogged := func(want ...string) {
		t.Helper()
		var got []string
		for _, l := range logs.TakeAll() {
			if l.Message != "site" {
				continue // a site plan
			}
			f := l.ContextMap()
			got = append(got, f["site"].(string)+" "+f["state"].(string))
			if f["evidence"] == "" {
				t.Error("the log line has no evidence")
			}
			if _, since := f["since"]; since != ongoing {
				t.Errorf("%v: since %v", got, f["since"])
			}
			ongoing = f["state"] != "present"
		}
		if !slices.Equal(got, want) {
			t.Errorf("logged %v, want %v", got, want)
		}
	}
	reportRound(control.Full)
	reportRound(control.ConnectFailed)
	s.ProcessPaused(now, 6*time.Second)
	reportRound(control.ConnectFailed)
	expectLogged("b thin")
	for i := range entries {
		if entries[i].Zone == 1 {
			entries[i].State = control.Draining
		}
	}
	s.ListUpdated(now, entries)
	for range 4 {
		reportRound(control.ConnectFailed)
	}
	expectLogged("b present") // none of its nodes is expected to be in service
	for i := range entries {
		entries[i].State = control.Ready
	}
	s.ListUpdated(now, entries)
	for range 3 {
		reportRound(control.ConnectFailed)
	}
	for range 3 {
		reportRound(control.Full)
	}
	expectLogged("b lost", "b back", "b present")
}
