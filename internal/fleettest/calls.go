package fleettest

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Metrics are what a manager reports of itself, counted from its process's start.
type Metrics struct {
	OK          map[string]int `json:"ok"` // by class
	Shed        map[string]int `json:"shed"`
	Errors      map[string]int `json:"errors"`
	Tries       int            `json:"tries"`
	Active      int            `json:"active"`
	PoolSize    int            `json:"pool_size"`
	PoolEjected int            `json:"pool_ejected"`
}

// adminClient makes one call a connection, and waits for an answer for longer than it may
// take: how late one is has to be seen.
var adminClient = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}

// callAdmin makes a call at an address. Status 0: none was answered; text says why.
func callAdmin(addr, method, path string) (status int, text []byte, took time.Duration) {
	began := time.Now()
	fail := func(err error) (int, []byte, time.Duration) { return 0, []byte(err.Error()), time.Since(began) }
	q, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return fail(err)
	}
	a, err := adminClient.Do(q)
	if err != nil {
		return fail(err)
	}
	defer a.Body.Close()
	if text, err = io.ReadAll(io.LimitReader(a.Body, 1<<20)); err != nil {
		return fail(err)
	}
	return a.StatusCode, text, time.Since(began)
}

// Call makes a call to a manager's newest process that is ready and records it. node is whom the
// call names, or empty.
func (f *Fleet) Call(manager, method, path, node string) (status int, text []byte, err error) {
	b := f.Managers[manager].adminProcess()
	if b == nil || b.adminAddr == "" {
		return 0, nil, fmt.Errorf("%s doesn't run, or has no address for calls", manager)
	}
	status, text, took := callAdmin(b.adminAddr, method, path)
	f.Record.Add(Event{Kind: Called, Manager: manager, Node: node, Text: method + " " + path, Cause: status, Took: took})
	return status, text, nil
}

// SetNodeDisabled takes a node out at a manager by hand, or puts it back.
func (f *Fleet) SetNodeDisabled(manager, node string, out bool) error {
	what := map[bool]string{true: "disable", false: "enable"}[out]
	status, text, err := f.Call(manager, "POST", "/media-servers/"+what+"?member="+f.Nodes[node].ID, node)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s of %s at %s: %d %s", what, node, manager, status, text)
	}
	return err
}

// scrapeMetrics fetches the figures of each process of a manager that has said it is ready.
func (f *Fleet) scrapeMetrics(manager string) {
	for b, owes := range f.Managers[manager].metricsProcesses() {
		status, text, took := callAdmin(b.adminAddr, "GET", "/metrics")
		select {
		case <-b.exited: // it owes no answer any more
			continue
		default:
		}
		if status == 200 || owes {
			f.Record.Add(Event{Kind: Called, Manager: manager, Text: "GET /metrics", Cause: status, Took: took})
		}
		if status != 200 {
			continue
		}
		var g Metrics
		if err := json.Unmarshal(text, &g); err != nil {
			f.Record.Add(Event{Kind: Called, Manager: manager, Text: fmt.Sprintf("GET /metrics, unreadable: %v", err), Took: took})
			continue
		}
		f.Record.Add(Event{Kind: Figured, Manager: manager, Process: b.number, Took: took, Figures: &g})
	}
}

// watchMetrics fetches a manager's figures each second, and more often while it has
// two processes, so that little happens between the last look at one and its end.
func (f *Fleet) watchMetrics(manager string) {
	for {
		pause := time.Second
		if len(f.Managers[manager].runningProcesses()) > 1 {
			pause /= 5
		}
		select {
		case <-f.done:
			return
		case <-time.After(pause):
			f.scrapeMetrics(manager)
			mb, files, _ := f.Managers[manager].Usage()
			f.Record.Add(Event{Kind: Used, Manager: manager, Files: files, MB: mb})
		}
	}
}

// StartStalledCallers keeps n callers at a manager that never finish a call, for 4 s each and then
// again: of kind part (half a call), drip (a byte at a time) or body (60 MB that
// nobody wants).
func (f *Fleet) StartStalledCallers(manager string, n int, kind string) {
	for range n {
		f.goroutines.Go(func() {
			for {
				select {
				case <-f.done:
					return
				default:
				}
				began := time.Now()
				if b := f.Managers[manager].newest(); b != nil {
					f.stalledCall(b.adminAddr, kind)
				}
				select { // one that is refused doesn't ask again at once
				case <-f.done:
				case <-time.After(500*time.Millisecond - time.Since(began)):
				}
			}
		})
	}
}

// stalledCall is one such caller's connection.
func (f *Fleet) stalledCall(addr, kind string) {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	end := time.Now().Add(4 * time.Second)
	c.SetDeadline(end)
	head := "POST /media-servers/enable?member=s-none HTTP/1.1\r\nHost: manager\r\nX-Filler: " + strings.Repeat("x", 300)
	pieces, gap := []string{head}, 4*time.Second
	switch kind {
	case "drip":
		pieces, gap = strings.Split(head, ""), 50*time.Millisecond
	case "body":
		pieces, gap = append([]string{head + "\r\nContent-Length: 60000000\r\n\r\n"}, slices.Repeat([]string{strings.Repeat("x", 60_000)}, 1000)...), 0
	}
	hung := make(chan struct{})
	go func() {
		defer close(hung)
		io.Copy(io.Discard, c) // an answer, until the manager hangs up
	}()
	for _, p := range pieces {
		if _, err := io.WriteString(c, p); err != nil {
			return
		}
		if gap == 0 {
			continue
		}
		select {
		case <-hung:
			return
		case <-f.done:
			return
		case <-time.After(min(gap, time.Until(end))):
		}
	}
}

// Upgrade puts a second process of a manager in the place of the one that runs: it
// waits for its yes, then the old one gets SIGTERM and, once the longest deadline and
// 0.7 s have passed, SIGKILL; what stands then is handed on. With kill "old" or "new"
// that one is killed so long after the second one's start.
func (f *Fleet) Upgrade(manager, kill string, after time.Duration) error {
	p := f.Managers[manager]
	if kill == "old" {
		time.AfterFunc(after, func() { f.Viewers.NoteReset(manager) }) // no set-up crosses a close, then
	}
	if err := p.StartSuccessor(kill, after); err != nil || kill == "new" {
		return err
	}
	f.scrapeMetrics(manager)
	p.StopPredecessors(f.Config.Load.TimeLeft + 700*time.Millisecond)
	return f.Viewers.ReportEstablished(manager, func(name string) string { return f.Nodes[name].ID })
}
