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

// ListEntry is one line of the list.
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

type listEndpoints struct {
	Revision int         `json:"revision"`
	Complete bool        `json:"complete"`
	Members  []ListEntry `json:"members"`
}

type listUpdate struct {
	Index     int            `json:"index"`
	Endpoints *listEndpoints `json:"endpoints"`
}

type listUpdates struct {
	Index   int          `json:"index"`
	Updates []listUpdate `json:"updates"`
}

// Coordinator is the coordinator as one manager sees it. Each manager has its own, so that
// a list may be late, wrong or silent for some.
type Coordinator struct {
	mu       sync.Mutex
	history  listUpdates
	changed  chan struct{}
	delay    time.Duration
	silent   bool
	listener net.Listener
	server   *http.Server
	done     chan struct{}
}

// NewCoordinator returns a list that holds members from its start.
func NewCoordinator(members []ListEntry) (*Coordinator, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Coordinator{changed: make(chan struct{}), listener: l, done: make(chan struct{})}
	c.appendUpdate(&listEndpoints{Complete: true, Members: members})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v2/stream", c.serveStream)
	c.server = &http.Server{Handler: mux}
	go func() {
		c.server.Serve(l)
		close(c.done)
	}()
	return c, nil
}

// Addr is where it answers.
func (l *Coordinator) Addr() string { return l.listener.Addr().String() }

// Close ends it.
func (l *Coordinator) Close() {
	l.server.Close()
	<-l.done
}

// SetDelay has what changes from now on be told so much later.
func (l *Coordinator) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetSilent has polls stay open and unanswered, or ends that.
func (l *Coordinator) SetSilent(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = on
	l.notifyChanged()
}

// Update tells of a change, at once or as late as the list is. told runs when it is
// there for the manager to read.
func (l *Coordinator) Update(m ListEntry, told func()) {
	l.mu.Lock()
	late := l.delay
	l.mu.Unlock()
	do := func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.appendUpdate(&listEndpoints{Members: []ListEntry{m}})
		told()
	}
	if late > 0 {
		time.AfterFunc(late, do)
		return
	}
	do()
}

// appendUpdate is called with the lock held, or before the list is used.
func (l *Coordinator) appendUpdate(e *listEndpoints) {
	l.history.Index++
	e.Revision = l.history.Index
	l.history.Updates = append(l.history.Updates, listUpdate{l.history.Index, e})
	l.notifyChanged()
}

func (l *Coordinator) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// KnownUpdates is what a manager that starts now is told.
func (l *Coordinator) KnownUpdates() listUpdates {
	l.mu.Lock()
	defer l.mu.Unlock()
	return listUpdates{l.history.Index, append([]listUpdate(nil), l.history.Updates...)}
}

func (l *Coordinator) serveStream(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("follow"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	until := time.After(time.Duration(min(max(ms, 0), 5000)) * time.Millisecond)
	var out listUpdates
	for waiting := true; waiting; {
		l.mu.Lock()
		out = listUpdates{Index: l.history.Index, Updates: []listUpdate{}}
		for _, u := range l.history.Updates {
			if u.Index > after {
				out.Updates = append(out.Updates, u)
			}
		}
		changed, silent := l.changed, l.silent
		l.mu.Unlock()
		if len(out.Updates) > 0 && !silent {
			break
		}
		var late <-chan time.Time
		if !silent {
			late = until
		}
		select {
		case <-changed:
		case <-late:
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
	w.Write(b) // a manager that is gone asks again
}
