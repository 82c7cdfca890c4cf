package directory

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"millethinge/control"
)

// parsePhases returns updates; each names members by id and the first letter of their phase: i for
// in_service, t for terminating, x for terminated. The first update is the whole list.
func parsePhases(t *testing.T, index int, updates ...string) Updates {
	t.Helper()
	phases := map[byte]string{'i': phaseInService, 't': phaseTerminating, 'x': phaseTerminated}
	var told []string
	for _, update := range updates {
		var members []string
		for _, m := range strings.Fields(update) {
			members = append(members, fmt.Sprintf(`{"id":%q,"host_port":"h:1","phase":%q}`, m[:1], phases[m[1]]))
		}
		told = append(told, fmt.Sprintf(`{"index":%d,"endpoints":{"complete":%t,"members":[%s]}}`, index, index == 1, strings.Join(members, ",")))
		index++
	}
	u, err := ParseUpdates(fmt.Appendf(nil, `{"index":%d,"updates":[%s]}`, index-1, strings.Join(told, ",")))
	if err != nil {
		t.Fatal(err)
	}
	return u
}

// listedNodes is a list that a Sink keeps.
type listedNodes map[string]control.ServerState

func (l listedNodes) sink(c Change) {
	if c.Full {
		clear(l)
	}
	for _, m := range c.Members {
		if l[m.ID] = m.State; m.State == control.Gone {
			delete(l, m.ID)
		}
	}
}

// String returns the list in the form of parsePhases.
func (l listedNodes) String() string {
	var out []string
	for _, id := range slices.Sorted(maps.Keys(l)) {
		out = append(out, id+map[control.ServerState]string{control.Ready: "i", control.Draining: "t"}[l[id]])
	}
	return strings.Join(out, " ")
}

