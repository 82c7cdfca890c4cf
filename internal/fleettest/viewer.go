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

// Viewers is the viewers of all halls. Like the platform's front it keeps a few
// connections to each manager, and each carries many sessions.
type Viewers struct {
	Record         *Record
	ManagerAddrs   map[string]string   // of each manager, as viewers reach it
	ManagersByHall map[string][]string // managers by hall
	BilledClasses  map[string]bool
	Load           Load
	TitleCopies    int                         // cells that hold each title
	OnMessage      func(id string, m *Message) // told of what came; for tests; may be nil

	mu            sync.Mutex
	rng           *rand.Rand
	conns         map[string][]*viewerConn
	requests      map[string]*viewerRequest
	resetAt       map[string]time.Time // when a manager's connections were broken on their way
	notReadySince map[string]time.Time // since when a manager takes no viewers
	closed        bool
	requestCount  uint64
	goroutines    sync.WaitGroup
	stop          chan struct{}
}

// Load is what viewers do.
type Load struct {
	SessionsPerSecond float64 // new sessions a second, over all halls
	ClipShare         float64 // share of class clip
	TimeLeft          time.Duration
	RetryShare        float64            // share that comes again after a break or a refusal
	ManagerWeights    map[string]float64 // by manager; 1 where not named
	Titles            int
}

// Message is one line of a manager.
type Message struct {
	Type   string            `json:"type"`
	ID     string            `json:"id"`
	Fields map[string]string `json:"fields"`
	Cause  int               `json:"cause"`
	SDP    string            `json:"sdp"`
}

type viewerConn struct {
	net.Conn
	manager     string
	openSetUps  map[string]bool // set-ups without an answer
	lastTakenAt time.Time       // when the last set-up went on it that was not refused
	established int             // sessions whose answer came on it
	lastUsedAt  time.Time       // when one was last open on it, or a session stood by it
	received    bool            // a line came
	closed      bool
}

// closeSetUp takes a set-up off what is open, with the crowd's lock held.
func (v *viewerConn) closeSetUp(id string) {
	if v.openSetUps[id] {
		delete(v.openSetUps, id)
		v.lastUsedAt = time.Now()
	}
}

// addEstablished notes, with the crowd's lock held, that a session stands by this connection.
func (v *viewerConn) addEstablished(a *viewerRequest) {
	if a.establishedConn != nil {
		a.establishedConn.removeEstablished()
	}
	a.served, a.establishedConn = true, v
	v.established++
}

// removeEstablished notes, likewise, that one no longer does.
func (v *viewerConn) removeEstablished() {
	v.established--
	v.lastUsedAt = time.Now()
}

// connNeverAnswered marks what was lost on a connection from which no word ever came.
const connNeverAnswered = "unread"

// viewerRequest is one try of one viewer.
type viewerRequest struct {
	class, key, hall, manager  string
	retries                    int
	sentAt                     time.Time // when it was sent
	resent                     bool      // it went again, since it had crossed a close
	served, over, retryDecided bool
	node                       string      // that plays it
	establishedConn            *viewerConn // on which its answer came
}

// connsPerManager is how many connections viewers keep to one manager.
const connsPerManager = 3

// closeRaceWindow is how long after a set-up a close of its connection is taken to have
// crossed it. It goes again then, on a new connection, once.
const closeRaceWindow = 100 * time.Millisecond

// NewViewers returns a Crowd that begins nothing by itself.
func NewViewers(c *Viewers, seed uint64) *Viewers {
	c.rng = rand.New(rand.NewPCG(seed, 3))
	c.conns = map[string][]*viewerConn{}
	c.requests = map[string]*viewerRequest{}
	c.resetAt = map[string]time.Time{}
	c.notReadySince = map[string]time.Time{}
	c.stop = make(chan struct{})
	return c
}

// Close ends all.
func (c *Viewers) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	close(c.stop)
	for _, l := range c.conns {
		for _, v := range l {
			v.Close()
		}
	}
	c.mu.Unlock()
	c.goroutines.Wait()
}

// Run has new viewers come at the load's rate until done is closed. Arrivals don't
// wait for answers.
func (c *Viewers) Run(done <-chan struct{}) {
	c.goroutines.Go(func() {
		next := time.Now()
		for {
			c.mu.Lock()
			rate := c.Load.SessionsPerSecond
			gap := time.Duration(c.rng.ExpFloat64() / max(rate, 0.001) * float64(time.Second))
			c.mu.Unlock()
			if rate <= 0 {
				gap, next = 20*time.Millisecond, time.Now()
			}
			next = next.Add(gap)
			select {
			case <-done:
				return
			case <-c.stop:
				return
			case <-time.After(time.Until(next)):
			}
			if rate > 0 {
				c.Arrive("")
			}
		}
	})
}

// SetRate changes how many come. With 0 nobody comes again either.
func (c *Viewers) SetRate(rate float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rate == 0 {
		c.Load.RetryShare = 0
	}
	c.Load.SessionsPerSecond = rate
}

