package config

import (
	"fmt"
	"strings"
	"time"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directive"
	"millethinge/internal/peaks"
)

// Defaults and limits of announced peaks and of the ordinary load.
const (
	defaultPeakLead        = 90 * time.Second // before a peak, for which capacity is held at most
	defaultPeakEarly       = 10 * time.Minute // by which a peak may begin before its time
	defaultPeakProbability = 0.9
	defaultPeakHarm        = 0.05 // fraction of the ordinary sessions' worth that a hold may cost
	maxPeakLead            = 30 * time.Minute
	maxPeakEarly           = 2 * time.Hour
	maxPeakLength          = 7 * 24 * time.Hour
	maxPeakFactor          = 1000
	maxSessionsPerS        = 1e6
	maxMeanLength          = 300 * time.Second // sessions that last longer are planned as if they lasted this long
)

// peakClassesWithoutLoad returns the capacity of the fleet in slots and the classes as input
// to peak plans, without arrival rates and session lengths. A slot is the rate of the
// ladder's middle rung.
func peakClassesWithoutLoad(settings *control.Settings) (slots float64, classes []peaks.Class) {
	if len(settings.RatesKB) == 0 {
		return 0, nil
	}
	middleRate := settings.RatesKB[len(settings.RatesKB)/2]
	for _, class := range settings.Classes {
		peakClass := peaks.Class{Floor: class.FloorRung, Top: min(class.TopRung, len(settings.RatesKB)-1)}
		for rung, rate := range settings.RatesKB {
			peakClass.SlotsByRung = append(peakClass.SlotsByRung, rate*class.RateScale/middleRate)
			peakClass.Worth = append(peakClass.Worth, class.Worth*settings.LadderWorth[rung])
		}
		classes = append(classes, peakClass)
	}
	return control.TargetUtilization * settings.FleetLinkKB / middleRate, classes
}

// ordinaryBlock reads the load to expect of each class until it is measured.
func ordinaryBlock(l *loader) directive.Keyword {
	return directive.Keyword{Name: "ordinary", Usage: "{ CLASS RATE LENGTH … }", Doc: "sessions a second over all managers, and their mean length, until measured", Apply: func(d *directive.Directive) {
		for _, line := range d.Directives() {
			class := -1
			var names []string
			for i, c := range l.deployment.Classes {
				if names = append(names, c.Name); c.Name == line.Name() {
					class = i
				}
			}
			if class < 0 {
				line.ReportFault(0, "%q is not a class of this deployment; there are: %s", line.Name(), strings.Join(names, ", "))
				continue
			}
			rate := line.Float("sessions a second", 0, maxSessionsPerS)
			meanLength := line.Duration("their mean length", time.Second, maxMeanLength)
			line.ExpectEnd()
			if l.OrdinaryLoad == nil {
				l.OrdinaryLoad = make([]OrdinaryLoad, len(l.deployment.Classes))
			}
			l.OrdinaryLoad[class] = OrdinaryLoad{rate, meanLength}
		}
	}}
}

// OrdinaryLoad is the expected load of a class outside of peaks.
type OrdinaryLoad struct {
	Rate       float64 // sessions a second over all managers; 0: unknown
	MeanLength time.Duration
}

// weekdays holds the days of the week by their keywords.
var weekdays = map[string]time.Weekday{"sun": 0, "mon": 1, "tue": 2, "wed": 3, "thu": 4, "fri": 5, "sat": 6}