// The list of another process counts only if it was told later than the one here, by the index in one
// series of updates and by the time else, and only until the coordinator has told this process what
// it has. A response that lags behind the inherited list counts when it comes twice.
func TestInheritedList(t *testing.T) {
	start := time.Unix(1000, 0)
	known := parsePhases(t, 1, "ai bi")
	snapshot := func(index uint64, toldS int, renumbered int, ids string) Snapshot {
		set := make(nodeSet)
		set.apply(parsePhases(t, 1, ids).Updates[0].Endpoints)
		return Snapshot{Index: index, Nodes: set.sorted(), ReceivedAt: start.Add(time.Duration(toldS) * time.Second), KnownHash: known.hash(), Renumbered: renumbered}
	}
	other := parsePhases(t, 1, "ci")
	elsewhere := snapshot(9, 5, 0, "di")
	elsewhere.KnownHash = other.hash()
	for name, play := range map[string]struct {
		known     Updates
		writtenAt time.Time
		steps     []any  // Updates: a response; Snapshot: of another process
		want      string // the list after each step
	}{
		"newer":                              {known, start, []any{snapshot(3, 1, 0, "at ci")}, "at ci"},
		"the same index, told":               {known, start, []any{snapshot(1, 1, 0, "at")}, "at"},
		"a newer one follows":                {known, start, []any{snapshot(3, 1, 0, "at"), snapshot(4, 2, 0, "bi"), snapshot(2, 3, 0, "ci")}, "at, bi, bi"},
		"caught up":                          {known, start, []any{snapshot(3, 1, 0, "at"), parsePhases(t, 2, "at", "bt", "ci")}, "at, at bt ci"},
		"in parts":                           {known, start, []any{snapshot(3, 1, 0, "at"), withIndex(parsePhases(t, 2, "bt"), 3), parsePhases(t, 3, "at")}, "at, at, at bt"},
		"a replica lags":                     {known, start, []any{snapshot(3, 1, 0, "at ci"), parsePhases(t, 2, "bt"), parsePhases(t, 3, "bx ci", "at")}, "at ci, at ci, at ci"},
		"numbered anew at this start":        {known, start, []any{snapshot(3, 1, 0, "at ci"), parsePhases(t, 2, "bt"), Updates{Index: 2}, parsePhases(t, 1, "di", "ei")}, "at ci, at ci, at ci, di ei"},
		"numbered anew before":               {known, start, []any{snapshot(1, 1, 1, "ci"), parsePhases(t, 2, "bt")}, "ci, ai bt"},
		"numbered anew, then changed":        {parsePhases(t, 5, "ai"), start.Add(-time.Hour), []any{snapshot(2, 1, 1, "ci")}, "ci"},
		"told already, newer elsewhere":      {known, start, []any{parsePhases(t, 2, "at"), snapshot(3, 1, 0, "bt"), parsePhases(t, 3, "ai")}, "at bi, bt, ai bi"},
		"told already, older elsewhere":      {known, start, []any{parsePhases(t, 2, "at"), snapshot(1, 9, 0, "bt")}, "at bi, at bi"},
		"another series, told before":        {known, start, []any{parsePhases(t, 2, "at"), elsewhere}, "at bi, at bi"},
		"another series, told later":         {known, start, []any{parsePhases(t, 2, "at"), later(elsewhere, time.Hour), Updates{Index: 2}}, "at bi, di, at bi"},
		"another series, a moment later":     {known, start, []any{parsePhases(t, 2, "at"), later(elsewhere, time.Second)}, "at bi, at bi"},
		"configuration written later":        {other, start.Add(2 * time.Second), []any{snapshot(3, 1, 0, "at")}, "ci"},
		"configuration of higher index":      {parsePhases(t, 4, "ci"), start, []any{snapshot(3, 1, 0, "at")}, "ci"},
		"configuration written before":       {other, start, []any{snapshot(3, 1, 0, "at")}, "at"},
		"configuration written again":        {known, start.Add(2 * time.Second), []any{snapshot(3, 1, 0, "at")}, "at"},
		"configuration without a list":       {Updates{}, start.Add(2 * time.Second), []any{snapshot(3, 1, 0, "at")}, "at"},
		"told after the newer configuration": {other, start.Add(2 * time.Second), []any{snapshot(3, 1, 0, "at"), snapshot(4, 3, 0, "bt")}, "ci, bt"},
	} {
		t.Run(name, func(t *testing.T) {
			listed := make(listedNodes)
			c := NewCoordinatorClient(play.known, names, listed.sink, zap.NewNop())
			c.SetKnownTime(play.writtenAt)
			var got []string
			for _, step := range play.steps {
				switch step := step.(type) {
				case Updates:
					c.applyResponse(step, c.lastIndex, time.Now())
				case Snapshot:
					if _, err := c.Inherit(step); err != nil {
						t.Fatal(err)
					}
				}
				got = append(got, listed.String())
			}
			if got := strings.Join(got, ", "); got != play.want {
				t.Errorf("lists %q, want %q", got, play.want)
			}
		})
	}
}

// later returns a snapshot that is received after some time from now.
func later(s Snapshot, after time.Duration) Snapshot {
	s.ReceivedAt = time.Now().Add(after)
	return s
}

// withIndex returns updates that are followed by others, up to index.
func withIndex(u Updates, index uint64) Updates {
	u.Index = index
	return u
}

// A snapshot must hold the list and index that the coordinator told, once for each change, and not
// what was inherited or is known by the configuration only. An invalid one changes nothing.
func TestSnapshot(t *testing.T) {
	listed := make(listedNodes)
	c := NewCoordinatorClient(parsePhases(t, 1, "ai bi"), names, listed.sink, zap.NewNop())
	var revision uint64
	expect := func(index uint64, want string) (s Snapshot) {
		t.Helper()
		s, next, ok := c.Snapshot(revision)
		if ok != (want != "") || ok && (s.Index != index || next == revision) {
			t.Errorf("snapshot %t of index %d, want %q of %d", ok, s.Index, want, index)
		}
		revision = next
		copied := make(listedNodes)
		for _, n := range s.Nodes {
			copied[n.ID] = n.member(names).State
		}
		if copied.String() != want {
			t.Errorf("snapshot of %q, want %q", copied, want)
		}
		return s
	}
	expect(0, "")
	c.applyResponse(Updates{Index: 1}, 1, time.Now())
	expect(1, "ai bi")
	c.applyResponse(Updates{Index: 1}, 1, time.Now())
	expect(0, "")
	c.applyResponse(parsePhases(t, 2, "at", "bx ci"), 1, time.Now())
	s := expect(3, "at ci")
	s.Index, s.Nodes = 4, append(slices.Clone(s.Nodes), Node{ID: "d", HostPort: "h", Phase: phaseInService})
	if used, err := c.Inherit(s); used || err == nil || listed.String() != "at ci" {
		t.Error("an invalid list is used:", used, err, listed)
	}
	s.Nodes = s.Nodes[:1]
	if used, err := c.Inherit(s); !used || err != nil || listed.String() != "at" {
		t.Error("a valid list is not used:", used, err, listed)
	}
	expect(0, "")
}