// NoteReset tells that a fault breaks the connections to a manager: nothing has crossed
// a close, then.
func (c *Viewers) NoteReset(manager string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetAt[manager] = time.Now()
}

// Arrive has one new viewer ask a manager, or with "" one of a hall drawn by weight.
func (c *Viewers) Arrive(manager string) string {
	c.mu.Lock()
	a := &viewerRequest{class: "feed", manager: manager}
	if c.rng.Float64() < c.Load.ClipShare {
		a.class = "clip"
	}
	a.key = fmt.Sprintf("%016x", 0x7f00+c.rng.IntN(max(c.Load.Titles, 1)))
	if manager == "" {
		a.manager = c.pickManager("")
	}
	a.hall = c.hallOf(a.manager)
	c.mu.Unlock()
	return c.sendSetUp(a, "")
}

func (c *Viewers) hallOf(manager string) string {
	for h, l := range c.ManagersByHall {
		for _, m := range l {
			if m == manager {
				return h
			}
		}
	}
	return ""
}

// pickManager draws a manager of a hall, or of any, by weight.
func (c *Viewers) pickManager(hall string) string {
	var names []string
	sum := 0.0
	for _, h := range sortedKeys(c.ManagersByHall) {
		if hall != "" && h != hall {
			continue
		}
		for _, m := range c.ManagersByHall[h] {
			names = append(names, m)
			sum += c.weight(m)
		}
	}
	at := c.rng.Float64() * sum
	for _, m := range names {
		if at -= c.weight(m); at < 0 {
			return m
		}
	}
	return names[len(names)-1]
}

func (c *Viewers) weight(m string) float64 {
	if w, ok := c.Load.ManagerWeights[m]; ok {
		return w
	}
	return 1
}

// sendSetUp sends a set-up, on a connection that is open or on a new one. With an id it is
// one that goes again.
func (c *Viewers) sendSetUp(a *viewerRequest, id string) string {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return ""
	}
	left, moved := c.Load.TimeLeft, false
	if len(c.conns[a.manager]) == 0 && !c.acceptsConns(a.manager) {
		other := c.pickAccepting(a.hall, a.manager)
		a.manager, moved = other, other != a.manager
	}
	manager := a.manager
	if id == "" {
		c.requestCount++
		id = fmt.Sprintf("%08x%08x", c.rng.Uint32(), c.requestCount)
		c.requests[id] = a
	}
	var v *viewerConn
	live := 0
	for _, o := range c.conns[manager] {
		if !o.closed {
			live++
			v = o
		}
	}
	if live > 0 {
		n := c.rng.IntN(live)
		for _, o := range c.conns[manager] {
			if !o.closed {
				if n == 0 {
					v = o
				}
				n--
			}
		}
	}
	if live < connsPerManager && (live == 0 || c.acceptsConns(manager)) {
		v = nil
	}
	c.mu.Unlock()
	if v == nil {
		var err error
		if v, err = c.dial(manager); err != nil {
			c.Record.Add(Event{Kind: TurnedBack, Manager: manager, ID: id, Text: "refused"})
			c.Record.Add(Event{Kind: Dropped, Manager: manager, ID: id})
			a.hall = ""        // it looks elsewhere
			c.retryLater(a, 0) // nobody has taken it
			return ""
		}
		if v == nil {
			return ""
		}
	}
	fields := map[string]string{"class": a.class, "left": strconv.FormatInt(left.Milliseconds(), 10), "key": a.key,
		"extras": fmt.Sprintf("home:0;copies:%d;top:3;viewer:%s", c.TitleCopies, id)}
	if a.retries > 0 {
		fields["retry"] = "1"
		fields["extras"] += ";again:1"
	}
	line, _ := json.Marshal(map[string]any{"type": "setup", "id": id, "fields": fields, "sdp": "c=" + id + "\r\n"})
	c.mu.Lock()
	if v.closed { // it ended since it was picked: nothing was written on it
		c.mu.Unlock()
		return c.sendSetUp(a, id)
	}
	v.openSetUps[id] = true
	a.sentAt = time.Now()
	crossed := a.resent
	c.mu.Unlock()
	if !crossed || moved {
		c.Record.Add(Event{Kind: Asked, Manager: manager, ID: id, Class: a.class, Paid: c.BilledClasses[a.class], Left: left})
	}
	if _, err := v.Write(append(line, '\n')); err != nil {
		v.Close() // its reader tells of what was open
	}
	time.AfterFunc(left, func() { c.abandonSetUp(v, id, a) })
	return id
}

// dial opens a connection to a manager; nil: the crowd is closed.
func (c *Viewers) dial(manager string) (*viewerConn, error) {
	nc, err := net.DialTimeout("tcp4", c.ManagerAddrs[manager], time.Second)
	if err != nil {
		return nil, err
	}
	v := &viewerConn{Conn: nc, manager: manager, openSetUps: map[string]bool{}, lastUsedAt: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		nc.Close()
		return nil, nil
	}
	c.conns[manager] = append(c.conns[manager], v)
	c.goroutines.Go(func() { c.readConn(v) })
	return v, nil
}

