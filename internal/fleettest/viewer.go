package fleettest

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// Viewers simulates the viewers of all halls. Like the platform's load balancer they share a few
// connections to each manager, and each connection carries many sessions.
type Viewers struct {
	Record         *Record
	ManagerAddrs   map[string]string // by manager, as viewers reach it
	ManagersByHall map[string][]string
	BilledClasses  map[string]bool // classes whose set-ups are billed
	Load           Load
	TitleCopies    int                         // number of cells that hold each title
	OnMessage      func(id string, m *Message) // called with each message received; for tests; may be nil

	mu            sync.Mutex
	rng           *rand.Rand
	conns         map[string][]*viewerConn  // by manager
	requests      map[string]*viewerRequest // by session id
	resetAt       map[string]time.Time      // by manager: when a fault last reset its connections
	notReadySince map[string]time.Time      // by manager: since when it reports that it takes no viewers
	closed        bool
	requestCount  uint64
	goroutines    sync.WaitGroup
	stop          chan struct{} // closed by Close
}

// Load is the load that viewers offer.
type Load struct {
	SessionsPerSecond float64            // new sessions, over all halls
	ClipShare         float64            // share of class clip; the others are of class feed
	TimeLeft          time.Duration      // within which a viewer wants its answer
	RetryShare        float64            // share that tries again after a break or a refusal
	ManagerWeights    map[string]float64 // by manager; 1 where it is not named
	Titles            int                // number of titles
}

// Message is one message of a manager.
type Message struct {
	Type   string            `json:"type"`
	ID     string            `json:"id"`
	Fields map[string]string `json:"fields"`
	Cause  int               `json:"cause"`
	SDP    string            `json:"sdp"`
}

// viewerConn is a connection of viewers to a manager. The mutex of Viewers guards its fields.
type viewerConn struct {
	net.Conn
	manager     string
	openSetUps  map[string]bool // set-ups without an answer
	lastTakenAt time.Time       // when the last set-up that was not refused was sent on it
	established int             // number of established sessions whose answer came on it
	lastUsedAt  time.Time       // when it last had an open set-up or an established session
	received    bool            // a message has come on it
	closed      bool
}

// closeSetUp removes a set-up from the open ones. The mutex of Viewers must be held.
func (v *viewerConn) closeSetUp(id string) {
	if v.openSetUps[id] {
		delete(v.openSetUps, id)
		v.lastUsedAt = time.Now()
	}
}

// addEstablished assigns an established session to this connection. The mutex of Viewers must be
// held.
func (v *viewerConn) addEstablished(r *viewerRequest) {
	if r.establishedConn != nil {
		r.establishedConn.removeEstablished()
	}
	r.served, r.establishedConn = true, v
	v.established++
}

// removeEstablished undoes addEstablished. The mutex of Viewers must be held.
func (v *viewerConn) removeEstablished() {
	v.established--
	v.lastUsedAt = time.Now()
}

// connNeverAnswered is the text of a Dropped event if its connection never delivered a message.
const connNeverAnswered = "unread"

// viewerRequest is one request of a viewer. A retry is another request.
type viewerRequest struct {
	class, key, hall, manager  string
	retries                    int
	sentAt                     time.Time
	resent                     bool        // it was sent again since the connection was closed while it was on its way
	served, over, retryDecided bool        // it was served, its session is over, and it was decided whether the viewer retries
	node                       string      // that plays the session
	establishedConn            *viewerConn // on which the answer came
}

// connsPerManager is how many connections viewers keep to one manager.
const connsPerManager = 3

// closeRaceWindow is how long after a set-up a close of its connection counts as concurrent with
// it: the manager need not have read it. The set-up is then sent once more, on a new connection.
const closeRaceWindow = 100 * time.Millisecond

// NewViewers initializes and returns vs. No viewer arrives before Run or Arrive is called.
func NewViewers(vs *Viewers, seed uint64) *Viewers {
	vs.rng = rand.New(rand.NewPCG(seed, 3))
	vs.conns = map[string][]*viewerConn{}
	vs.requests = map[string]*viewerRequest{}
	vs.resetAt = map[string]time.Time{}
	vs.notReadySince = map[string]time.Time{}
	vs.stop = make(chan struct{})
	return vs
}

