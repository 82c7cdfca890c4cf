package config

import (
	"fmt"
	"strings"
	"time"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/conf"
	"millethinge/internal/peaks"
)

const (
	defaultLead  = 90 * time.Second
	defaultEarly = 10 * time.Minute
	defaultSure  = 0.9
	defaultHarm  = 0.05
	mostLead     = 30 * time.Minute
	mostEarly    = 2 * time.Hour
	mostLength   = 7 * 24 * time.Hour
	mostFactor   = 1000
	mostRate     = 1e6
	mostLasts    = 300 * time.Second // longer sessions are planned with as this long
)

// planned is the deployment as peaks are planned for, without rates and lengths.
func planned(s *control.Settings) (room float64, classes []peaks.Class) {
	if len(s.RatesKB) == 0 {
		return 0, nil
	}
	middle := s.RatesKB[len(s.RatesKB)/2]
	for _, k := range s.Classes {
		c := peaks.Class{Floor: k.FloorRung, Top: min(k.TopRung, len(s.RatesKB)-1)}
		for r, rate := range s.RatesKB {
			c.SlotsByRung = append(c.SlotsByRung, rate*k.RateScale/middle)
			c.Worth = append(c.Worth, k.Worth*s.LadderWorth[r])
		}
		classes = append(classes, c)
	}
	return control.TargetUtilization * s.FleetLinkKB / middle, classes
}

// ordinaryBlock tells what comes and how long it lasts, until that is measured.
func ordinaryBlock(l *loader) conf.Key {
	return conf.Key{Name: "ordinary", Usage: "{ CLASS RATE LENGTH … }", Doc: "sessions a second over all managers, and their mean length, until measured", Read: func(d *conf.Directive) {
		for _, line := range d.Lines() {
			class := -1
			var names []string
			for i, c := range l.on.Classes {
				if names = append(names, c.Name); c.Name == line.Name() {
					class = i
				}
			}
			if class < 0 {
				line.Fault(0, "%q is not a class of this deployment; there are: %s", line.Name(), strings.Join(names, ", "))
				continue
			}
			rate := line.Float("sessions a second", 0, mostRate)
			lasts := line.Duration("their mean length", time.Second, mostLasts)
			line.End()
			if l.Ordinary == nil {
				l.Ordinary = make([]Ordinary, len(l.on.Classes))
			}
			l.Ordinary[class] = Ordinary{rate, lasts}
		}
	}}
}

// Ordinary is what comes of a class when there is no peak.
type Ordinary struct {
	Rate  float64 // sessions a second over all managers; 0: not told
	Lasts time.Duration
}

var weekdays = map[string]time.Weekday{"sun": 0, "mon": 1, "tue": 2, "wed": 3, "thu": 4, "fri": 5, "sat": 6}

