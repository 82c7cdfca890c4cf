package main

import (
	"fmt"
	"strings"
	"time"

	"millethinge/internal/config"
	"millethinge/internal/peaks"
)

// peaksCmd lists announced peaks.
type peaksCmd struct {
	From string `placeholder:"TIME" help:"From when on, as in 2026-05-15T00:00:00-06:00 (default: now)."`
	Days int    `default:"31" help:"For how many days."`
}

// Run lists the coming peaks, and which slots would be held for them and when, if the
// ordinary load is as the operator's file says.
func (cmd peaksCmd) Run(a *app) error {
	cfg, err := config.Load(a.getenv)
	if err != nil {
		return err
	}
	if len(cfg.Operator.Peaks) == 0 {
		return fmt.Errorf("the operator's file announces no peak")
	}
	if cmd.Days < 1 || cmd.Days > 3660 {
		return fmt.Errorf("--days: from 1 to 3660")
	}
	from := time.Now()
	if cmd.From != "" {
		if from, err = time.Parse(time.RFC3339, cmd.From); err != nil {
			return fmt.Errorf("--from: %w", err)
		}
	}
	classes, room := cfg.PeakClasses()
	calendar := peaks.Calendar{Peaks: cfg.Operator.Peaks}
	occurrences := calendar.Between(from, from.AddDate(0, 0, cmd.Days))
	for _, o := range occurrences {
		_, until := o.Window()
		size := fmt.Sprintf("%g times", o.Peak.Factor)
		if o.Peak.Factor == 0 {
			size = fmt.Sprintf("%g more a second", o.Peak.ExtraRate)
		}
		fmt.Fprintf(a.out, "%s %s to %s, %s of %s\n", o.Begin.Format("2006-01-02 15:04 MST"), o.Peak.Name, o.End.Format("15:04"), size,
			strings.Join(selectNames(cfg.ClassNames, o.Peak.Classes), ", "))
		if classes == nil {
			continue
		}
		plan, err := peaks.MakePlan(o, room, classes)
		if err != nil {
			return err
		}
		fmt.Fprint(a.out, "    ")
		held := 0.0
		for k, share := range plan.HeldShares {
			if held += share; share > 0 {
				fmt.Fprintf(a.out, "%s %.0f slots (%.1f%%), ", cfg.ClassNames[k], share*room, 100*share)
			}
		}
		if held == 0 {
			fmt.Fprintf(a.out, "nothing is held: none is expected to pay; it is watched until %s\n", until.Format("15:04"))
			continue
		}
		fmt.Fprintf(a.out, "held from %s on, growing until %s; expected to earn %+.2f%%, to cost ordinary sessions before %.2f%%\n",
			plan.From.Format("15:04:05"), o.Begin.Format("15:04:05"), 100*(plan.ExpectedWorth/plan.WorthWithoutHold-1), 100*plan.OrdinaryLoss)
	}
	if len(occurrences) == 0 {
		fmt.Fprintf(a.out, "none within %d days\n", cmd.Days)
	}
	if classes == nil {
		fmt.Fprintln(a.out, "what would be held is told if an ordinary block says what comes")
	}
	return nil
}

// selectNames returns the names whose entry in selected is true.
func selectNames(names []string, selected []bool) (out []string) {
	for i, n := range names {
		if i < len(selected) && selected[i] {
			out = append(out, n)
		}
	}
	return out
}
