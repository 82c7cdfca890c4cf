// Command rig runs one case of the review: rig CASE ROOT FOLDER. It exits with 1 if the rule
// was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// The exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// env is what a case gets.
type env struct {
	rec     *recorder
	plat    *platform
	trouble bool // false: the same without the disruption
}

// cases holds the cases by name. Each returns whether the rule was broken; an error says
// that the case could not run.
var cases = map[string]func(*env) (bool, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT FOLDER")
		return notRun
	}
	rec, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	plat, err := newPlatform(rec, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer plat.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	e := &env{rec, plat, os.Getenv("TROUBLE") != "0"}
	rec.logf("case %s, disruption %v", os.Args[1], e.trouble)
	go func() {
		broken, err := cases[os.Args[1]](e)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		switch {
		case r.err != nil:
			rec.sayf("could not run: %v", r.err)
			return notRun
		case r.broken:
			rec.sayf("RULE BROKEN")
			return ruleBroken
		}
		rec.sayf("rule held")
		return ruleHeld
	case s := <-stop:
		rec.sayf("could not run: %v", s)
		return notRun
	}
}
