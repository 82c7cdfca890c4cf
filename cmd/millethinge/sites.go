package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"millethinge/internal/broker"
	"millethinge/internal/config"
	"millethinge/internal/site"
)

type sitesCmd struct {
	Lost   []string `placeholder:"SITE" help:"Only the loss of these, together (default: each, and each pair where there are more than two)."`
	Record string   `type:"existingfile" placeholder:"LOG" help:"Take what comes from the last 'site demand' line of a running manager's log, not from the ordinary block."`
}

// Run tells what the loss of each site would mean, by the configuration's list and
// what the operator's file says comes ordinarily.
func (v sitesCmd) Run(a *app) error {
	cfg, err := config.Load(a.getenv)
	if err != nil {
		return err
	}
	if v.Record != "" {
		if err := v.measured(&cfg); err != nil {
			return fmt.Errorf("--record: %w", err)
		}
	}
	p, err := cfg.Sites()
	if err != nil {
		return err
	}
	for i := range p.Fleet.Sites {
		kb, places := p.Fleet.Sites[i].Room()
		fmt.Fprintf(a.out, "%s: %d nodes, room for %.0f kB a second and %.0f streams\n", p.Names[i], p.Nodes[i], kb, places)
	}
	var plans []site.Plan
	if len(v.Lost) > 0 {
		var lost []int
		for _, name := range v.Lost {
			i := slices.Index(p.Names, name)
			if i < 0 {
				return fmt.Errorf("--lost: %q is no site; there are: %s", name, strings.Join(p.Names, ", "))
			}
			lost = append(lost, i)
		}
		one, err := site.Make(&p.Fleet, lost...)
		if err != nil {
			return err
		}
		plans = append(plans, one)
	} else if plans, err = site.Losses(&p.Fleet); err != nil {
		return err
	}
	for i := range plans {
		v.tell(a, p, &plans[i])
	}
	return nil
}

// measured takes what comes from the last line of a log that tells it.
func (v sitesCmd) measured(cfg *config.Config) error {
	f, err := os.Open(v.Record)
	if err != nil {
		return err
	}
	defer f.Close()
	type told struct {
		Msg   string    `json:"msg"`
		Rates []float64 `json:"rates"`
		Lasts []float64 `json:"lasts"` // s
	}
	var last told
	found := false
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		var line told
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == broker.DemandMessage {
			last, found = line, true
		}
	}
	switch {
	case lines.Err() != nil:
		return fmt.Errorf("%s: %w", v.Record, lines.Err())
	case !found:
		return fmt.Errorf("%s has no line %q: managers write it once a minute where the operator's file names a site", v.Record, broker.DemandMessage)
	case len(last.Rates) != len(cfg.Classes) || len(last.Lasts) != len(cfg.Classes):
		return fmt.Errorf("%s tells of %d classes, this deployment has %d", v.Record, len(last.Rates), len(cfg.Classes))
	}
	cfg.Operator.Ordinary = nil
	for k := range last.Rates {
		if !(last.Rates[k] >= 0) || !(last.Lasts[k] > 0) {
			return fmt.Errorf("%s: class %s: %g sessions a second of %g s", v.Record, cfg.Classes[k], last.Rates[k], last.Lasts[k])
		}
		cfg.Operator.Ordinary = append(cfg.Operator.Ordinary, config.Ordinary{Rate: last.Rates[k], Lasts: config.Seconds(last.Lasts[k])})
	}
	return nil
}

// mostLine is the longest line of a log that is read.
const mostLine = 1 << 20

// tell prints one loss.
func (v sitesCmd) tell(a *app, p *config.SitePlan, l *site.Plan) {
	var names []string
	for _, i := range l.Lost {
		names = append(names, p.Names[i])
	}
	kept := 0.0
	if l.Before > 0 {
		kept = 100 * l.Worth / l.Before
	}
	fmt.Fprintf(a.out, "\nwithout %s: %.1f%% of the worth is kept (no plan keeps more than %.1f%%)\n",
		strings.Join(names, " and "), kept, 100*l.Bound/max(l.Before, 1e-9))
	for i, s := range p.Fleet.Sites {
		if !slices.Contains(l.Lost, i) {
			fmt.Fprintf(a.out, "    %s carries %.0f%% of its room\n", s.Name, 100*l.Use[i])
		}
	}
	for k, c := range p.Fleet.Classes {
		rungs := make([]float64, len(c.RatesKB))
		all, refused, crossing := 0.0, 0.0, 0.0
		for i, d := range p.Fleet.Demands {
			if d.Class != k {
				continue
			}
			t := &l.Takes[i]
			all, refused, crossing = all+d.Sessions, refused+t.Refused, crossing+t.Crossing
			for r, n := range t.Rungs {
				rungs[r] += n
			}
		}
		if all == 0 {
			continue
		}
		var parts []string
		for r, n := range rungs {
			if n > 0.005*all {
				parts = append(parts, fmt.Sprintf("%.0f%% on rung %d", 100*n/all, r))
			}
		}
		if refused > 0.005*all {
			parts = append(parts, fmt.Sprintf("%.0f%% refused", 100*refused/all))
		}
		fmt.Fprintf(a.out, "    %s: %.1f sessions: %s; %.1f cross sites\n", c.Name, all, strings.Join(parts, ", "), crossing)
	}
	fmt.Fprintf(a.out, "    given up, the first first: %s\n", strings.Join(v.order(p, l), ", "))
	for _, i := range l.Lost {
		v.back(a, p, i)
	}
}

// order words what is given up, class by class: sites and viewers alike don't matter.
func (sitesCmd) order(p *config.SitePlan, l *site.Plan) (words []string) {
	for _, s := range l.Order {
		name := p.Fleet.Classes[p.Fleet.Demands[s.Demand].Class].Name
		w := fmt.Sprintf("%s from rung %d to %d", name, s.From, s.To)
		if s.To < 0 {
			w = name + " refused"
		}
		if !slices.Contains(words, w) {
			words = append(words, w)
		}
	}
	return words
}

// back tells how long a site takes to carry its load again after it has come back cold.
func (sitesCmd) back(a *app, p *config.SitePlan, i int) {
	r := p.Returns[i]
	if r.Warm <= 0 || r.Places <= 0 {
		return
	}
	sessions, rate, lasts := 0.0, 0.0, 0.0
	for _, d := range p.Fleet.Demands {
		if d.Home == i {
			sessions += d.Sessions
			rate += d.Sessions / p.Lasts[d.Class].Seconds()
		}
	}
	if rate > 0 {
		lasts = sessions / rate
	}
	fmt.Fprintf(a.out, "    back cold, %s takes %.1f set-ups a second at once and %.1f after %v", p.Names[i], r.Pace(0), r.Pace(r.Warm), r.Warm)
	if t, ok := r.Back(sessions, rate, config.Seconds(lasts), 0.9); ok {
		fmt.Fprintf(a.out, "; 90%% of its load plays there again after %.0f s", t.Seconds())
	}
	fmt.Fprintln(a.out)
}