// abandonSetUp gives a set-up up that is not answered when its viewer's time is up.
func (c *Viewers) abandonSetUp(v *viewerConn, id string, a *viewerRequest) {
	c.mu.Lock()
	waits := v.openSetUps[id] && !c.closed
	v.closeSetUp(id)
	c.mu.Unlock()
	if !waits {
		return
	}
	c.Record.Add(Event{Kind: Left, Manager: v.manager, ID: id})
	line, _ := json.Marshal(map[string]any{"type": "release", "id": id, "fields": map[string]string{}, "cause": 16})
	v.Write(append(line, '\n')) // a manager that is gone needs no word
	c.retryLater(a, 0)
}

// retryLater has a viewer come again, after what it was told to wait, to any manager of
// its hall.
func (c *Viewers) retryLater(a *viewerRequest, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || a.retryDecided {
		return
	}
	a.retryDecided = true
	if c.rng.Float64() >= c.Load.RetryShare {
		return
	}
	next := &viewerRequest{class: a.class, key: a.key, hall: a.hall, manager: c.pickManager(a.hall), retries: a.retries + 1}
	after := max(wait, 620*time.Millisecond+time.Duration(c.rng.Float64()*float64(2380*time.Millisecond)))
	c.goroutines.Go(func() {
		select {
		case <-c.stop:
		case <-time.After(after):
			c.sendSetUp(next, "")
		}
	})
}

func (c *Viewers) readConn(v *viewerConn) {
	in := bufio.NewReaderSize(v, 32<<10)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			if len(line) > 0 {
				c.Record.Add(Event{Kind: Unreadable, Manager: v.manager, Text: string(line)})
			}
			break
		}
		var m Message
		if err := json.Unmarshal(line, &m); err != nil {
			c.Record.Add(Event{Kind: Unreadable, Manager: v.manager, Text: string(line)})
			continue
		}
		c.handleMessage(v, &m)
	}
	v.Close()
	c.mu.Lock()
	v.closed = true
	var lost []*viewerRequest
	crossed := map[string]*viewerRequest{}
	for id := range v.openSetUps {
		a := c.requests[id]
		if !a.resent && time.Since(a.sentAt) < closeRaceWindow && time.Since(c.resetAt[v.manager]) > 2*closeRaceWindow {
			c.Record.Add(Event{Kind: TurnedBack, Manager: v.manager, ID: id, Text: "closed"})
			a.resent = true
			crossed[id] = a
			continue
		}
		e := Event{Kind: Dropped, Manager: v.manager, ID: id}
		if !v.received {
			e.Text = connNeverAnswered
		}
		c.Record.Add(e)
		lost = append(lost, a)
	}
	for i, o := range c.conns[v.manager] {
		if o == v {
			c.conns[v.manager] = append(c.conns[v.manager][:i], c.conns[v.manager][i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	for id, a := range crossed {
		c.sendSetUp(a, id)
	}
	for _, a := range lost {
		a.hall = ""
		c.retryLater(a, 0)
	}
}

func (c *Viewers) handleMessage(v *viewerConn, m *Message) {
	if c.OnMessage != nil {
		c.OnMessage(m.ID, m)
	}
	c.mu.Lock()
	v.received = true
	a := c.requests[m.ID]
	if a == nil {
		c.mu.Unlock()
		return
	}
	served := a.served
	if m.Type == "answer" {
		a.node = nodeOfDescription(m.SDP)
		v.addEstablished(a)
	}
	if m.Type == "answer" || m.Type == "release" && m.Cause != 34 && m.Cause != 42 && m.Cause != 102 {
		v.lastTakenAt = a.sentAt
	}
	if served && !a.over && (m.Type == "release" || m.Type == "move") {
		a.over = true
		a.establishedConn.removeEstablished()
	}
	if m.Type != "progress" {
		v.closeSetUp(m.ID)
	}
	c.mu.Unlock()
	e := Event{Kind: Answered, Manager: v.manager, ID: m.ID, Cause: m.Cause}
	wait := time.Duration(0)
	switch {
	case m.Type == "answer":
		e.Outcome, e.Text = Served, m.SDP
	case m.Type == "move":
		e.Kind = Moved
	case m.Type == "release" && served:
		e.Kind = Over
	case m.Type == "release" && (m.Cause == 34 || m.Cause == 42 || m.Cause == 102):
		e.Outcome = Refused
		ms, _ := strconv.Atoi(m.Fields["wait"])
		wait = time.Duration(ms) * time.Millisecond
	case m.Type == "release":
		e.Outcome = Failed
	default:
		return
	}
	c.Record.Add(e)
	if e.Kind == Moved || e.Kind == Over { // what it heard, it says
		line, _ := json.Marshal(map[string]any{"type": "released", "id": m.ID, "fields": map[string]string{}})
		v.Write(append(line, '\n'))
	}
	if e.Kind == Moved || e.Kind == Over && m.Cause != 16 || e.Outcome == Refused || e.Outcome == Failed {
		c.retryLater(a, wait)
	}
}
