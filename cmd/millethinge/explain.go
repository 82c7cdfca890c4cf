package main

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"millethinge/internal/config"
	"millethinge/internal/front/message"
	"millethinge/internal/route"
	"millethinge/internal/server"
)

type explainCmd struct {
	File   string `arg:"" optional:"" default:"-" help:"Set-up messages, one a line; - is standard input."`
	Front  string `enum:"jsonl,websocket" default:"jsonl" help:"The front that they came by: ${enum}."`
	Client string `placeholder:"ADDRESS" help:"The address that they came from."`
	At     string `placeholder:"TIME" help:"When they came, as in 2026-05-15T18:30:00-06:00 (default: now)."`
	All    bool   `help:"Also tell of the rules that did not match."`
}

// Run tells of each message which rule matched at which step, with which values,
// what came out and what it cost.
func (v explainCmd) Run(a *app) error {
	cfg, err := config.LoadTraced(a.getenv)
	if err != nil {
		return err
	}
	set := cfg.Operator.Routes
	if set == nil {
		return fmt.Errorf("the operator's file has no rules")
	}
	from := message.Origin{Front: v.Front, Came: time.Now()}
	if v.Client != "" {
		if from.Client, err = netip.ParseAddr(v.Client); err != nil {
			return fmt.Errorf("--client: %w", err)
		}
	}
	if v.At != "" {
		if from.Came, err = time.Parse(time.RFC3339, v.At); err != nil {
			return fmt.Errorf("--at: %w", err)
		}
	}
	in := a.in
	if v.File != "-" {
		f, err := os.Open(v.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, mostExplained))
	if err != nil {
		return err
	}
	catalog := server.Catalog(&cfg)
	bad, n := 0, 0
	for line := range bytes.Lines(text) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		n++
		if err := v.explain(a.out, &cfg, &catalog, set, line, from); err != nil {
			fmt.Fprintf(a.out, "message %d: %v\n", n, err)
			bad++
		}
	}
	switch {
	case n == 0:
		return fmt.Errorf("no message")
	case bad > 0:
		return status(statusFailed)
	}
	return nil
}

// mostExplained is how much of a file is read.
const mostExplained = 16 << 20

func (v explainCmd) explain(out io.Writer, cfg *config.Config, catalog *message.Catalog, set *route.Set, line []byte, from message.Origin) error {
	if len(line) > message.Max {
		return fmt.Errorf("%d bytes; a message has at most %d", len(line), message.Max)
	}
	var m message.Message
	if err := message.Parse(line, &m); err != nil {
		return err
	}
	r, err := catalog.Read(&m, from)
	if err != nil {
		return err
	}
	teams := cfg.Teams()
	e := set.Explain(message.Routed(&m, &r, from))
	fmt.Fprintf(out, "session %016x: class %s, team %s\n", uint64(r.ID), name(cfg.Classes, r.Class), name(teams, r.Team))
	for i, s := range e.RuleTraces {
		if !s.Matched && !v.All {
			continue
		}
		verdict := "does not match"
		switch {
		case s.Matched:
			verdict = "matches"
		case s.Skipped:
			verdict = "is for other classes"
		}
		fmt.Fprintf(out, "  step %d: %s %s (%d steps)\n", i+1, s.Rule, verdict, s.Cost)
		if s.Source != "" {
			fmt.Fprintf(out, "    %s\n", s.Source)
		}
		for _, p := range s.Values {
			fmt.Fprintf(out, "    %s = %s\n", p.Name, e.FormatValue(p.Value))
		}
	}
	if e.Rule == "" {
		fmt.Fprintf(out, "  no rule of %d matches: it keeps what it named\n", len(e.RuleTraces))
	}
	fmt.Fprintf(out, "  it is given class %s, team %s", name(cfg.Classes, e.Class), name(teams, e.Team))
	if e.BudgetKey != "" {
		fmt.Fprintf(out, ", budget key %q", e.BudgetKey)
	}
	for _, l := range e.Labels {
		fmt.Fprintf(out, ", label %s %q", l.Name, l.Value)
	}
	fmt.Fprintf(out, "\n  cost %d steps of at most %d\n", e.Cost, set.MaxCost())
	if e.Class < 0 {
		return message.ErrNoClass
	}
	return nil
}

func name(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return "none"
	}
	return names[i]
}
