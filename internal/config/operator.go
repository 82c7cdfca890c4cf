package config

import (
	"fmt"
	"os"
	"slices"

	"millethinge/internal/broker"
	"millethinge/internal/directive"
	"millethinge/internal/peaks"
	"millethinge/internal/route"
)

// Operator is the content of an operator's file. The platform has no such file: all that
// it configures is off there.
type Operator struct {
	Present      bool // a file was read
	WebSocket    *WebSocket
	Viewers      Viewers
	Teams        []broker.Team // in addition to the platform's tenants
	DNSSD        *DNSSD
	Routes       *route.Set     // nil: requests keep the class and team that they name
	OrdinaryLoad []OrdinaryLoad // by class; nil: not configured
	Peaks        []peaks.Peak
	Sites        []Site
	Fleet        *Fleet   // nil: this manager works alone
	Warnings     []string // each names its position or its keyword
}

// Deployment is what an operator's file may refer to and is checked against.
type Deployment struct {
	Name        string // name of this manager; empty: not checked against the fleet's members
	Classes     []route.Class
	PeakClasses []peaks.Class // the same classes as input to peak plans, without load
	FleetSlots  float64       // capacity of the fleet in slots; 0: unknown
	Teams       []string      // names of the platform's tenants; if Running, of all teams that run
	Zones       []string      // names of zones in the platform's list
	Running     bool          // the program runs with these teams; new ones in the file wait for the next start
	Trace       bool          // compile rules so that their evaluation can be explained
}

// blockFunc returns a top-level keyword of an operator's file, which sets a part of the
// loader's Operator. A subsystem adds its own by an entry in topLevelBlocks.
type blockFunc func(*loader) directive.Keyword

var topLevelBlocks = []blockFunc{websocketBlock, viewersBlock, teamBlock, dnssdBlock, rulesBlock, ordinaryBlock, peakBlock, siteBlock, fleetBlock}

// loader holds an operator's file while it is read.
type loader struct {
	Operator
	deployment Deployment
	faults     *directive.Faults
	deferred   []func() // work that refers to other blocks, run after all blocks are read
}

// ParseOperator reads an operator's file for a deployment. readFile reads the files that
// it includes; if it is nil, include is a fault. The error is a *directive.Faults.
func ParseOperator(name string, text []byte, readFile directive.ReadFileFunc, deployment Deployment) (Operator, error) {
	l := &loader{deployment: deployment, faults: new(directive.Faults)}
	l.Present = true
	var keywords []directive.Keyword
	for _, block := range topLevelBlocks {
		keywords = append(keywords, block(l))
	}
	directive.Apply(directive.Parse(name, text, readFile, l.faults), nil, l.faults, keywords)
	for _, run := range l.deferred {
		run()
	}
	return l.Operator, l.faults.Err()
}

// readFileBounded reads a file, and fails for one of more than directive.MaxBytes.
func readFileBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > directive.MaxBytes {
		return nil, fmt.Errorf("%s: %d bytes; at most %d are read", path, info.Size(), directive.MaxBytes)
	}
	return os.ReadFile(path)
}

// Keywords returns the top-level keywords of an operator's file, for help texts.
func Keywords() []directive.Keyword {
	l := &loader{faults: new(directive.Faults)}
	var keywords []directive.Keyword
	for _, block := range topLevelBlocks {
		keywords = append(keywords, block(l))
	}
	return keywords
}

// readClasses reads the remaining arguments as names of classes, at least one, and
// returns by class whether it is named.
func (l *loader) readClasses(d *directive.Directive) []bool {
	selected := make([]bool, len(l.deployment.Classes))
	var names []string
	for _, c := range l.deployment.Classes {
		names = append(names, c.Name)
	}
	for first := true; first || d.More(); first = false {
		if i := d.OneOf("a class of this deployment", names...); i >= 0 {
			selected[i] = true
		}
	}
	return selected
}

// checkUnique reports a fault if the name, d's first argument, is empty or in used.
func checkUnique(d *directive.Directive, name string, used []string) {
	if name == "" && !d.HasFault() {
		d.ReportFault(1, "the name is empty")
	} else if slices.Contains(used, name) {
		d.ReportFault(1, "%q is used twice", name)
	}
}