func peakBlock(l *loader) directive.Keyword {
	return directive.Keyword{Name: "peak", Usage: "NAME { … }", Doc: "an announced peak, for which room is held", Repeatable: true, Apply: func(d *directive.Directive) {
		peak := peaks.Peak{Name: d.Word("a name"), Zone: time.UTC, Lead: defaultPeakLead, Early: defaultPeakEarly, Probability: defaultPeakProbability, MaxHarm: defaultPeakHarm}
		names := make([]string, len(l.Peaks))
		for i := range l.Peaks {
			names[i] = l.Peaks[i].Name
		}
		checkUnique(d, peak.Name, names)
		for range l.deployment.Classes {
			peak.Classes = append(peak.Classes, true)
		}
		scheduleCount, increaseCount := 0, 0
		durationKeyword := func(name, doc string, target *time.Duration, maximum time.Duration) directive.Keyword {
			return directive.Keyword{Name: name, Usage: "DURATION", Doc: doc, Apply: func(d *directive.Directive) { *target = d.Duration("a time", 0, maximum) }}
		}
		fractionKeyword := func(name, doc string, target *float64) directive.Keyword {
			return directive.Keyword{Name: name, Usage: "PART", Doc: doc, Apply: func(d *directive.Directive) { *target = d.Float("a part from 0 to 1", 0, 1) }}
		}
		d.Block(
			directive.Keyword{Name: "days", Usage: "DAY|last …", Doc: "of the month", Apply: func(d *directive.Directive) {
				for scheduleCount++; d.More(); {
					if day := d.Word("a day"); day == "last" {
						peak.Days.OfMonth = append(peak.Days.OfMonth, 0)
					} else if dayOfMonth := 0; true {
						if _, err := fmt.Sscanf(day+" ", "%d ", &dayOfMonth); err != nil || dayOfMonth < 1 || dayOfMonth > 31 || fmt.Sprint(dayOfMonth) != day {
							d.ReportFault(d.ArgumentIndex(), "%q is neither a day from 1 to 31 nor last", day)
						}
						peak.Days.OfMonth = append(peak.Days.OfMonth, dayOfMonth)
					}
				}
				if len(peak.Days.OfMonth) == 0 {
					d.ReportFault(1, "wants days of the month, as in 15 last")
				}
			}},
			directive.Keyword{Name: "dates", Usage: "YYYY-MM-DD …", Doc: "single dates", Apply: func(d *directive.Directive) {
				for scheduleCount++; d.More() || len(peak.Days.Dates) == 0 && !d.HasFault(); {
					word := d.Word("a date, as in 2026-12-24")
					t, err := time.Parse(time.DateOnly, word)
					if err != nil && !d.HasFault() {
						d.ReportFault(d.ArgumentIndex(), "%q is no date, as in 2026-12-24", word)
					}
					year, month, dayOfMonth := t.Date()
					peak.Days.Dates = append(peak.Days.Dates, peaks.Day{Year: year, Month: month, Day: dayOfMonth})
				}
			}},
			directive.Keyword{Name: "weekly", Usage: "mon|tue|… …", Doc: "days of the week", Apply: func(d *directive.Directive) {
				for first := true; d.More() || first; first = false {
					word := d.Word("a day of the week, as in fri")
					weekday, ok := weekdays[word]
					if !ok && !d.HasFault() {
						d.ReportFault(d.ArgumentIndex(), "%q is no day of the week, as in fri", word)
					}
					peak.Days.Weekdays[weekday] = peak.Days.Weekdays[weekday] || ok
				}
				scheduleCount++
			}},
			directive.Keyword{Name: "daily", Doc: "each day", Apply: func(d *directive.Directive) { peak.Days.Daily, scheduleCount = true, scheduleCount+1 }},
			directive.Keyword{Name: "at", Usage: "HH:MM", Doc: "when it begins", Required: true, Apply: func(d *directive.Directive) {
				word := d.Word("a time of day, as in 18:00")
				t, err := time.Parse("15:04", word)
				if err != nil && !d.HasFault() {
					d.ReportFault(1, "%q is no time of day, as in 18:00", word)
				}
				peak.At = time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
			}},
			directive.Keyword{Name: "zone", Usage: "NAME", Doc: "the time zone of at and the days; UTC if absent", Apply: func(d *directive.Directive) {
				location, err := time.LoadLocation(d.Word("a time zone, as in America/Mexico_City"))
				if err != nil && !d.HasFault() {
					d.ReportFault(1, "%v", err)
				} else if err == nil {
					peak.Zone = location
				}
			}},
			directive.Keyword{Name: "length", Usage: "DURATION", Doc: "how long it lasts", Required: true, Apply: func(d *directive.Directive) {
				peak.Length = d.Duration("how long it lasts", time.Second, maxPeakLength)
			}},
			durationKeyword("ramp", "over which it comes, and goes; 0s if absent", &peak.Ramp, maxPeakLength),
			durationKeyword("lead", "before it, for which room is held at most; 90s if absent", &peak.Lead, maxPeakLead),
			durationKeyword("early", "by how much it may come too early; 10m if absent", &peak.Early, maxPeakEarly),
			directive.Keyword{Name: "classes", Usage: "CLASS…", Doc: "which more come of; all if absent", Apply: func(d *directive.Directive) {
				peak.Classes = l.readClasses(d)
			}},
			directive.Keyword{Name: "factor", Usage: "N", Doc: "of the ordinary sessions a second", Apply: func(d *directive.Directive) {
				peak.Factor, increaseCount = d.Float("a factor over 1", 1, maxPeakFactor), increaseCount+1
			}},
			directive.Keyword{Name: "more", Usage: "N", Doc: "sessions a second, in place of a factor", Apply: func(d *directive.Directive) {
				peak.ExtraRate, increaseCount = d.Float("sessions a second", 0, maxSessionsPerS), increaseCount+1
			}},
			fractionKeyword("sure", "how likely it is to come; 0.9 if absent", &peak.Probability),
			fractionKeyword("harm", "of the ordinary worth that a hold may cost; 0.05 if absent", &peak.MaxHarm),
		)
		switch {
		case d.HasFault():
		case scheduleCount != 1:
			d.ReportFault(0, "wants one of days, dates, weekly and daily")
		case increaseCount != 1:
			d.ReportFault(0, "wants factor or more, and not both")
		}
		l.Peaks = append(l.Peaks, peak)
		l.deferred = append(l.deferred, func() { l.checkPeakFits(d, peak) })
	}}
}

