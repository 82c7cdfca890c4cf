// Command review2 plays the cases of the second review: it starts the program with the commands
// of the deploy file, on loopback addresses, and takes the place of viewers, media servers, the
// coordinator and the platform.
//
//	review2 -record FILE CASE
//
// It exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in the environment the case runs without its disruption.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// caseTimeout is how long a case may run.
const caseTimeout = 110 * time.Second

// cases holds the cases by name. Each returns the violations of its rule.
var cases = map[string]func(*rig) []string{}

// rig is what all parts of a case share.
type rig struct {
	root    string // folder of the repository
	temp    string // temporary folder, removed at the end
	trouble bool   // whether the case plays its disruption
	start   time.Time

	mu       sync.Mutex
	record   *os.File
	managers []*manager
	cleanups []func()
}

// note writes one line into the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun is the panic of a case that can't be played.
type cannotRun struct{ why string }

// must ends the case with status 2 if err is set.
func must(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

func main() {
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case:", flag.Arg(0))
		os.Exit(2)
	}
	os.Exit(run(flag.Arg(0), *recordPath, play))
}

func run(name, recordPath string, play func(*rig) []string) (status int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if _, err := os.Stat(filepath.Join(root, "bin", "millethinge")); err != nil {
		fmt.Fprintln(os.Stderr, "the program is not built:", err)
		return 2
	}
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(temp)
	r := &rig{root: root, temp: temp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	r.note("case %s, disruption %v", name, r.trouble)

	type result struct {
		violations []string
		cannot     string
	}
	done := make(chan result, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				done <- result{cannot: fmt.Sprint(p)}
			}
		}()
		done <- result{violations: play(r)}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	var res result
	select {
	case res = <-done:
	case s := <-interrupted:
		res.cannot = s.String()
	case <-time.After(caseTimeout):
		res.cannot = "the case took too long"
	}
	r.stopAll()
	for _, m := range r.managers {
		r.appendLog(m)
	}
	switch {
	case res.cannot != "":
		r.note("could not run: %s", res.cannot)
		fmt.Println("could not run:", res.cannot)
		return 2
	case len(res.violations) > 0:
		for _, v := range res.violations {
			r.note("BROKEN: %s", v)
		}
		fmt.Printf("%s: broken, %d times; first: %s\n", name, len(res.violations), res.violations[0])
		return 1
	}
	r.note("held")
	fmt.Println(name + ": held")
	return 0
}

// stopAll ends every process that the case started, and closes its stand-ins.
func (r *rig) stopAll() {
	r.mu.Lock()
	managers, cleanups := r.managers, r.cleanups
	r.mu.Unlock()
	for _, m := range managers {
		m.kill()
	}
	for _, do := range cleanups {
		do()
	}
}

// atEnd has do called at the end of the case.
func (r *rig) atEnd(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, do)
}

// waitFor waits until ok returns true, and reports whether it did in time.
func waitFor(limit time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}