func peakBlock(l *loader) conf.Key {
	return conf.Key{Name: "peak", Usage: "NAME { … }", Doc: "an announced peak, for which room is held", Many: true, Read: func(d *conf.Directive) {
		p := peaks.Peak{Name: d.Word("a name"), Zone: time.UTC, Lead: defaultLead, Early: defaultEarly, Probability: defaultSure, MaxHarm: defaultHarm}
		names := make([]string, len(l.Peaks))
		for i := range l.Peaks {
			names[i] = l.Peaks[i].Name
		}
		unique(d, p.Name, names)
		for range l.on.Classes {
			p.Classes = append(p.Classes, true)
		}
		when, much := 0, 0
		span := func(name, doc string, to *time.Duration, most time.Duration) conf.Key {
			return conf.Key{Name: name, Usage: "DURATION", Doc: doc, Read: func(d *conf.Directive) { *to = d.Duration("a time", 0, most) }}
		}
		part := func(name, doc string, to *float64) conf.Key {
			return conf.Key{Name: name, Usage: "PART", Doc: doc, Read: func(d *conf.Directive) { *to = d.Float("a part from 0 to 1", 0, 1) }}
		}
		d.Block(
			conf.Key{Name: "days", Usage: "DAY|last …", Doc: "of the month", Read: func(d *conf.Directive) {
				for when++; d.More(); {
					if day := d.Word("a day"); day == "last" {
						p.Days.OfMonth = append(p.Days.OfMonth, 0)
					} else if n := 0; true {
						if _, err := fmt.Sscanf(day+" ", "%d ", &n); err != nil || n < 1 || n > 31 || fmt.Sprint(n) != day {
							d.Fault(d.At(), "%q is neither a day from 1 to 31 nor last", day)
						}
						p.Days.OfMonth = append(p.Days.OfMonth, n)
					}
				}
				if len(p.Days.OfMonth) == 0 {
					d.Fault(1, "wants days of the month, as in 15 last")
				}
			}},
			conf.Key{Name: "dates", Usage: "YYYY-MM-DD …", Doc: "single dates", Read: func(d *conf.Directive) {
				for when++; d.More() || len(p.Days.Dates) == 0 && !d.Bad(); {
					word := d.Word("a date, as in 2026-12-24")
					t, err := time.Parse(time.DateOnly, word)
					if err != nil && !d.Bad() {
						d.Fault(d.At(), "%q is no date, as in 2026-12-24", word)
					}
					y, m, n := t.Date()
					p.Days.Dates = append(p.Days.Dates, peaks.Day{Year: y, Month: m, Day: n})
				}
			}},
			conf.Key{Name: "weekly", Usage: "mon|tue|… …", Doc: "days of the week", Read: func(d *conf.Directive) {
				for first := true; d.More() || first; first = false {
					word := d.Word("a day of the week, as in fri")
					w, ok := weekdays[word]
					if !ok && !d.Bad() {
						d.Fault(d.At(), "%q is no day of the week, as in fri", word)
					}
					p.Days.Weekdays[w] = p.Days.Weekdays[w] || ok
				}
				when++
			}},
			conf.Key{Name: "daily", Doc: "each day", Read: func(d *conf.Directive) { p.Days.Daily, when = true, when+1 }},
			conf.Key{Name: "at", Usage: "HH:MM", Doc: "when it begins", Must: true, Read: func(d *conf.Directive) {
				word := d.Word("a time of day, as in 18:00")
				t, err := time.Parse("15:04", word)
				if err != nil && !d.Bad() {
					d.Fault(1, "%q is no time of day, as in 18:00", word)
				}
				p.At = time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
			}},
			conf.Key{Name: "zone", Usage: "NAME", Doc: "the time zone of at and the days; UTC if absent", Read: func(d *conf.Directive) {
				z, err := time.LoadLocation(d.Word("a time zone, as in America/Mexico_City"))
				if err != nil && !d.Bad() {
					d.Fault(1, "%v", err)
				} else if err == nil {
					p.Zone = z
				}
			}},
			conf.Key{Name: "length", Usage: "DURATION", Doc: "how long it lasts", Must: true, Read: func(d *conf.Directive) {
				p.Length = d.Duration("how long it lasts", time.Second, mostLength)
			}},
			span("ramp", "over which it comes, and goes; 0s if absent", &p.Ramp, mostLength),
			span("lead", "before it, for which room is held at most; 90s if absent", &p.Lead, mostLead),
			span("early", "by how much it may come too early; 10m if absent", &p.Early, mostEarly),
			conf.Key{Name: "classes", Usage: "CLASS…", Doc: "which more come of; all if absent", Read: func(d *conf.Directive) {
				p.Classes = l.classes(d)
			}},
			conf.Key{Name: "factor", Usage: "N", Doc: "of the ordinary sessions a second", Read: func(d *conf.Directive) {
				p.Factor, much = d.Float("a factor over 1", 1, mostFactor), much+1
			}},
			conf.Key{Name: "more", Usage: "N", Doc: "sessions a second, in place of a factor", Read: func(d *conf.Directive) {
				p.ExtraRate, much = d.Float("sessions a second", 0, mostRate), much+1
			}},
			part("sure", "how likely it is to come; 0.9 if absent", &p.Probability),
			part("harm", "of the ordinary worth that a hold may cost; 0.05 if absent", &p.MaxHarm),
		)
		switch {
		case d.Bad():
		case when != 1:
			d.Fault(0, "wants one of days, dates, weekly and daily")
		case much != 1:
			d.Fault(0, "wants factor or more, and not both")
		}
		l.Peaks = append(l.Peaks, p)
		l.later = append(l.later, func() { l.canBeMet(d, p) })
	}}
}

// canBeMet refuses a peak that the whole fleet has no room for even on the lowest
// rungs, if it is told what comes ordinarily.
func (l *loader) canBeMet(d *conf.Directive, p peaks.Peak) {
	classes := l.Operator.planned(l.on)
	if d.Bad() || classes == nil || l.on.Room <= 0 {
		return
	}
	plan, err := peaks.MakePlan(peaks.Occurrence{Peak: &p}, l.on.Room, classes)
	if err == nil && plan.ShortSlots > 0 {
		d.Fault(0, "can't be met: on the lowest rungs it needs %.0f slots, and the fleet has %.0f: %.0f too few",
			plan.ShortSlots+plan.CapacitySlots, plan.CapacitySlots, plan.ShortSlots)
	}
}

// planned is the classes with what comes ordinarily, or nil if that isn't told.
func (o *Operator) planned(on Deployment) []peaks.Class {
	if o.Ordinary == nil {
		return nil
	}
	classes := make([]peaks.Class, len(on.Planned))
	for i, c := range on.Planned {
		if i < len(o.Ordinary) {
			c.Rate = o.Ordinary[i].Rate
			c.Survival = peaks.NewLengthEstimator(max(o.Ordinary[i].Lasts, time.Second).Seconds()).Survival(nil)
		}
		classes[i] = c
	}
	return classes
}

// Announced is what the broker is told of peaks.
func (c *Config) Announced() broker.PeakConfig {
	on := c.Deployment()
	p := broker.PeakConfig{Calendar: peaks.Calendar{Peaks: c.Operator.Peaks}, Classes: on.Planned}
	for i := range p.Classes {
		lasts := 0.0
		if i < len(c.Operator.Ordinary) {
			p.Classes[i].Rate = c.Operator.Ordinary[i].Rate
			lasts = c.Operator.Ordinary[i].Lasts.Seconds()
		}
		p.MeanLengthsS = append(p.MeanLengthsS, lasts)
	}
	return p
}

// PlannedClasses are the classes with what comes ordinarily by the operator's file,
// and the fleet's room in slots, for plans made without a running program. They are
// nil if the file does not tell.
func (c *Config) PlannedClasses() ([]peaks.Class, float64) {
	on := c.Deployment()
	return c.Operator.planned(on), on.Room
}
