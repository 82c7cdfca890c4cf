package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newMeta(name string, startedAt int64, address string) Meta {
	return Meta{Name: name, Address: address, StartedUnixNano: startedAt}
}

func fiveMembers() []ConfiguredMember {
	return []ConfiguredMember{{"m1", "a"}, {"m2", "a"}, {"m3", "b"}, {"m4", "b"}, {"m5", "b"}}
}

func eventKinds(events []Event) (all []EventKind) {
	for _, e := range events {
		all = append(all, e.Kind)
	}
	return all
}

func TestEventSequence(t *testing.T) {
	now := time.Unix(1000, 0)
	tracker := NewTracker(newMeta("m1", 1, "1"), fiveMembers(), now)
	expect := func(f func(time.Time) []Event, want ...EventKind) {
		t.Helper()
		before := tracker.view.Number
		now = now.Add(100 * time.Millisecond)
		got := f(now)
		if !slices.Equal(eventKinds(got), want) {
			t.Errorf("%v, not %v", eventKinds(got), want)
		}
		if len(want) == 0 && tracker.view.Number != before {
			t.Error("numbered without a change")
		}
	}
	if v := tracker.View(); !v.NoQuorum || v.PresentCount != 1 || v.Number != 1 {
		t.Errorf("at the start: %+v", v)
	}
	alive := func(m Meta) func(time.Time) []Event {
		return func(n time.Time) []Event { return tracker.RecordAlive(m, n) }
	}
	expect(alive(newMeta("m2", 5, "2")), EventJoined)
	expect(alive(newMeta("m2", 5, "2")))
	expect(alive(newMeta("m3", 5, "3")), EventJoined, EventQuorumRegained)
	expect(func(n time.Time) []Event { return tracker.RecordSuspicion("m3", n) }, EventSuspected)
	expect(alive(newMeta("m3", 5, "3"))) // hearsay
	expect(func(n time.Time) []Event { return tracker.RecordAck("m3", n) }, EventSuspicionCleared)
	expect(func(n time.Time) []Event { return tracker.RecordSuspicion("m3", n) }, EventSuspected)
	expect(func(n time.Time) []Event { return tracker.RecordGone("m3", n) }, EventLost, EventQuorumLost)
	expect(func(n time.Time) []Event { return tracker.RecordGone("m3", n) })
	expect(alive(newMeta("m3", 5, "3")), EventRecovered, EventQuorumRegained)
	expect(alive(newMeta("m3", 9, "3")), EventRestarted)
	leaving := newMeta("m3", 9, "3")
	leaving.Leaving = true
	expect(alive(leaving), EventLeaving, EventQuorumLost)
	expect(func(n time.Time) []Event { return tracker.RecordGone("m3", n) }, EventLeft)
	expect(alive(newMeta("m3", 11, "3")), EventJoined, EventQuorumRegained)
	expect(alive(newMeta("x", 1, "9")), EventUnknownMember)
	expect(alive(newMeta("x", 1, "9")))
	now = now.Add(5 * time.Second)
	expect(tracker.Tick, EventProcessPaused)
	if !tracker.View().Stale {
		t.Error("not stale after a stand")
	}
	expect(func(n time.Time) []Event { return tracker.RecordAck("m2", n) }, EventViewRefreshed)
	half := NewTracker(newMeta("m1", 1, "1"), fiveMembers()[:4], now) // two of four: either half may be the one cut off
	if half.RecordAlive(newMeta("m2", 5, "2"), now); !half.View().NoQuorum {
		t.Error("a half is in company")
	}
	if half.RecordAlive(newMeta("m3", 5, "3"), now); half.View().NoQuorum {
		t.Error("three of four are alone")
	}
}

