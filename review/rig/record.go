package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to record.txt, with times in
// seconds since the start of the test.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, start: time.Now()}, nil
}

// logf writes one line.
func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// sayf writes one line and also prints it.
func (r *recorder) sayf(format string, args ...any) {
	r.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// at returns a time as seconds since the start of the test.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// appendLog copies up to limit lines of a process's log.
func (r *recorder) appendLog(name, path string, limit int) {
	f, err := os.Open(path)
	if err != nil {
		return
	}
	defer f.Close()
	var lines []string
	for s := bufio.NewScanner(f); s.Scan(); {
		lines = append(lines, s.Text())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "\nlog of %s, %d lines:\n", name, len(lines))
	if len(lines) > limit {
		lines = append(lines[:limit/2:limit/2], append([]string{"..."}, lines[len(lines)-limit/2:]...)...)
	}
	fmt.Fprintln(r.file, strings.Join(lines, "\n"))
}