// Close stops all viewers and closes their connections.
func (vs *Viewers) Close() {
	vs.mu.Lock()
	if vs.closed {
		vs.mu.Unlock()
		return
	}
	vs.closed = true
	close(vs.stop)
	for _, l := range vs.conns {
		for _, v := range l {
			v.Close()
		}
	}
	vs.mu.Unlock()
	vs.goroutines.Wait()
}

// Run lets new viewers arrive at the rate of the load until done is closed. Arrivals do not wait
// for answers.
func (vs *Viewers) Run(done <-chan struct{}) {
	vs.goroutines.Go(func() {
		next := time.Now()
		for {
			vs.mu.Lock()
			rate := vs.Load.SessionsPerSecond
			gap := time.Duration(vs.rng.ExpFloat64() / max(rate, 0.001) * float64(time.Second))
			vs.mu.Unlock()
			if rate <= 0 {
				gap, next = 20*time.Millisecond, time.Now()
			}
			next = next.Add(gap)
			select {
			case <-done:
				return
			case <-vs.stop:
				return
			case <-time.After(time.Until(next)):
			}
			if rate > 0 {
				vs.Arrive("")
			}
		}
	})
}

// SetRate changes the rate of arrivals. A rate of 0 also ends retries.
func (vs *Viewers) SetRate(rate float64) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if rate == 0 {
		vs.Load.RetryShare = 0
	}
	vs.Load.SessionsPerSecond = rate
}

// NoteReset announces that a fault resets the connections to a manager, so that their end is not
// taken for an ordinary close that is concurrent with set-ups.
func (vs *Viewers) NoteReset(manager string) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	vs.resetAt[manager] = time.Now()
}

// Arrive sends the request of one new viewer to a manager, or with "" to one drawn by weight, and
// returns the session id.
func (vs *Viewers) Arrive(manager string) string {
	vs.mu.Lock()
	r := &viewerRequest{class: "feed", manager: manager}
	if vs.rng.Float64() < vs.Load.ClipShare {
		r.class = "clip"
	}
	r.key = fmt.Sprintf("%016x", 0x7f00+vs.rng.IntN(max(vs.Load.Titles, 1)))
	if manager == "" {
		r.manager = vs.pickManager("")
	}
	r.hall = vs.hallOf(r.manager)
	vs.mu.Unlock()
	return vs.sendSetUp(r, "")
}

// hallOf returns the hall of a manager.
func (vs *Viewers) hallOf(manager string) string {
	for h, l := range vs.ManagersByHall {
		for _, m := range l {
			if m == manager {
				return h
			}
		}
	}
	return ""
}

// pickManager draws a manager of a hall, or with "" of any, by weight.
func (vs *Viewers) pickManager(hall string) string {
	var names []string
	sum := 0.0
	for _, h := range sortedKeys(vs.ManagersByHall) {
		if hall != "" && h != hall {
			continue
		}
		for _, m := range vs.ManagersByHall[h] {
			names = append(names, m)
			sum += vs.weight(m)
		}
	}
	at := vs.rng.Float64() * sum
	for _, m := range names {
		if at -= vs.weight(m); at < 0 {
			return m
		}
	}
	return names[len(names)-1]
}

func (vs *Viewers) weight(m string) float64 {
	if w, ok := vs.Load.ManagerWeights[m]; ok {
		return w
	}
	return 1
}