func TestDuplicateNames(t *testing.T) {
	now := time.Unix(1000, 0)
	earlier, later := newMeta("m2", 5, "2"), newMeta("m2", 7, "22")
	for _, first := range []Meta{earlier, later} {
		tracker := NewTracker(newMeta("m1", 1, "1"), fiveMembers(), now)
		tracker.RecordAlive(first, now)
		second := earlier
		if first == earlier {
			second = later
		}
		if tracker.Admits(second) != (second == earlier) {
			t.Errorf("%v beside %v", second, first)
		}
		events := tracker.RecordAlive(second, now)
		if events[0].Kind != EventDuplicateName || events[0].Member != earlier || events[0].Duplicate != later {
			t.Errorf("%v", events)
		}
		if got := tracker.view.Find("m2").Meta; got != earlier {
			t.Errorf("%v is in view", got)
		}
		tracker.RecordGone("m2", now) // an elder that is lost makes room
		if !tracker.Admits(later) || tracker.RecordAlive(later, now)[0].Kind != EventRestarted {
			t.Error("refused after the elder's end")
		}
	}
	// The two themselves: the elder is told, the younger is refused until it meets it no more.
	tracker := NewTracker(earlier, fiveMembers(), now)
	if got := eventKinds(tracker.RecordDuplicate(earlier, later, now)); !slices.Equal(got, []EventKind{EventDuplicateName}) || tracker.View().RefusedAsDuplicate {
		t.Error("elder", got)
	}
	tracker = NewTracker(later, fiveMembers(), now)
	if got := eventKinds(tracker.RecordDuplicate(later, earlier, now)); !slices.Equal(got, []EventKind{EventDuplicateName, EventSelfRefused}) || !tracker.View().RefusedAsDuplicate {
		t.Error("younger", got)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		tracker.Tick(now)
	}
	if tracker.View().RefusedAsDuplicate {
		t.Error("refused for good")
	}
}

// Whatever is reported in whatever order: views are numbered by one for each change and
// never without one; each member's course follows from its events; alone says what the
// count says; of two that are heard of at once the elder stays; what two Books hear in
// any order, without ends, leads to the same members.
func TestBookHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		tracker := NewTracker(newMeta("m1", 3, "1"), fiveMembers(), now)
		present := map[string]bool{"m1": true} // in view, by events alone
		v := tracker.View()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 50, 700, 2000, 40000}).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprintf("m%d", rapid.IntRange(1, 6).Draw(t, "name"))
			m := newMeta(name, int64(rapid.IntRange(1, 4).Draw(t, "life")), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "at"))
			m.Leaving = rapid.IntRange(0, 5).Draw(t, "leaves") == 0
			var events []Event
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				before := tracker.view.Find(name)
				keepsEarlier := before != nil && name != "m1" && before.Status.Present() && before.Address != m.Address && before.startedBefore(m)
				var previous Meta
				if before != nil {
					previous = before.Meta
				}
				admitted := tracker.Admits(m)
				events = tracker.RecordAlive(m, now)
				if keepsEarlier && (tracker.view.Find(name).Meta != previous || admitted) {
					t.Fatalf("the younger %v took the place of %v", m, previous)
				}
			case 2:
				events = tracker.RecordSuspicion(name, now)
			case 3:
				events = tracker.RecordAck(name, now)
			case 4:
				events = tracker.RecordGone(name, now)
			case 5:
				events = tracker.Tick(now)
			}
			for _, e := range events {
				switch e.Kind {
				case EventJoined, EventRestarted, EventRecovered:
					present[e.Member.Name] = true
				case EventLost, EventLeaving, EventLeft:
					delete(present, e.Member.Name)
				case EventSuspected, EventSuspicionCleared:
					if !present[e.Member.Name] {
						t.Fatalf("%v of one that is not in view", e)
					}
				}
			}
			next := tracker.View()
			changed := next.NoQuorum != v.NoQuorum || next.Stale != v.Stale || next.RefusedAsDuplicate != v.RefusedAsDuplicate
			for i := range next.Members {
				changed = changed || next.Members[i] != v.Members[i]
			}
			if next.Number != v.Number && next.Number != v.Number+1 || changed && next.Number == v.Number {
				t.Fatalf("view %d after %d, changed: %v, %v", next.Number, v.Number, changed, events)
			}
			if n := len(present); next.PresentCount != n || next.NoQuorum != (n <= 2) {
				t.Fatalf("%d in view, alone %v; by events %v", next.PresentCount, next.NoQuorum, present)
			}
			v = next
		}
	})
}
