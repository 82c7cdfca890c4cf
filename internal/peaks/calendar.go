// Package peaks plans for announced peaks: how much capacity to hold for them, from
// when on, and when to release it. It does no I/O and reads no clock.
package peaks

import (
	"cmp"
	"slices"
	"time"
)

// Days says on which dates a peak occurs: on those that any of its fields names.
type Days struct {
	Dates    []Day   // single dates
	OfMonth  []int   // days of the month, 1 to 31; 0: the last
	Weekdays [7]bool // by time.Weekday
	Daily    bool    // every day
}

// Day is a date without a time zone.
type Day struct {
	Year  int
	Month time.Month
	Day   int
}

// Peak is an announced peak.
type Peak struct {
	Name string
	Days Days
	At   time.Duration  // time of day at which it begins
	Zone *time.Location // time zone of Days and At

	Length time.Duration // from its begin to its end
	Ramp   time.Duration // over which it rises after its begin, and falls after its end
	Lead   time.Duration // maximum time before its begin during which capacity is held
	Early  time.Duration // by how much it may come too early

	Classes     []bool  // by class, whether the peak brings more sessions of it
	Factor      float64 // multiple of the ordinary rate; 0: ExtraRate is given instead
	ExtraRate   float64 // additional sessions per second at all managers, of all the peak's classes together
	Probability float64 // that the peak comes, from 0 to 1
	MaxHarm     float64 // maximum share of the ordinary sessions' worth before the begin that a hold may cost
}

// Occurrence is one time for which a peak is announced.
type Occurrence struct {
	Peak       *Peak
	PeakIndex  int // index of the peak in its calendar
	Begin, End time.Time
}

// Window returns the longest period in which capacity may be held for the occurrence.
func (o Occurrence) Window() (from, until time.Time) {
	return o.Begin.Add(-o.Peak.Early - o.Peak.Lead), o.End.Add(o.Peak.Ramp)
}

// Level returns the level of the peak at a time, from 0 to 1, if it comes as announced: it
// rises over the ramp from its begin on, and falls over the ramp after its end.
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

// ClassExtraRate returns how many more sessions of a class come per second at the full peak.
// rate is the class's ordinary rate, and share its share of the ordinary rate of all the
// peak's classes.
func (p *Peak) ClassExtraRate(class int, rate, share float64) float64 {
	switch {
	case class >= len(p.Classes) || !p.Classes[class]:
		return 0
	case p.Factor > 0:
		return max(p.Factor-1, 0) * rate
	}
	return p.ExtraRate * share
}

// Calendar holds all announced peaks. Where peaks overlap, their additional sessions add up.
type Calendar struct{ Peaks []Peak }

// Between returns the occurrences whose windows overlap a period, in the order of their
// begins.
func (c *Calendar) Between(from, until time.Time) []Occurrence {
	var list []Occurrence
	for i := range c.Peaks {
		p := &c.Peaks[i]
		beforeBegin := p.Early + p.Lead
		// A window that began earlier may reach into the period, so earlier days are included.
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

// includes reports whether a date, given as its midnight in UTC, is one of the days.
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

// localTime returns a time of day on a date in a time zone. Of a time that occurs twice,
// since the clocks are put back, it returns the first. A time that is skipped, since the
// clocks are put forward, becomes later by as much as they are.
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