// sendSetUp sends a set-up on an open connection or a new one. A non-empty id is that of a request
// that is sent again.
func (vs *Viewers) sendSetUp(r *viewerRequest, id string) string {
	vs.mu.Lock()
	if vs.closed {
		vs.mu.Unlock()
		return ""
	}
	left, moved := vs.Load.TimeLeft, false
	if len(vs.conns[r.manager]) == 0 && !vs.acceptsConns(r.manager) {
		other := vs.pickAccepting(r.hall, r.manager)
		r.manager, moved = other, other != r.manager
	}
	manager := r.manager
	if id == "" {
		vs.requestCount++
		id = fmt.Sprintf("%08x%08x", vs.rng.Uint32(), vs.requestCount)
		vs.requests[id] = r
	}
	var v *viewerConn
	live := 0
	for _, o := range vs.conns[manager] {
		if !o.closed {
			live++
			v = o
		}
	}
	if live > 0 {
		n := vs.rng.IntN(live)
		for _, o := range vs.conns[manager] {
			if !o.closed {
				if n == 0 {
					v = o
				}
				n--
			}
		}
	}
	if live < connsPerManager && (live == 0 || vs.acceptsConns(manager)) {
		v = nil
	}
	vs.mu.Unlock()
	if v == nil {
		var err error
		if v, err = vs.dial(manager); err != nil {
			vs.Record.Add(Event{Kind: RequestTurnedBack, Manager: manager, ID: id, Text: "refused"})
			vs.Record.Add(Event{Kind: ViewerConnClosed, Manager: manager, ID: id})
			r.hall = ""         // retry in any hall
			vs.retryLater(r, 0) // no manager has accepted it
			return ""
		}
		if v == nil {
			return ""
		}
	}
	fields := map[string]string{"class": r.class, "left": strconv.FormatInt(left.Milliseconds(), 10), "key": r.key,
		"extras": fmt.Sprintf("home:0;copies:%d;top:3;viewer:%s", vs.TitleCopies, id)}
	if r.retries > 0 {
		fields["retry"] = "1"
		fields["extras"] += ";again:1"
	}
	line, _ := json.Marshal(map[string]any{"type": "setup", "id": id, "fields": fields, "sdp": "c=" + id + "\r\n"})
	vs.mu.Lock()
	if v.closed { // it was closed since it was picked, and nothing was written on it
		vs.mu.Unlock()
		return vs.sendSetUp(r, id)
	}
	v.openSetUps[id] = true
	r.sentAt = time.Now()
	resent := r.resent
	vs.mu.Unlock()
	if !resent || moved {
		vs.Record.Add(Event{Kind: SetUpRequested, Manager: manager, ID: id, Class: r.class, Billed: vs.BilledClasses[r.class], TimeLeft: left})
	}
	if _, err := v.Write(append(line, '\n')); err != nil {
		v.Close() // readConn then handles the open set-ups
	}
	time.AfterFunc(left, func() { vs.abandonSetUp(v, id, r) })
	return id
}

// dial opens a connection to a manager. It returns nil without an error if Viewers is closed.
func (vs *Viewers) dial(manager string) (*viewerConn, error) {
	conn, err := net.DialTimeout("tcp4", vs.ManagerAddrs[manager], time.Second)
	if err != nil {
		return nil, err
	}
	v := &viewerConn{Conn: conn, manager: manager, openSetUps: map[string]bool{}, lastUsedAt: time.Now()}
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if vs.closed {
		conn.Close()
		return nil, nil
	}
	vs.conns[manager] = append(vs.conns[manager], v)
	vs.goroutines.Go(func() { vs.readConn(v) })
	return v, nil
}

// abandonSetUp abandons a set-up that has no answer when its viewer's time is up.
func (vs *Viewers) abandonSetUp(v *viewerConn, id string, r *viewerRequest) {
	vs.mu.Lock()
	unanswered := v.openSetUps[id] && !vs.closed
	v.closeSetUp(id)
	vs.mu.Unlock()
	if !unanswered {
		return
	}
	vs.Record.Add(Event{Kind: SetUpAbandoned, Manager: v.manager, ID: id})
	line, _ := json.Marshal(map[string]any{"type": "release", "id": id, "fields": map[string]string{}, "cause": 16})
	v.Write(append(line, '\n')) // the manager may have gone
	vs.retryLater(r, 0)
}

// retryLater lets the viewer of a request retry at any manager of its hall, after the time that it
// was told to wait.
func (vs *Viewers) retryLater(r *viewerRequest, wait time.Duration) {
	vs.mu.Lock()
	defer vs.mu.Unlock()
	if vs.closed || r.retryDecided {
		return
	}
	r.retryDecided = true
	if vs.rng.Float64() >= vs.Load.RetryShare {
		return
	}
	next := &viewerRequest{class: r.class, key: r.key, hall: r.hall, manager: vs.pickManager(r.hall), retries: r.retries + 1}
	after := max(wait, 620*time.Millisecond+time.Duration(vs.rng.Float64()*float64(2380*time.Millisecond)))
	vs.goroutines.Go(func() {
		select {
		case <-vs.stop:
		case <-time.After(after):
			vs.sendSetUp(next, "")
		}
	})
}

