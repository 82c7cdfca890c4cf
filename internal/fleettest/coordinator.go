package fleettest

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Phases of a media node on the list.
const (
	phaseInService   = "in_service"
	phaseTerminating = "terminating"
	phaseTerminated  = "terminated"
)

// ListEntry is one media node of the list.
type ListEntry struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Locality string `json:"locality"`
	Flavor   string `json:"flavor"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Size     int    `json:"size"`
	UpSince  int64  `json:"up_since_ms"`
}

// listEndpoints is the content of one update: entries that replace those of the same id, or with
// Complete the whole list.
type listEndpoints struct {
	Revision int         `json:"revision"`
	Complete bool        `json:"complete"`
	Members  []ListEntry `json:"members"`
}

// listUpdate is one numbered update.
type listUpdate struct {
	Index     int            `json:"index"`
	Endpoints *listEndpoints `json:"endpoints"`
}

// listUpdates is the answer to a poll: the updates after the requested index.
type listUpdates struct {
	Index   int          `json:"index"`
	Updates []listUpdate `json:"updates"`
}

// Coordinator is the coordinator as one manager sees it. Each manager has one of its own, so that
// the list can be late, wrong or unavailable for some managers only.
type Coordinator struct {
	mu       sync.Mutex
	history  listUpdates   // all updates so far
	changed  chan struct{} // closed and replaced at each change
	delay    time.Duration // of updates
	silent   bool          // polls are not answered
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// NewCoordinator returns a running coordinator whose first update lists entries.
func NewCoordinator(entries []ListEntry) (*Coordinator, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	coordinator := &Coordinator{changed: make(chan struct{}), listener: l, done: make(chan struct{})}
	coordinator.appendUpdate(&listEndpoints{Complete: true, Members: entries})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/stream", coordinator.serveStream)
	coordinator.server = &http.Server{Handler: mux}
	go func() {
		coordinator.server.Serve(l)
		close(coordinator.done)
	}()
	return coordinator, nil
}

// Addr returns the address at which the coordinator answers.
func (c *Coordinator) Addr() string { return c.listener.Addr().String() }

// Close stops the coordinator.
func (c *Coordinator) Close() {
	c.server.Close()
	<-c.done
}

// SetDelay delays updates that are made from now on.
func (c *Coordinator) SetDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// SetSilent sets whether polls stay open without an answer.
func (c *Coordinator) SetSilent(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = on
	c.notifyChanged()
}

// Update publishes the state of a node, after the delay that SetDelay set. told is called when the
// manager can read it.
func (c *Coordinator) Update(entry ListEntry, told func()) {
	c.mu.Lock()
	delay := c.delay
	c.mu.Unlock()
	do := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.appendUpdate(&listEndpoints{Members: []ListEntry{entry}})
		told()
	}
	if delay > 0 {
		time.AfterFunc(delay, do)
		return
	}
	do()
}

// appendUpdate appends to the history. l.mu must be held, unless the coordinator is not in use yet.
func (c *Coordinator) appendUpdate(e *listEndpoints) {
	c.history.Index++
	e.Revision = c.history.Index
	c.history.Updates = append(c.history.Updates, listUpdate{c.history.Index, e})
	c.notifyChanged()
}

// notifyChanged wakes open polls. l.mu must be held.
func (c *Coordinator) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// KnownUpdates returns the list that a starting manager is given in its configuration.
func (c *Coordinator) KnownUpdates() listUpdates {
	c.mu.Lock()
	defer c.mu.Unlock()
	return listUpdates{c.history.Index, append([]listUpdate(nil), c.history.Updates...)}
}

// serveStream answers a long poll: at once if there are updates after the index that the manager
// has, else after the next update or the requested waiting time, of at most 5 s.
func (c *Coordinator) serveStream(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("follow"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.After(time.Duration(min(max(ms, 0), 5000)) * time.Millisecond)
	var out listUpdates
	for waiting := true; waiting; {
		c.mu.Lock()
		out = listUpdates{Index: c.history.Index, Updates: []listUpdate{}}
		for _, u := range c.history.Updates {
			if u.Index > after {
				out.Updates = append(out.Updates, u)
			}
		}
		changed, silent := c.changed, c.silent
		c.mu.Unlock()
		if len(out.Updates) > 0 && !silent {
			break
		}
		var timeout <-chan time.Time
		if !silent {
			timeout = until
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	b, err := json.Marshal(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(b) // a manager whose connection broke polls again
}
