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
func rulesBlock(l *loader) conf.Keyword {
	return conf.Keyword{Name: "rules", Usage: "{ … }", Doc: "classes, teams, budget keys and labels by rules", Apply: func(d *conf.Directive) {
		src := route.Source{Zone: time.LoadLocation, Trace: l.on.Trace}
		var otherwise []rules.Rule
		d.Block(
			conf.Keyword{Name: "zone", Usage: "NAME", Doc: "the time zone of clock and today; UTC if absent", Apply: func(d *conf.Directive) {
				src.Local = d.Word("a time zone, as in America/Mexico_City")
				if _, err := time.LoadLocation(src.Local); err != nil && !d.HasFault() {
					d.ReportFault(1, "%v", err)
				}
			}},
			conf.Keyword{Name: "budget", Usage: "STEPS", Doc: "the most that a request may cost; 50000 if absent", Apply: func(d *conf.Directive) {
				src.Budget = int64(d.Int("a number of steps", 1, rules.MostBudget))
			}},
			conf.Keyword{Name: "define", Usage: "NAME EXPRESSION", Doc: "an expression's name", Repeatable: true, Apply: func(d *conf.Directive) {
				src.Definitions = append(src.Definitions, rules.Definition{Name: d.Word("a name"), Source: l.source(d, "an expression")})
			}},
			conf.Keyword{Name: "table", Usage: "NAME KEY -> VALUE default D { … }", Doc: "a look-up, a key and its value a line", Repeatable: true, Apply: func(d *conf.Directive) {
				src.Tables = append(src.Tables, table(d, true))
			}},
			conf.Keyword{Name: "set", Usage: "NAME KEY { … }", Doc: "a set, a key a line", Repeatable: true, Apply: func(d *conf.Directive) {
				src.Tables = append(src.Tables, table(d, false))
			}},
			conf.Keyword{Name: "route", Usage: "NAME when CONDITION set TARGET = VALUE, …", Doc: "a rule; the first that matches counts", Repeatable: true, Apply: func(d *conf.Directive) {
				name := d.Word("a name")
				for i := range src.Rules {
					if src.Rules[i].Name == name {
						d.ReportFault(1, "%q is used twice", name)
					}
				}
				src.Rules = append(src.Rules, rules.Rule{Name: name, Source: l.source(d, "when CONDITION set TARGET = VALUE")})
			}},
			conf.Keyword{Name: "otherwise", Usage: "set TARGET = VALUE, …", Doc: "what a request is given that no rule matches", Apply: func(d *conf.Directive) {
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
		Text:   text,
		Fault:  func(i int, msg string) { d.ReportFaultAt(at+i, "%s", msg) },
		Remark: func(i int, msg string) { l.Warnings = append(l.Warnings, d.FormatWarning(at+i, "%s", msg)) },
	}
}

// table reads a table, or a set, which has no values.
func table(d *conf.Directive, values bool) rules.Table {
	t := rules.Table{Name: d.Word("a name")}
	kind := func(what string) rules.Kind {
		word := d.Word(what)
		k := rules.KindOf(word)
		if k == 0 && !d.HasFault() {
			d.ReportFault(d.ArgumentIndex(), "%q is no kind; there are int, string, duration, date, prefix, class, team and title", word)
		}
		return k
	}
	t.Key = kind("the kind of its keys")
	if values {
		d.OneOf("->", "->")
		t.Value = kind("the kind of its values")
		d.OneOf("default", "default")
		t.Default = d.Word("what a key has that there is no line for")
	}
	t.Fault = func(msg string) { d.ReportFault(1, "%s", msg) }
	for _, line := range d.Directives() {
		one := rules.Line{Key: line.Name(), Fault: func(argument int, msg string) { line.ReportFault(argument, "%s", msg) }}
		if values {
			one.Value = line.Word("a value")
		}
		line.ExpectEnd()
		if !line.HasFault() {
			t.Lines = append(t.Lines, one)
		}
	}
	return t
}