// readConn handles the messages on a connection and, once it ends, the set-ups that are open on it.
func (vs *Viewers) readConn(v *viewerConn) {
	in := bufio.NewReaderSize(v, 32<<10)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			if len(line) > 0 {
				vs.Record.Add(Event{Kind: MalformedMessage, Manager: v.manager, Text: string(line)})
			}
			break
		}
		var m Message
		if err := json.Unmarshal(line, &m); err != nil {
			vs.Record.Add(Event{Kind: MalformedMessage, Manager: v.manager, Text: string(line)})
			continue
		}
		vs.handleMessage(v, &m)
	}
	v.Close()
	vs.mu.Lock()
	v.closed = true
	var lost []*viewerRequest
	resending := map[string]*viewerRequest{}
	for id := range v.openSetUps {
		r := vs.requests[id]
		if !r.resent && time.Since(r.sentAt) < closeRaceWindow && time.Since(vs.resetAt[v.manager]) > 2*closeRaceWindow {
			vs.Record.Add(Event{Kind: RequestTurnedBack, Manager: v.manager, ID: id, Text: "closed"})
			r.resent = true
			resending[id] = r
			continue
		}
		e := Event{Kind: ViewerConnClosed, Manager: v.manager, ID: id}
		if !v.received {
			e.Text = connNeverAnswered
		}
		vs.Record.Add(e)
		lost = append(lost, r)
	}
	for i, o := range vs.conns[v.manager] {
		if o == v {
			vs.conns[v.manager] = append(vs.conns[v.manager][:i], vs.conns[v.manager][i+1:]...)
			break
		}
	}
	vs.mu.Unlock()
	for id, r := range resending {
		vs.sendSetUp(r, id)
	}
	for _, r := range lost {
		r.hall = ""
		vs.retryLater(r, 0)
	}
}

// handleMessage handles one message of a manager.
func (vs *Viewers) handleMessage(v *viewerConn, m *Message) {
	if vs.OnMessage != nil {
		vs.OnMessage(m.ID, m)
	}
	vs.mu.Lock()
	v.received = true
	r := vs.requests[m.ID]
	if r == nil {
		vs.mu.Unlock()
		return
	}
	served := r.served
	if m.Type == "answer" {
		r.node = nodeOfDescription(m.SDP)
		v.addEstablished(r)
	}
	if m.Type == "answer" || m.Type == "release" && m.Cause != 34 && m.Cause != 42 && m.Cause != 102 {
		v.lastTakenAt = r.sentAt
	}
	if served && !r.over && (m.Type == "release" || m.Type == "move") {
		r.over = true
		r.establishedConn.removeEstablished()
	}
	if m.Type != "progress" {
		v.closeSetUp(m.ID)
	}
	vs.mu.Unlock()
	e := Event{Kind: Answered, Manager: v.manager, ID: m.ID, Cause: m.Cause}
	wait := time.Duration(0)
	switch {
	case m.Type == "answer":
		e.Outcome, e.Text = Served, m.SDP
	case m.Type == "move":
		e.Kind = MoveReceived
	case m.Type == "release" && served:
		e.Kind = ReleaseReceived
	case m.Type == "release" && (m.Cause == 34 || m.Cause == 42 || m.Cause == 102):
		e.Outcome = Refused
		ms, _ := strconv.Atoi(m.Fields["wait"])
		wait = time.Duration(ms) * time.Millisecond
	case m.Type == "release":
		e.Outcome = Failed
	default:
		return
	}
	vs.Record.Add(e)
	if e.Kind == MoveReceived || e.Kind == ReleaseReceived { // acknowledge the end of the session
		line, _ := json.Marshal(map[string]any{"type": "released", "id": m.ID, "fields": map[string]string{}})
		v.Write(append(line, '\n'))
	}
	if e.Kind == MoveReceived || e.Kind == ReleaseReceived && m.Cause != 16 || e.Outcome == Refused || e.Outcome == Failed {
		vs.retryLater(r, wait)
	}
}
