// Package peaks plans for peaks that are announced: how much room to hold for
// them, from when, and when to give it back. It does no I/O and is told the time.
package peaks

import (
	"cmp"
	"slices"
	"time"
)

// Days says on which dates a peak is.
type Days struct {
	Dates    []Day   // these only
	OfMonth  []int   // 1 to 31; 0: the last
	Weekdays [7]bool // by time.Weekday
	Daily    bool
}

// Day is a date without a zone.
type Day struct {
	Year  int
	Month time.Month
	Day   int
}

// Peak is an announcement.
type Peak struct {
	Name string
	Days Days
	At   time.Duration // the time of day at which it begins
	Zone *time.Location

	Length time.Duration // from its begin to its end
	Ramp   time.Duration // over which it comes, and after its end goes
	Lead   time.Duration // before it, for which room is held at most
	Early  time.Duration // by how much it may come too early

	Classes     []bool  // by class: which ones more viewers come for
	Factor      float64 // of the ordinary rate; 0: Rate is given
	ExtraRate   float64 // more sessions a second over all managers and classes
	Probability float64 // how likely it is to come, from 0 to 1
	MaxHarm     float64 // the most part of the ordinary sessions' room that a hold may take
}

// Occurrence is one time that a peak is announced for.
type Occurrence struct {
	Peak       *Peak
	PeakIndex  int // of the peak in its calendar
	Begin, End time.Time
}

// Window is the widest time in which anything may be held for an occurrence.
func (o Occurrence) Window() (from, until time.Time) {
	return o.Begin.Add(-o.Peak.Early - o.Peak.Lead), o.End.Add(o.Peak.Ramp)
}

// Level is how much of the peak there is at a time, from 0 to 1, if it comes as it
// was announced: it rises over the ramp from its begin on, and falls over the ramp
// after its end.
func (o Occurrence) Level(t time.Time) float64 {
	switch ramp := o.Peak.Ramp; {
	case t.Before(o.Begin) || !t.Before(o.End.Add(ramp)):
		return 0
	case t.Before(o.Begin.Add(ramp)):
		return float64(t.Sub(o.Begin)) / float64(ramp)
	case t.Before(o.End):
		return 1
	default:
		return 1 - float64(t.Sub(o.End))/float64(ramp)
	}
}

// ClassExtraRate is how many more sessions a second there are of a class at a full peak, of
// which rate come ordinarily; share is the class's part of all the peak's classes'
// ordinary sessions.
func (p *Peak) ClassExtraRate(class int, rate, share float64) float64 {
	switch {
	case class >= len(p.Classes) || !p.Classes[class]:
		return 0
	case p.Factor > 0:
		return max(p.Factor-1, 0) * rate
	}
	return p.ExtraRate * share
}

// Calendar is all announcements. Where peaks overlap, what each brings beyond the
// ordinary adds up.
type Calendar struct{ Peaks []Peak }

// Between lists the occurrences whose windows meet a span of time, by their begin.
func (c *Calendar) Between(from, until time.Time) []Occurrence {
	var list []Occurrence
	for i := range c.Peaks {
		p := &c.Peaks[i]
		beforeBegin := p.Early + p.Lead
		// A window may have begun before: so many days more are looked at.
		first := from.Add(-p.Length - p.Ramp).In(p.Zone)
		last := until.Add(beforeBegin).In(p.Zone)
		day := time.Date(first.Year(), first.Month(), first.Day()-1, 0, 0, 0, 0, time.UTC)
		end := time.Date(last.Year(), last.Month(), last.Day()+1, 0, 0, 0, 0, time.UTC)
		for ; !day.After(end); day = day.AddDate(0, 0, 1) {
			if !p.Days.includes(day) {
				continue
			}
			begin := localTime(day, p.At, p.Zone)
			o := Occurrence{Peak: p, PeakIndex: i, Begin: begin, End: begin.Add(p.Length)}
			if a, b := o.Window(); a.Before(until) && b.After(from) {
				list = append(list, o)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b Occurrence) int {
		return cmp.Or(a.Begin.Compare(b.Begin), a.PeakIndex-b.PeakIndex)
	})
	return list
}

// includes tells whether a date, given as its midnight in UTC, is one of the days.
func (d *Days) includes(t time.Time) bool {
	if d.Daily || d.Weekdays[t.Weekday()] {
		return true
	}
	y, m, n := t.Date()
	if slices.Contains(d.Dates, Day{y, m, n}) {
		return true
	}
	return slices.Contains(d.OfMonth, n) || slices.Contains(d.OfMonth, 0) && t.AddDate(0, 0, 1).Day() == 1
}

// localTime is a time of day on a date in a zone. Where the clocks are put back it is
// the first of the two; a time that is left out where they are put forward comes
// as much later.
func localTime(day time.Time, at time.Duration, zone *time.Location) time.Time {
	wall := day.Add(at).Unix()
	offset := func(t int64) int64 {
		_, s := time.Unix(t, 0).In(zone).Zone()
		return int64(s)
	}
	before, after := offset(wall-86400), offset(wall+86400)
	for _, o := range []int64{max(before, after), min(before, after)} { // the larger offset is the earlier time
		if t := wall - o; offset(t) == o {
			return time.Unix(t, 0).In(zone)
		}
	}
	return time.Unix(wall-before, 0).In(zone)
}