// Applied to one list, the change to another must make it that list, for whatever differs.
func TestChangeBetweenLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		node := rapid.Custom(func(t *rapid.T) Node {
			return Node{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), HostPort: rapid.SampledFrom([]string{"h:1", "h:2"}).Draw(t, "addr"),
				Phase: rapid.SampledFrom([]string{phaseInService, phaseTerminating}).Draw(t, "phase"), Locality: rapid.SampledFrom([]string{"east", "west"}).Draw(t, "zone"),
				Cell: rapid.IntRange(0, 1).Draw(t, "cell"), UpSinceMS: rapid.Int64Range(0, 1).Draw(t, "up")}
		})
		from, to := newNodeSet(rapid.SliceOf(node).Draw(t, "from")), newNodeSet(rapid.SliceOf(node).Draw(t, "to"))
		members := func(s nodeSet) map[string]Member {
			m := make(map[string]Member)
			for _, n := range s {
				m[n.ID] = n.member(names)
			}
			return m
		}
		got := members(from)
		for _, m := range from.changeTo(to, names).Members {
			if got[m.ID] = m; m.State == control.Gone {
				delete(got, m.ID)
			}
		}
		if !maps.Equal(got, members(to)) {
			t.Errorf("got %v, want %v", got, members(to))
		}
		if c := to.changeTo(to, names); len(c.Members) > 0 {
			t.Errorf("a list differs from itself by %v", c)
		}
	})
}

// Instances of another process must be used until their TTL expires or the DNS server lists the
// instances here, and only those of the same service.
func TestInheritedInstances(t *testing.T) {
	listed := make(listedNodes)
	d := &DNSSDClient{Service: "_Rtsp._tcp.media.example.", Names: names, Sink: listed.sink, Log: zap.NewNop()}
	now := time.Now()
	instance := func(name string, ttl time.Duration) Instance {
		return Instance{Node{ID: name, HostPort: "127.0.0.1:1", Phase: phaseInService}, now.Add(ttl)}
	}
	expect := func(what, want string) {
		t.Helper()
		if got := strings.Join(slices.Sorted(maps.Keys(listed)), " "); got != strings.ReplaceAll(want, "*", "."+service) {
			t.Errorf("%s: %s; want %s", what, got, want)
		}
	}
	stored := []Instance{instance("a."+service, time.Minute), instance("b."+service, time.Second), instance("c."+service, -time.Second), instance("d.other.example", time.Minute)}
	if used, err := d.Inherit(stored, now); used != 2 || err != nil {
		t.Error(used, err)
	}
	expect("inherited", "a* b*")
	if _, _, ok := d.Instances(0); ok {
		t.Error("inherited instances are stored again")
	}
	d.expire(now.Add(2 * time.Second))
	expect("one expired", "a*")
	stored[0].Node.HostPort = "h"
	if used, err := d.Inherit(stored, now); used != 0 || err == nil {
		t.Error("invalid instances are used", err)
	}
	d.noteAnswered()
	if used, err := d.Inherit([]Instance{instance("e."+service, time.Minute)}, now); used != 0 || err != nil {
		t.Error("instances are inherited after the server's answer", err)
	}
	expect("answered", "a*")
	if instances, _, ok := d.Instances(0); !ok || len(instances) != 1 || !instances[0].Expires.Equal(now.Add(time.Minute)) {
		t.Error(instances, ok)
	}
}
