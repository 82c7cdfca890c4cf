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

// Metrics is the content of /metrics. The counters start with the process.
type Metrics struct {
	OK          map[string]int `json:"ok"` // by class, like Shed and Errors
	Shed        map[string]int `json:"shed"`
	Errors      map[string]int `json:"errors"`
	Tries       int            `json:"tries"`
	Active      int            `json:"active"`
	PoolSize    int            `json:"pool_size"`
	PoolEjected int            `json:"pool_ejected"`
}

// adminClient uses one connection for each call. Its timeout exceeds the time that a call may take,
// so that the lateness of an answer is measured.
var adminClient = http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}

// callAdmin makes a call at an address. A status of 0 means that no answer came; text is then the
// error.
func callAdmin(addr, method, path string) (status int, text []byte, took time.Duration) {
	began := time.Now()
	fail := func(err error) (int, []byte, time.Duration) { return 0, []byte(err.Error()), time.Since(began) }
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return fail(err)
	}
	response, err := adminClient.Do(request)
	if err != nil {
		return fail(err)
	}
	defer response.Body.Close()
	if text, err = io.ReadAll(io.LimitReader(response.Body, 1<<20)); err != nil {
		return fail(err)
	}
	return response.StatusCode, text, time.Since(began)
}

// Call makes a call to a manager's newest ready process and records it. node is the node that the
// call names, or empty.
func (f *Fleet) Call(manager, method, path, node string) (status int, text []byte, err error) {
	p := f.Managers[manager].adminProcess()
	if p == nil || p.adminAddr == "" {
		return 0, nil, fmt.Errorf("%s is not running, or has no address for operators' calls", manager)
	}
	status, text, took := callAdmin(p.adminAddr, method, path)
	f.Record.Add(Event{Kind: OperatorCalled, Manager: manager, Node: node, Text: method + " " + path, Cause: status, Elapsed: took})
	return status, text, nil
}

// SetNodeDisabled disables or enables a node at a manager by an operator override.
func (f *Fleet) SetNodeDisabled(manager, node string, disabled bool) error {
	what := map[bool]string{true: "disable", false: "enable"}[disabled]
	status, text, err := f.Call(manager, "POST", "/media-servers/"+what+"?member="+f.Nodes[node].ID, node)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("%s of %s at %s: %d %s", what, node, manager, status, text)
	}
	return err
}

// scrapeMetrics fetches the metrics of each process of a manager that has reported ready.
func (f *Fleet) scrapeMetrics(manager string) {
	for p, mustAnswer := range f.Managers[manager].metricsProcesses() {
		status, text, took := callAdmin(p.adminAddr, "GET", "/metrics")
		select {
		case <-p.exited: // it need not answer any more
			continue
		default:
		}
		if status == 200 || mustAnswer {
			f.Record.Add(Event{Kind: OperatorCalled, Manager: manager, Text: "GET /metrics", Cause: status, Elapsed: took})
		}
		if status != 200 {
			continue
		}
		var metrics Metrics
		if err := json.Unmarshal(text, &metrics); err != nil {
			f.Record.Add(Event{Kind: OperatorCalled, Manager: manager, Text: fmt.Sprintf("GET /metrics, unreadable: %v", err), Elapsed: took})
			continue
		}
		f.Record.Add(Event{Kind: MetricsRead, Manager: manager, Process: p.number, Elapsed: took, Figures: &metrics})
	}
}

// watchMetrics fetches a manager's metrics each second, and five times as often while it has two
// processes, so that little happens between the last fetch from a process and its end.
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
			f.Record.Add(Event{Kind: ResourcesSampled, Manager: manager, Descriptors: files, MemoryMB: mb})
		}
	}
}

// StartStalledCallers starts n callers that never complete a call to a manager. Each keeps its
// connection for up to 4 s and then connects again. kind is part (half a request), drip (a byte at
// a time) or body (a body of 60 MB that the call does not need).
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
				if p := f.Managers[manager].newest(); p != nil {
					f.stalledCall(p.adminAddr, kind)
				}
				select { // a caller that is refused does not connect again at once
				case <-f.done:
				case <-time.After(500*time.Millisecond - time.Since(began)):
				}
			}
		})
	}
}

// stalledCall makes one connection of such a caller.
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
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		io.Copy(io.Discard, c) // until the manager closes the connection
	}()
	for _, piece := range pieces {
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
		if gap == 0 {
			continue
		}
		select {
		case <-closed:
			return
		case <-f.done:
			return
		case <-time.After(min(gap, time.Until(end))):
		}
	}
}

// Upgrade replaces the running process of a manager by a second one: it waits until the second one
// reports ready, sends the first one SIGTERM and, once the longest deadline and 0.7 s have passed,
// SIGKILL, and then reports the established sessions to the second one. With kill "old" or "new"
// that process is killed the given time after the start of the second one.
func (f *Fleet) Upgrade(manager, kill string, after time.Duration) error {
	m := f.Managers[manager]
	if kill == "old" {
		time.AfterFunc(after, func() { f.Viewers.NoteReset(manager) }) // the end of its connections is a fault, not an ordinary close
	}
	if err := m.StartSuccessor(kill, after); err != nil || kill == "new" {
		return err
	}
	f.scrapeMetrics(manager)
	m.StopPredecessors(f.Config.Load.TimeLeft + 700*time.Millisecond)
	return f.Viewers.ReportEstablished(manager, func(name string) string { return f.Nodes[name].ID })
}
