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

// block is one keyword of an operator's file. A subsystem adds its own by one
// line in blocks.
type block func(*loader) conf.Keyword

var blocks = []block{websocketBlock, viewersBlock, teamBlock, dnssdBlock, rulesBlock, ordinaryBlock, peakBlock, siteBlock, fleetBlock}

// loader is an operator's file while it is read.
type loader struct {
	Operator
	on     Deployment
	faults *conf.Faults
	later  []func() // what refers to other blocks, run after all are read
}

// ParseOperator reads an operator's file for a deployment. open reads what it
// includes; nil: nothing can be included. The error is a *conf.Faults.
func ParseOperator(name string, text []byte, open conf.ReadFileFunc, on Deployment) (Operator, error) {
	l := &loader{on: on, faults: new(conf.Faults)}
	l.Present = true
	var keys []conf.Keyword
	for _, b := range blocks {
		keys = append(keys, b(l))
	}
	conf.Apply(conf.Parse(name, text, open, l.faults), nil, l.faults, keys)
	for _, f := range l.later {
		f()
	}
	return l.Operator, l.faults.Err()
}

// readBounded reads a file, but not one that is longer than any may be.
func readBounded(path string) ([]byte, error) {
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
	var keys []conf.Keyword
	for _, b := range blocks {
		keys = append(keys, b(l))
	}
	return keys
}

// classes reads the rest of a line as names of classes.
func (l *loader) classes(d *conf.Directive) []bool {
	set := make([]bool, len(l.on.Classes))
	var names []string
	for _, c := range l.on.Classes {
		names = append(names, c.Name)
	}
	for first := true; first || d.More(); first = false {
		if i := d.OneOf("a class of this deployment", names...); i >= 0 {
			set[i] = true
		}
	}
	return set
}

// unique tells a fault if a name is used twice.
func unique(d *conf.Directive, name string, used []string) {
	if name == "" && !d.HasFault() {
		d.ReportFault(1, "the name is empty")
	} else if slices.Contains(used, name) {
		d.ReportFault(1, "%q is used twice", name)
	}
}