// checkPeakFits reports a fault if the whole fleet can't carry the peak even with all
// sessions on the lowest rungs. It needs the ordinary load to be configured.
func (l *loader) checkPeakFits(d *directive.Directive, peak peaks.Peak) {
	classes := l.Operator.peakClassesWithLoad(l.deployment)
	if d.HasFault() || classes == nil || l.deployment.FleetSlots <= 0 {
		return
	}
	plan, err := peaks.MakePlan(peaks.Occurrence{Peak: &peak}, l.deployment.FleetSlots, classes)
	if err == nil && plan.ShortSlots > 0 {
		d.ReportFault(0, "can't be met: on the lowest rungs it needs %.0f slots, and the fleet has %.0f: %.0f too few",
			plan.ShortSlots+plan.CapacitySlots, plan.CapacitySlots, plan.ShortSlots)
	}
}

// peakClassesWithLoad returns the classes as input to peak plans with the ordinary load, or
// nil if that is not configured.
func (o *Operator) peakClassesWithLoad(deployment Deployment) []peaks.Class {
	if o.OrdinaryLoad == nil {
		return nil
	}
	classes := make([]peaks.Class, len(deployment.PeakClasses))
	for i, class := range deployment.PeakClasses {
		if i < len(o.OrdinaryLoad) {
			class.Rate = o.OrdinaryLoad[i].Rate
			class.Survival = peaks.NewLengthEstimator(max(o.OrdinaryLoad[i].MeanLength, time.Second).Seconds()).Survival(nil)
		}
		classes[i] = class
	}
	return classes
}

// BrokerPeaks returns the broker's configuration of announced peaks.
func (c *Config) BrokerPeaks() broker.PeakConfig {
	deployment := c.Deployment()
	announced := broker.PeakConfig{Calendar: peaks.Calendar{Peaks: c.Operator.Peaks}, Classes: deployment.PeakClasses}
	for i := range announced.Classes {
		meanLengthS := 0.0
		if i < len(c.Operator.OrdinaryLoad) {
			announced.Classes[i].Rate = c.Operator.OrdinaryLoad[i].Rate
			meanLengthS = c.Operator.OrdinaryLoad[i].MeanLength.Seconds()
		}
		announced.MeanLengthsS = append(announced.MeanLengthsS, meanLengthS)
	}
	return announced
}

// PeakClasses returns the classes with the ordinary load of the operator's file, and the
// capacity of the fleet in slots, for peak plans made without a running program. The
// classes are nil if the file does not configure the ordinary load.
func (c *Config) PeakClasses() ([]peaks.Class, float64) {
	deployment := c.Deployment()
	return c.Operator.peakClassesWithLoad(deployment), deployment.FleetSlots
}
