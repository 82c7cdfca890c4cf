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

// explainCmd explains how the rules route set-up messages.
type explainCmd struct {
	File   string `arg:"" optional:"" default:"-" help:"Set-up messages, one a line; - is standard input."`
	Front  string `enum:"jsonl,websocket" default:"jsonl" help:"The front that they came by: ${enum}."`
	Client string `placeholder:"ADDRESS" help:"The address that they came from."`
	At     string `placeholder:"TIME" help:"When they came, as in 2026-05-15T18:30:00-06:00 (default: now)."`
	All    bool   `help:"Also tell of the rules that did not match."`
}

// Run prints for each message which rules were evaluated with which values, the
// resulting route, and the cost of the evaluation.
func (cmd explainCmd) Run(a *app) error {
	cfg, err := config.LoadTraced(a.getenv)
	if err != nil {
		return err
	}
	rules := cfg.Operator.Routes
	if rules == nil {
		return fmt.Errorf("the operator's file has no rules")
	}
	origin := message.Origin{Front: cmd.Front, Received: time.Now()}
	if cmd.Client != "" {
		if origin.Client, err = netip.ParseAddr(cmd.Client); err != nil {
			return fmt.Errorf("--client: %w", err)
		}
	}
	if cmd.At != "" {
		if origin.Received, err = time.Parse(time.RFC3339, cmd.At); err != nil {
			return fmt.Errorf("--at: %w", err)
		}
	}
	in := a.in
	if cmd.File != "-" {
		f, err := os.Open(cmd.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	input, err := io.ReadAll(io.LimitReader(in, maxExplainInput))
	if err != nil {
		return err
	}
	catalog := server.Catalog(&cfg)
	failed, n := 0, 0
	for line := range bytes.Lines(input) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		n++
		if err := cmd.explainMessage(a.out, &cfg, &catalog, rules, line, origin); err != nil {
			fmt.Fprintf(a.out, "message %d: %v\n", n, err)
			failed++
		}
	}
	switch {
	case n == 0:
		return fmt.Errorf("no message")
	case failed > 0:
		return exitStatus(statusFailed)
	}
	return nil
}

// maxExplainInput bounds the bytes that are read of a file.
const maxExplainInput = 16 << 20

// explainMessage prints the explanation for the message on one line.
func (cmd explainCmd) explainMessage(out io.Writer, cfg *config.Config, catalog *message.SetupDecoder, rules *route.Set, line []byte, origin message.Origin) error {
	if len(line) > message.MaxSize {
		return fmt.Errorf("%d bytes; a message has at most %d", len(line), message.MaxSize)
	}
	var m message.Message
	if err := message.Parse(line, &m); err != nil {
		return err
	}
	request, err := catalog.DecodeUnrouted(&m, origin)
	if err != nil {
		return err
	}
	teams := cfg.TeamNames()
	explanation := rules.Explain(message.RouteRequest(&m, &request, origin))
	fmt.Fprintf(out, "session %016x: class %s, team %s\n", uint64(request.ID), nameAt(cfg.ClassNames, request.Class), nameAt(teams, request.Team))
	for i, s := range explanation.RuleTraces {
		if !s.Matched && !cmd.All {
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
			fmt.Fprintf(out, "    %s = %s\n", p.Name, explanation.FormatValue(p.Value))
		}
	}
	if explanation.Rule == "" {
		fmt.Fprintf(out, "  no rule of %d matches: it keeps what it named\n", len(explanation.RuleTraces))
	}
	fmt.Fprintf(out, "  it is given class %s, team %s", nameAt(cfg.ClassNames, explanation.Class), nameAt(teams, explanation.Team))
	if explanation.BudgetKey != "" {
		fmt.Fprintf(out, ", budget key %q", explanation.BudgetKey)
	}
	for _, l := range explanation.Labels {
		fmt.Fprintf(out, ", label %s %q", l.Name, l.Value)
	}
	fmt.Fprintf(out, "\n  cost %d steps of at most %d\n", explanation.Cost, rules.MaxCost())
	if explanation.Class < 0 {
		return message.ErrNoClass
	}
	return nil
}

// nameAt returns the ith name, or "none" if there is none.
func nameAt(names []string, i int) string {
	if i < 0 || i >= len(names) {
		return "none"
	}
	return names[i]
}
