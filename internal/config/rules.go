package config

import (
	"time"

	"millethinge/internal/directive"
	"millethinge/internal/route"
	"millethinge/internal/rules"
)

// rulesBlock reads the rules that assign class, team, budget key and labels to requests.
// They are compiled once all blocks are read, since they refer to teams.
func rulesBlock(l *loader) directive.Keyword {
	return directive.Keyword{Name: "rules", Usage: "{ … }", Doc: "classes, teams, budget keys and labels by rules", Apply: func(d *directive.Directive) {
		source := route.Source{LoadZone: time.LoadLocation, Trace: l.deployment.Trace}
		var otherwise []rules.Rule
		d.Block(
			directive.Keyword{Name: "zone", Usage: "NAME", Doc: "the time zone of clock and today; UTC if absent", Apply: func(d *directive.Directive) {
				source.LocalZone = d.Word("a time zone, as in America/Mexico_City")
				if _, err := time.LoadLocation(source.LocalZone); err != nil && !d.HasFault() {
					d.ReportFault(1, "%v", err)
				}
			}},
			directive.Keyword{Name: "budget", Usage: "STEPS", Doc: "the most that a request may cost; 50000 if absent", Apply: func(d *directive.Directive) {
				source.StepBudget = int64(d.Int("a number of steps", 1, rules.MaxStepBudget))
			}},
			directive.Keyword{Name: "define", Usage: "NAME EXPRESSION", Doc: "an expression's name", Repeatable: true, Apply: func(d *directive.Directive) {
				source.Definitions = append(source.Definitions, rules.Definition{Name: d.Word("a name"), Source: l.ruleSource(d, "an expression")})
			}},
			directive.Keyword{Name: "table", Usage: "NAME KEY -> VALUE default D { … }", Doc: "a look-up, a key and its value a line", Repeatable: true, Apply: func(d *directive.Directive) {
				source.Tables = append(source.Tables, readTable(d, true))
			}},
			directive.Keyword{Name: "set", Usage: "NAME KEY { … }", Doc: "a set, a key a line", Repeatable: true, Apply: func(d *directive.Directive) {
				source.Tables = append(source.Tables, readTable(d, false))
			}},
			directive.Keyword{Name: "route", Usage: "NAME when CONDITION set TARGET = VALUE, …", Doc: "a rule; the first that matches counts", Repeatable: true, Apply: func(d *directive.Directive) {
				name := d.Word("a name")
				for i := range source.Rules {
					if source.Rules[i].Name == name {
						d.ReportFault(1, "%q is used twice", name)
					}
				}
				source.Rules = append(source.Rules, rules.Rule{Name: name, Source: l.ruleSource(d, "when CONDITION set TARGET = VALUE")})
			}},
			directive.Keyword{Name: "otherwise", Usage: "set TARGET = VALUE, …", Doc: "what a request is given that no rule matches", Apply: func(d *directive.Directive) {
				otherwise = append(otherwise, rules.Rule{Name: "otherwise", Source: l.ruleSource(d, "set TARGET = VALUE")})
			}},
		)
		source.Rules = append(source.Rules, otherwise...)
		l.deferred = append(l.deferred, func() { l.Routes = route.Compile(source, l.deployment.routeDeployment(l.Operator)) })
	}}
}

// routeDeployment returns what rules may refer to: the teams that the program runs with or,
// at the start, the platform's and those of the file.
func (d Deployment) routeDeployment(operator Operator) route.Deployment {
	result := route.Deployment{Classes: d.Classes, Teams: d.Teams}
	if !d.Running {
		for i := range operator.Teams {
			result.Teams = append(result.Teams[:len(result.Teams):len(result.Teams)], operator.Teams[i].Name)
		}
	}
	return result
}

// ruleSource returns the rest of d's line as source text of the rules' language. expected
// names it in the fault if it is missing.
func (l *loader) ruleSource(d *directive.Directive, expected string) rules.Source {
	if !d.More() {
		d.Word(expected) // reports that it is missing
	}
	text, start := d.Rest()
	return rules.Source{
		Text:        text,
		ReportError: func(offset int, msg string) { d.ReportFaultAt(start+offset, "%s", msg) },
		ReportWarning: func(offset int, msg string) {
			l.Warnings = append(l.Warnings, d.FormatWarning(start+offset, "%s", msg))
		},
	}
}

// readTable reads a table or, if values is false, a set.
func readTable(d *directive.Directive, values bool) rules.Table {
	table := rules.Table{Name: d.Word("a name")}
	readKind := func(expected string) rules.Kind {
		word := d.Word(expected)
		kind := rules.KindByName(word)
		if kind == 0 && !d.HasFault() {
			d.ReportFault(d.ArgumentIndex(), "%q is no kind; there are int, string, duration, date, prefix, class, team and title", word)
		}
		return kind
	}
	table.KeyKind = readKind("the kind of its keys")
	if values {
		d.OneOf("->", "->")
		table.ValueKind = readKind("the kind of its values")
		d.OneOf("default", "default")
		table.Default = d.Word("what a key has that there is no line for")
	}
	table.ReportError = func(msg string) { d.ReportFault(1, "%s", msg) }
	for _, line := range d.Directives() {
		tableLine := rules.TableLine{Key: line.Name(), ReportError: func(argument int, msg string) { line.ReportFault(argument, "%s", msg) }}
		if values {
			tableLine.Value = line.Word("a value")
		}
		line.ExpectEnd()
		if !line.HasFault() {
			table.Lines = append(table.Lines, tableLine)
		}
	}
	return table
}
