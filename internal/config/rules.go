package config

import (
	"time"

	"millethinge/internal/conf"
	"millethinge/internal/route"
	"millethinge/internal/rules"
)

// rulesBlock reads the rules that give requests their class, team, budget key and
// labels. They are compiled once all blocks have been read, since they refer to
// teams.
func rulesBlock(l *loader) conf.Key {
	return conf.Key{Name: "rules", Usage: "{ … }", Doc: "classes, teams, budget keys and labels by rules", Read: func(d *conf.Directive) {
		src := route.Source{LoadZone: time.LoadLocation, Trace: l.on.Trace}
		var otherwise []rules.Rule
		d.Block(
			conf.Key{Name: "zone", Usage: "NAME", Doc: "the time zone of clock and today; UTC if absent", Read: func(d *conf.Directive) {
				src.LocalZone = d.Word("a time zone, as in America/Mexico_City")
				if _, err := time.LoadLocation(src.LocalZone); err != nil && !d.Bad() {
					d.Fault(1, "%v", err)
				}
			}},
			conf.Key{Name: "budget", Usage: "STEPS", Doc: "the most that a request may cost; 50000 if absent", Read: func(d *conf.Directive) {
				src.StepBudget = int64(d.Int("a number of steps", 1, rules.MaxStepBudget))
			}},
			conf.Key{Name: "define", Usage: "NAME EXPRESSION", Doc: "an expression's name", Many: true, Read: func(d *conf.Directive) {
				src.Definitions = append(src.Definitions, rules.Definition{Name: d.Word("a name"), Source: l.source(d, "an expression")})
			}},
			conf.Key{Name: "table", Usage: "NAME KEY -> VALUE default D { … }", Doc: "a look-up, a key and its value a line", Many: true, Read: func(d *conf.Directive) {
				src.Tables = append(src.Tables, table(d, true))
			}},
			conf.Key{Name: "set", Usage: "NAME KEY { … }", Doc: "a set, a key a line", Many: true, Read: func(d *conf.Directive) {
				src.Tables = append(src.Tables, table(d, false))
			}},
			conf.Key{Name: "route", Usage: "NAME when CONDITION set TARGET = VALUE, …", Doc: "a rule; the first that matches counts", Many: true, Read: func(d *conf.Directive) {
				name := d.Word("a name")
				for i := range src.Rules {
					if src.Rules[i].Name == name {
						d.Fault(1, "%q is used twice", name)
					}
				}
				src.Rules = append(src.Rules, rules.Rule{Name: name, Source: l.source(d, "when CONDITION set TARGET = VALUE")})
			}},
			conf.Key{Name: "otherwise", Usage: "set TARGET = VALUE, …", Doc: "what a request is given that no rule matches", Read: func(d *conf.Directive) {
				otherwise = append(otherwise, rules.Rule{Name: "otherwise", Source: l.source(d, "set TARGET = VALUE")})
			}},
		)
		src.Rules = append(src.Rules, otherwise...)
		l.later = append(l.later, func() { l.Routes = route.Compile(src, l.on.routes(l.Operator)) })
	}}
}

// routes is what rules may refer to: the teams that run, or at the start those of
// the file.
func (on Deployment) routes(o Operator) route.Deployment {
	to := route.Deployment{Classes: on.Classes, Teams: on.Teams}
	if !on.Running {
		for i := range o.Teams {
			to.Teams = append(to.Teams[:len(to.Teams):len(to.Teams)], o.Teams[i].Name)
		}
	}
	return to
}

// source is the rest of a line, as the language reads it.
func (l *loader) source(d *conf.Directive, what string) rules.Source {
	if !d.More() {
		d.Word(what) // tells that it is missing
	}
	text, at := d.Rest()
	return rules.Source{
		Text:          text,
		ReportError:   func(i int, msg string) { d.FaultAt(at+i, "%s", msg) },
		ReportWarning: func(i int, msg string) { l.Warnings = append(l.Warnings, d.Remark(at+i, "%s", msg)) },
	}
}

// table reads a table, or a set, which has no values.
func table(d *conf.Directive, values bool) rules.Table {
	t := rules.Table{Name: d.Word("a name")}
	kind := func(what string) rules.Kind {
		word := d.Word(what)
		k := rules.KindByName(word)
		if k == 0 && !d.Bad() {
			d.Fault(d.At(), "%q is no kind; there are int, string, duration, date, prefix, class, team and title", word)
		}
		return k
	}
	t.KeyKind = kind("the kind of its keys")
	if values {
		d.OneOf("->", "->")
		t.ValueKind = kind("the kind of its values")
		d.OneOf("default", "default")
		t.Default = d.Word("what a key has that there is no line for")
	}
	t.ReportError = func(msg string) { d.Fault(1, "%s", msg) }
	for _, line := range d.Lines() {
		one := rules.TableLine{Key: line.Name(), ReportError: func(argument int, msg string) { line.Fault(argument, "%s", msg) }}
		if values {
			one.Value = line.Word("a value")
		}
		line.End()
		if !line.Bad() {
			t.Lines = append(t.Lines, one)
		}
	}
	return t
}
