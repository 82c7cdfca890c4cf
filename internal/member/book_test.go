package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func meta(name string, life int64, at string) Meta {
	return Meta{Name: name, Address: at, StartedUnixNano: life}
}

func five() []ConfiguredMember {
	return []ConfiguredMember{{"m1", "a"}, {"m2", "a"}, {"m3", "b"}, {"m4", "b"}, {"m5", "b"}}
}

func whats(events []Event) (all []EventKind) {
	for _, e := range events {
		all = append(all, e.Kind)
	}
	return all
}

func TestCourse(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewTracker(meta("m1", 1, "1"), five(), now)
	at := func(f func(time.Time) []Event, want ...EventKind) {
		t.Helper()
		before := b.view.Number
		now = now.Add(100 * time.Millisecond)
		got := f(now)
		if !slices.Equal(whats(got), want) {
			t.Errorf("%v, not %v", whats(got), want)
		}
		if len(want) == 0 && b.view.Number != before {
			t.Error("numbered without a change")
		}
	}
	if v := b.View(); !v.NoQuorum || v.PresentCount != 1 || v.Number != 1 {
		t.Errorf("at the start: %+v", v)
	}
	alive := func(m Meta) func(time.Time) []Event { return func(n time.Time) []Event { return b.RecordAlive(m, n) } }
	at(alive(meta("m2", 5, "2")), EventJoined)
	at(alive(meta("m2", 5, "2")))
	at(alive(meta("m3", 5, "3")), EventJoined, EventQuorumRegained)
	at(func(n time.Time) []Event { return b.RecordSuspicion("m3", n) }, EventSuspected)
	at(alive(meta("m3", 5, "3"))) // hearsay
	at(func(n time.Time) []Event { return b.RecordAck("m3", n) }, EventSuspicionCleared)
	at(func(n time.Time) []Event { return b.RecordSuspicion("m3", n) }, EventSuspected)
	at(func(n time.Time) []Event { return b.RecordGone("m3", n) }, EventLost, EventQuorumLost)
	at(func(n time.Time) []Event { return b.RecordGone("m3", n) })
	at(alive(meta("m3", 5, "3")), EventRecovered, EventQuorumRegained)
	at(alive(meta("m3", 9, "3")), EventRestarted)
	leaving := meta("m3", 9, "3")
	leaving.Leaving = true
	at(alive(leaving), EventLeaving, EventQuorumLost)
	at(func(n time.Time) []Event { return b.RecordGone("m3", n) }, EventLeft)
	at(alive(meta("m3", 11, "3")), EventJoined, EventQuorumRegained)
	at(alive(meta("x", 1, "9")), EventUnknownMember)
	at(alive(meta("x", 1, "9")))
	now = now.Add(5 * time.Second)
	at(b.Tick, EventProcessPaused)
	if !b.View().Stale {
		t.Error("not stale after a stand")
	}
	at(func(n time.Time) []Event { return b.RecordAck("m2", n) }, EventViewRefreshed)
	half := NewTracker(meta("m1", 1, "1"), five()[:4], now) // two of four: either half may be the one cut off
	if half.RecordAlive(meta("m2", 5, "2"), now); !half.View().NoQuorum {
		t.Error("a half is in company")
	}
	if half.RecordAlive(meta("m3", 5, "3"), now); half.View().NoQuorum {
		t.Error("three of four are alone")
	}
}

func TestTwins(t *testing.T) {
	now := time.Unix(1000, 0)
	elder, younger := meta("m2", 5, "2"), meta("m2", 7, "22")
	for _, first := range []Meta{elder, younger} {
		b := NewTracker(meta("m1", 1, "1"), five(), now)
		b.RecordAlive(first, now)
		second := elder
		if first == elder {
			second = younger
		}
		if b.Admits(second) != (second == elder) {
			t.Errorf("%v beside %v", second, first)
		}
		events := b.RecordAlive(second, now)
		if events[0].Kind != EventDuplicateName || events[0].Member != elder || events[0].Duplicate != younger {
			t.Errorf("%v", events)
		}
		if got := b.view.Find("m2").Meta; got != elder {
			t.Errorf("%v is in view", got)
		}
		b.RecordGone("m2", now) // an elder that is lost makes room
		if !b.Admits(younger) || b.RecordAlive(younger, now)[0].Kind != EventRestarted {
			t.Error("refused after the elder's end")
		}
	}
	// The two themselves: the elder is told, the younger is refused until it meets it no more.
	b := NewTracker(elder, five(), now)
	if got := whats(b.RecordDuplicate(elder, younger, now)); !slices.Equal(got, []EventKind{EventDuplicateName}) || b.View().RefusedAsDuplicate {
		t.Error("elder", got)
	}
	b = NewTracker(younger, five(), now)
	if got := whats(b.RecordDuplicate(younger, elder, now)); !slices.Equal(got, []EventKind{EventDuplicateName, EventSelfRefused}) || !b.View().RefusedAsDuplicate {
		t.Error("younger", got)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		b.Tick(now)
	}
	if b.View().RefusedAsDuplicate {
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
		b := NewTracker(meta("m1", 3, "1"), five(), now)
		seen := map[string]bool{"m1": true} // in view, by events alone
		v := b.View()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 50, 700, 2000, 40000}).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprintf("m%d", rapid.IntRange(1, 6).Draw(t, "name"))
			m := meta(name, int64(rapid.IntRange(1, 4).Draw(t, "life")), rapid.SampledFrom([]string{"1", "2"}).Draw(t, "at"))
			m.Leaving = rapid.IntRange(0, 5).Draw(t, "leaves") == 0
			var events []Event
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1:
				before := b.view.Find(name)
				stays := before != nil && name != "m1" && before.Status.Present() && before.Address != m.Address && before.older(m)
				var was Meta
				if before != nil {
					was = before.Meta
				}
				admitted := b.Admits(m)
				events = b.RecordAlive(m, now)
				if stays && (b.view.Find(name).Meta != was || admitted) {
					t.Fatalf("the younger %v took the place of %v", m, was)
				}
			case 2:
				events = b.RecordSuspicion(name, now)
			case 3:
				events = b.RecordAck(name, now)
			case 4:
				events = b.RecordGone(name, now)
			case 5:
				events = b.Tick(now)
			}
			for _, e := range events {
				switch e.Kind {
				case EventJoined, EventRestarted, EventRecovered:
					seen[e.Member.Name] = true
				case EventLost, EventLeaving, EventLeft:
					delete(seen, e.Member.Name)
				case EventSuspected, EventSuspicionCleared:
					if !seen[e.Member.Name] {
						t.Fatalf("%v of one that is not in view", e)
					}
				}
			}
			next := b.View()
			changed := next.NoQuorum != v.NoQuorum || next.Stale != v.Stale || next.RefusedAsDuplicate != v.RefusedAsDuplicate
			for i := range next.Members {
				changed = changed || next.Members[i] != v.Members[i]
			}
			if next.Number != v.Number && next.Number != v.Number+1 || changed && next.Number == v.Number {
				t.Fatalf("view %d after %d, changed: %v, %v", next.Number, v.Number, changed, events)
			}
			if n := len(seen); next.PresentCount != n || next.NoQuorum != (n <= 2) {
				t.Fatalf("%d in view, alone %v; by events %v", next.PresentCount, next.NoQuorum, seen)
			}
			v = next
		}
	})
}
