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

// sitesCmd plans for the loss of sites.
type sitesCmd struct {
	Lost   []string `placeholder:"SITE" help:"Only the loss of these, together (default: each, and each pair where there are more than two)."`
	Record string   `type:"existingfile" placeholder:"LOG" help:"Take what comes from the last 'site demand' line of a running manager's log, not from the ordinary block."`
}

// Run prints what the loss of each site would cause, by the configuration's list of
// media nodes and the ordinary load in the operator's file or the recorded demand.
func (cmd sitesCmd) Run(a *app) error {
	cfg, err := config.Load(a.getenv)
	if err != nil {
		return err
	}
	if cmd.Record != "" {
		if err := cmd.loadDemand(&cfg); err != nil {
			return fmt.Errorf("--record: %w", err)
		}
	}
	sites, err := cfg.BuildSiteModel()
	if err != nil {
		return err
	}
	for i := range sites.Fleet.Sites {
		kb, places := sites.Fleet.Sites[i].Capacity()
		fmt.Fprintf(a.out, "%s: %d nodes, room for %.0f kB a second and %.0f streams\n", sites.SiteNames[i], sites.NodeCounts[i], kb, places)
	}
	var plans []site.Plan
	if len(cmd.Lost) > 0 {
		var lost []int
		for _, name := range cmd.Lost {
			i := slices.Index(sites.SiteNames, name)
			if i < 0 {
				return fmt.Errorf("--lost: %q is no site; there are: %s", name, strings.Join(sites.SiteNames, ", "))
			}
			lost = append(lost, i)
		}
		plan, err := site.MakePlan(&sites.Fleet, lost...)
		if err != nil {
			return err
		}
		plans = append(plans, plan)
	} else if plans, err = site.PlanLosses(&sites.Fleet); err != nil {
		return err
	}
	for i := range plans {
		cmd.printPlan(a, sites, &plans[i])
	}
	return nil
}

// loadDemand replaces the ordinary load by the demand that the last such line of a
// manager's log records.
func (cmd sitesCmd) loadDemand(cfg *config.Config) error {
	file, err := os.Open(cmd.Record)
	if err != nil {
		return err
	}
	defer file.Close()
	type demandRecord struct {
		Msg   string    `json:"msg"`
		Rates []float64 `json:"rates"`
		Lasts []float64 `json:"lasts"` // in seconds
	}
	var last demandRecord
	found := false
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line demandRecord
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == broker.DemandMessage {
			last, found = line, true
		}
	}
	switch {
	case lines.Err() != nil:
		return fmt.Errorf("%s: %w", cmd.Record, lines.Err())
	case !found:
		return fmt.Errorf("%s has no line %q: managers write it once a minute where the operator's file names a site", cmd.Record, broker.DemandMessage)
	case len(last.Rates) != len(cfg.ClassNames) || len(last.Lasts) != len(cfg.ClassNames):
		return fmt.Errorf("%s tells of %d classes, this deployment has %d", cmd.Record, len(last.Rates), len(cfg.ClassNames))
	}
	cfg.Operator.OrdinaryLoad = nil
	for k := range last.Rates {
		if !(last.Rates[k] >= 0) || !(last.Lasts[k] > 0) {
			return fmt.Errorf("%s: class %s: %g sessions a second of %g s", cmd.Record, cfg.ClassNames[k], last.Rates[k], last.Lasts[k])
		}
		cfg.Operator.OrdinaryLoad = append(cfg.Operator.OrdinaryLoad, config.OrdinaryLoad{Rate: last.Rates[k], MeanLength: config.Seconds(last.Lasts[k])})
	}
	return nil
}

// maxLogLine is the length in bytes of the longest log line that can be read.
const maxLogLine = 1 << 20

// printPlan prints what the loss of one or more sites causes.
func (cmd sitesCmd) printPlan(a *app, sites *config.SiteModel, plan *site.Plan) {
	var names []string
	for _, i := range plan.LostSites {
		names = append(names, sites.SiteNames[i])
	}
	kept := 0.0
	if plan.WorthBefore > 0 {
		kept = 100 * plan.Worth / plan.WorthBefore
	}
	fmt.Fprintf(a.out, "\nwithout %s: %.1f%% of the worth is kept (no plan keeps more than %.1f%%)\n",
		strings.Join(names, " and "), kept, 100*plan.WorthBound/max(plan.WorthBefore, 1e-9))
	for i, s := range sites.Fleet.Sites {
		if !slices.Contains(plan.LostSites, i) {
			fmt.Fprintf(a.out, "    %s carries %.0f%% of its room\n", s.Name, 100*plan.Utilization[i])
		}
	}
	for k, c := range sites.Fleet.Classes {
		rungs := make([]float64, len(c.RatesKB))
		total, refused, crossing := 0.0, 0.0, 0.0
		for i, d := range sites.Fleet.Demands {
			if d.Class != k {
				continue
			}
			result := &plan.Allocations[i]
			total, refused, crossing = total+d.Sessions, refused+result.Refused, crossing+result.CrossSite
			for r, n := range result.ByRung {
				rungs[r] += n
			}
		}
		if total == 0 {
			continue
		}
		var parts []string
		for r, n := range rungs {
			if n > 0.005*total {
				parts = append(parts, fmt.Sprintf("%.0f%% on rung %d", 100*n/total, r))
			}
		}
		if refused > 0.005*total {
			parts = append(parts, fmt.Sprintf("%.0f%% refused", 100*refused/total))
		}
		fmt.Fprintf(a.out, "    %s: %.1f sessions: %s; %.1f cross sites\n", c.Name, total, strings.Join(parts, ", "), crossing)
	}
	fmt.Fprintf(a.out, "    given up, the first first: %s\n", strings.Join(cmd.degradationOrder(sites, plan), ", "))
	for _, i := range plan.LostSites {
		cmd.printRecovery(a, sites, i)
	}
}

// degradationOrder describes by class, in order, what is given up first. Steps that differ
// only in site or viewers are described once.
func (sitesCmd) degradationOrder(sites *config.SiteModel, plan *site.Plan) (words []string) {
	for _, step := range plan.DegradationOrder {
		name := sites.Fleet.Classes[sites.Fleet.Demands[step.Demand].Class].Name
		w := fmt.Sprintf("%s from rung %d to %d", name, step.FromRung, step.ToRung)
		if step.ToRung < 0 {
			w = name + " refused"
		}
		if !slices.Contains(words, w) {
			words = append(words, w)
		}
	}
	return words
}

// printRecovery prints how long a site that returns cold takes until 90% of its load plays
// there again.
func (sitesCmd) printRecovery(a *app, sites *config.SiteModel, i int) {
	recovery := sites.Returns[i]
	if recovery.WarmUp <= 0 || recovery.MaxStreams <= 0 {
		return
	}
	sessions, rate, lasts := 0.0, 0.0, 0.0
	for _, d := range sites.Fleet.Demands {
		if d.HomeSite == i {
			sessions += d.Sessions
			rate += d.Sessions / sites.MeanLength[d.Class].Seconds()
		}
	}
	if rate > 0 {
		lasts = sessions / rate
	}
	fmt.Fprintf(a.out, "    back cold, %s takes %.1f set-ups a second at once and %.1f after %v", sites.SiteNames[i], recovery.MaxSessionRate(0), recovery.MaxSessionRate(recovery.WarmUp), recovery.WarmUp)
	if t, ok := recovery.TimeToRestore(sessions, rate, config.Seconds(lasts), 0.9); ok {
		fmt.Fprintf(a.out, "; 90%% of its load plays there again after %.0f s", t.Seconds())
	}
	fmt.Fprintln(a.out)
}
