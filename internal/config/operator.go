package config

import (
	"fmt"
	"os"
	"slices"

	"millethinge/internal/broker"
	"millethinge/internal/conf"
	"millethinge/internal/peaks"
	"millethinge/internal/route"
)

// Operator is what an operator's file sets. The platform has none: all of it
// is off there.
type Operator struct {
	Present      bool // there is a file
	WebSocket    *WebSocket
	Viewers      Viewers
	Teams        []broker.Team
	DNSSD        *DNSSD
	Routes       *route.Set     // nil: requests keep what they name
	OrdinaryLoad []OrdinaryLoad // by class; nil: not told
	Peaks        []peaks.Peak
	Sites        []Site
	Fleet        *Fleet   // nil: this manager works alone
	Warnings     []string // of what is no fault, each with its place
}

// Deployment is what an operator's file may refer to.
type Deployment struct {
	Name        string // of this manager
	Classes     []route.Class
	PeakClasses []peaks.Class // the same, as peaks are planned for
	FleetSlots  float64       // of the fleet, in slots
	Teams       []string      // of the platform; if Running, all
	Zones       []string      // of the platform's list
	Running     bool          // a program runs with these teams; those of the file wait
	Trace       bool          // rules are to be explained
}

// blockFunc is one keyword of an operator's file. A subsystem adds its own by one
// line in blocks.
type blockFunc func(*loader) conf.Keyword

var topLevelBlocks = []blockFunc{websocketBlock, viewersBlock, teamBlock, dnssdBlock, rulesBlock, ordinaryBlock, peakBlock, siteBlock, fleetBlock}

// loader is an operator's file while it is read.
type loader struct {
	Operator
	deployment Deployment
	faults     *conf.Faults
	deferred   []func() // what refers to other blocks, run after all are read
}

// ParseOperator reads an operator's file for a deployment. open reads what it
// includes; nil: nothing can be included. The error is a *conf.Faults.
func ParseOperator(name string, text []byte, readFile conf.ReadFileFunc, deployment Deployment) (Operator, error) {
	l := &loader{deployment: deployment, faults: new(conf.Faults)}
	l.Present = true
	var keywords []conf.Keyword
	for _, block := range topLevelBlocks {
		keywords = append(keywords, block(l))
	}
	conf.Apply(conf.Parse(name, text, readFile, l.faults), nil, l.faults, keywords)
	for _, run := range l.deferred {
		run()
	}
	return l.Operator, l.faults.Err()
}

// readFileBounded reads a file, but not one that is longer than any may be.
func readFileBounded(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > conf.MaxBytes {
		return nil, fmt.Errorf("%s: %d bytes; at most %d are read", path, info.Size(), conf.MaxBytes)
	}
	return os.ReadFile(path)
}

// Keywords returns all that an operator's file may hold, for help texts.
func Keywords() []conf.Keyword {
	l := &loader{faults: new(conf.Faults)}
	var keywords []conf.Keyword
	for _, block := range topLevelBlocks {
		keywords = append(keywords, block(l))
	}
	return keywords
}

// readClasses reads the rest of a line as names of classes.
func (l *loader) readClasses(d *conf.Directive) []bool {
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

// checkUnique tells a fault if a name is used twice.
func checkUnique(d *conf.Directive, name string, used []string) {
	if name == "" && !d.HasFault() {
		d.ReportFault(1, "the name is empty")
	} else if slices.Contains(used, name) {
		d.ReportFault(1, "%q is used twice", name)
	}
}
