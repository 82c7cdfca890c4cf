package fleettest

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"millethinge/internal/rtsp"
)

// Hall is what stands in one place.
type Hall struct {
	Name     string
	Managers []string
	Nodes    []string
}

// FleetConfig is a fleet before it stands.
type FleetConfig struct {
	Seed           uint64
	Halls          []Hall
	NodeModel      NodeModel
	Load           Load
	Terms          Terms
	OperatorConfig string // text of the operator's file of each manager; empty: none
	LogLevel       string // least level of the managers' logs
	Sockets        int
	Env            []string      // of each manager, beside what the platform sets
	WaitTimeout    time.Duration // bounds what is waited for
	Unlisted       []string      // nodes that the list doesn't name at the start
	Admin          bool          // managers have an address for operators' calls, and viewers a front that asks who is ready
}

// Fleet is processes of the program with all that they talk to.
type Fleet struct {
	Config            FleetConfig
	Record            *Record
	Managers          map[string]*Manager
	Nodes             map[string]*Node
	Coordinators      map[string]*Coordinator
	Viewers           *Viewers
	NodeRelays        map[string]map[string]*Relay // by manager and node
	CoordinatorRelays map[string]*Relay
	ViewerRelays      map[string]*Relay // of viewers

	mu          sync.Mutex
	failures    []error
	done        chan struct{}
	goroutines  sync.WaitGroup
	portHolders []int // sockets that hold the managers' ports
}

// managerMemoryMB is what a manager may hold of memory.
const managerMemoryMB = 128

// DefaultNodeModel is a small node that sets up quickly.
var DefaultNodeModel = NodeModel{
	LinkKB: 20_000, MaxStreams: 40, FullAtUtilization: 1.2, WarmUpTime: 3 * time.Second, StartCapacityShare: 0.2, RatesKB: []float64{170, 360, 770, 1600},
	AnswerDelay: [2]time.Duration{5 * time.Millisecond, 25 * time.Millisecond}, SessionLength: [2]time.Duration{2 * time.Second, 5 * time.Second},
	ConnIdleTimeout: 10 * time.Second, StreamsPerConn: 8, BilledClasses: map[string]bool{"clip": true},
}

// New builds a fleet whose processes run the program at binary, with their files
// below folder, and starts it. It is to be closed also where an error is returned.
func New(p FleetConfig, binary, folder string) (*Fleet, error) {
	f := &Fleet{Config: p, Record: NewRecord(), Managers: map[string]*Manager{}, Nodes: map[string]*Node{}, Coordinators: map[string]*Coordinator{},
		NodeRelays: map[string]map[string]*Relay{}, CoordinatorRelays: map[string]*Relay{}, ViewerRelays: map[string]*Relay{}, done: make(chan struct{})}
	addr, halls := map[string]string{}, map[string][]string{}
	cell := 0
	for _, h := range p.Halls {
		halls[h.Name] = h.Managers
		for _, name := range h.Nodes {
			f.Nodes[name] = NewNode(name, "s-"+name, h.Name, cell, p.NodeModel, p.Seed, f.Record)
			cell++
		}
	}
	for _, h := range p.Halls {
		for _, m := range h.Managers {
			if err := f.addManager(m, h.Name, binary, folder); err != nil {
				return f, err
			}
			addr[m] = f.ViewerRelays[m].Addr()
		}
	}
	f.Viewers = NewViewers(&Viewers{Record: f.Record, ManagerAddrs: addr, ManagersByHall: halls, BilledClasses: p.NodeModel.BilledClasses, Load: p.Load, TitleCopies: len(f.Nodes)}, p.Seed)
	errs := make(chan error, len(f.Managers))
	for _, m := range f.Managers { // together: they start side by side
		go func() { errs <- m.Start() }()
	}
	var err error
	for range f.Managers {
		err = cmp.Or(err, <-errs)
	}
	f.goroutines.Go(f.announceShortfalls)
	if p.Admin && err == nil {
		f.goroutines.Go(func() { f.Viewers.pollReadiness(f.done) })
		for m := range f.Managers {
			f.goroutines.Go(func() { f.watchMetrics(m) })
		}
	}
	return f, err
}

// addManager makes one manager, not yet started, with its relays and its list.
func (f *Fleet) addManager(name, hall, binary, folder string) error {
	f.NodeRelays[name] = map[string]*Relay{}
	var members []ListEntry
	for _, n := range f.nodeNames() {
		node := f.Nodes[n]
		if err := node.Listen(name); err != nil {
			return err
		}
		to := node.Addrs[name]
		r, err := NewRelay(func() (net.Conn, error) { return net.Dial("tcp4", to) })
		if err != nil {
			return err
		}
		r.OnData = f.recordMessages(name, n)
		f.NodeRelays[name][n] = r
		if !slices.Contains(f.Config.Unlisted, n) {
			members = append(members, f.listEntry(name, n, phaseInService))
			f.Record.Add(Event{Kind: Told, Manager: name, Node: n, Text: phaseInService})
		}
	}
	list, err := NewCoordinator(members)
	if err != nil {
		return err
	}
	f.Coordinators[name] = list
	if f.CoordinatorRelays[name], err = NewRelay(func() (net.Conn, error) { return net.Dial("tcp4", list.Addr()) }); err != nil {
		return err
	}
	own := filepath.Join(folder, name)
	if err := os.MkdirAll(own, 0o700); err != nil {
		return err
	}
	p := &Manager{Name: name, Binary: binary, Dir: own, OperatorConfig: f.Config.OperatorConfig, LogLevel: f.Config.LogLevel, Env: f.Config.Env, KnownUpdates: list.KnownUpdates,
		Record: f.Record, OnUnexpectedExit: f.reportFailure, Config: f.managerConfig(name, hall)}
	f.Managers[name] = p
	if f.Config.Admin {
		fd, addr, err := holdPort()
		if err != nil {
			return err
		}
		f.portHolders, p.Config["listen"], p.NewAdminAddr = append(f.portHolders, fd), addr, freeAdminAddr
	}
	f.ViewerRelays[name], err = NewRelay(func() (net.Conn, error) {
		if a := p.Addr(); a != "" {
			return net.Dial("tcp4", a)
		}
		return nil, fmt.Errorf("%s doesn't run", name)
	})
	return err
}

// freeAdminAddr is a free address. It is not of 127.0.0.1, where a connection might take
// the port before the manager does.
func freeAdminAddr() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.9:0")
	if err != nil {
		return "", fmt.Errorf("fleettest: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// managerConfig is the platform's configuration of a manager.
func (f *Fleet) managerConfig(name, hall string) map[string]any {
	m, zones := f.Config.NodeModel, []string{}
	zone, managers, racks := 0, 0, 0
	for i, h := range f.Config.Halls {
		zones = append(zones, h.Name)
		managers += len(h.Managers)
		racks++
		if h.Name == hall {
			zone = i
		}
	}
	left := f.Config.Load.TimeLeft.Seconds()
	lane := func(name, effect string, worth int) map[string]any {
		return map[string]any{"name": name, "effect": effect, "goalTimeS": left / 2, "giveUpS": left, "worth": worth}
	}
	nodes := len(f.Nodes)
	return map[string]any{
		"name": name, "listen": "127.0.0.1:0", "coordinator": f.CoordinatorRelays[name].Addr(),
		"limits": map[string]any{"cores": 1, "memory_mb": managerMemoryMB, "sockets": cmp.Or(f.Config.Sockets, 1024)},
		"settings": map[string]any{
			"balancers": managers, "zone": zone, "discovery": "automatic", "weights": "rough", "localities": zones, "flavors": []string{"std"},
			"lanes": []any{lane("clip", "at_most_once", 2), lane("feed", "idempotent", 1)},
			"familyInfo": map[string]any{
				"classFloor": []int{1, 0}, "topByClass": []int{3, 3}, "scaleByClass": []int{1, 1}, "licenceCap": []int{0, 0},
				"ratesKb": m.RatesKB, "ladderWorth": []float64{0.26, 0.53, 0.77, 1}, "kindStreams": []int{m.MaxStreams}, "places": nodes, "groups": racks,
				"kbPerWeight": m.LinkKB, "rackLinkKb": m.LinkKB * float64(nodes) / float64(racks) * 0.9, "fleetKb": m.LinkKB * float64(nodes),
				"guard": m.FullAtUtilization, "seeS": 1, "switchS": 0.5,
			},
			"feedback":     map[string]any{"fields": []string{"util", "x1"}, "via": "probe"},
			"charges":      map[string]any{"crossZone": 0.022, "probe": 0.01, "handshake": 0.01},
			"policyLimits": map[string]any{"attemptsCap": 4, "probes": true, "connIdleS": m.ConnIdleTimeout.Seconds(), "connectTimeoutS": 0.25, "streamsPerConn": m.StreamsPerConn},
			"obligations":  map[string]any{"fallMultiple": f.Config.Terms.Multiple, "startCapacity": m.StartCapacityShare, "warmAfterS": m.WarmUpTime.Seconds()},
		},
	}
}

func (f *Fleet) listEntry(manager, node, phase string) ListEntry {
	n := f.Nodes[node]
	m := ListEntry{ID: n.ID, HostPort: f.NodeRelays[manager][node].Addr(), Locality: n.Hall, Flavor: "std", Cell: n.Cell, Phase: phase, Size: 1}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cold {
		m.UpSince = n.startedAt.UnixMilli()
	}
	return m
}

// recordMessages returns what reads a manager's messages to a node on their way.
func (f *Fleet) recordMessages(manager, node string) func(int, Direction, []byte) {
	var mu sync.Mutex
	type stream struct {
		rest []byte
		ids  []string // of the set-ups that went on it
	}
	streams := map[int]*stream{}
	return func(conn int, way Direction, b []byte) {
		if way != ToTarget {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		s := streams[conn]
		if s == nil {
			s = &stream{}
			streams[conn] = s
		}
		if b == nil {
			for _, id := range s.ids {
				f.Record.Add(Event{Kind: Hung, Manager: manager, Node: node, ID: id})
			}
			delete(streams, conn)
			return
		}
		s.rest = append(s.rest, b...)
		var m rtsp.Message
		for {
			n, err := rtsp.Parse(s.rest, &m)
			if err != nil || n == 0 {
				return
			}
			id := string(m.Get("Session"))
			switch string(m.Method) {
			case "SETUP":
				s.ids = append(s.ids, id)
				f.Record.Add(Event{Kind: Sent, Manager: manager, Node: node, ID: id, Class: string(m.Get("Call-Kind")), Rung: rungOf(&m)})
			case "TEARDOWN":
				f.Record.Add(Event{Kind: Withdrawn, Manager: manager, Node: node, ID: id})
			}
			s.rest = s.rest[n:]
		}
	}
}

// announceShortfalls has nodes tell of short delivery each second.
func (f *Fleet) announceShortfalls() {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-f.done:
			return
		case <-tick.C:
			for _, n := range f.Nodes {
				n.AnnounceShortfall()
			}
		}
	}
}

func (f *Fleet) reportFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures = append(f.failures, err)
}

// Failures are the ends of managers that nobody asked for.
func (f *Fleet) Failures() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.failures)
}

// Close ends all of it, whatever state it is in.
func (f *Fleet) Close() {
	select {
	case <-f.done:
		return
	default:
		close(f.done)
	}
	if f.Viewers != nil {
		f.Viewers.Close()
	}
	for _, m := range f.Managers {
		m.StopStarving()
		m.Kill()
	}
	for _, l := range f.NodeRelays {
		for _, r := range l {
			r.Close()
		}
	}
	for _, l := range []map[string]*Relay{f.CoordinatorRelays, f.ViewerRelays} {
		for _, r := range l {
			if r != nil {
				r.Close()
			}
		}
	}
	for _, l := range f.Coordinators {
		l.Close()
	}
	for _, n := range f.Nodes {
		n.Close()
	}
	f.goroutines.Wait()
	for _, fd := range f.portHolders {
		syscall.Close(fd)
	}
}

func (f *Fleet) nodeNames() []string {
	return slices.SortedFunc(maps.Keys(f.Nodes), func(a, b string) int { return cmp.Compare(f.Nodes[a].Cell, f.Nodes[b].Cell) })
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Group is parties of a fleet: managers, nodes, lists and the viewers of managers.
type Group struct{ managers, nodes, lists, viewers []string }

// Find returns what names name: a hall, a manager, a node, or managers, nodes,
// lists, viewers, each also behind a hall's or a manager's name as in "a.nodes".
func (f *Fleet) Find(names ...string) (g Group, err error) {
	for _, name := range names {
		place, kind, _ := strings.Cut(name, ".")
		var managers, nodes []string
		switch {
		case slices.Contains([]string{"managers", "nodes", "lists", "viewers", "all"}, place) && kind == "":
			kind = place
			managers, nodes = sortedKeys(f.Managers), f.nodeNames()
		case f.Managers[place] != nil:
			managers = []string{place}
			if kind == "" {
				kind = "managers"
			}
		case f.Nodes[place] != nil:
			nodes, kind = []string{place}, "nodes"
		default:
			i := slices.IndexFunc(f.Config.Halls, func(h Hall) bool { return h.Name == place })
			if i < 0 {
				return g, fmt.Errorf("%q is no hall, manager, node, managers, nodes, lists or viewers", name)
			}
			managers, nodes = f.Config.Halls[i].Managers, f.Config.Halls[i].Nodes
		}
		switch kind {
		case "managers":
			g.managers = append(g.managers, managers...)
		case "nodes":
			g.nodes = append(g.nodes, nodes...)
		case "lists":
			g.lists = append(g.lists, managers...)
		case "viewers":
			g.viewers = append(g.viewers, managers...)
		case "", "all": // a hall: what stands in it, with its viewers
			g.managers, g.nodes, g.viewers = append(g.managers, managers...), append(g.nodes, nodes...), append(g.viewers, managers...)
		default:
			return g, fmt.Errorf("%q: %q is not managers, nodes, lists or viewers", name, kind)
		}
	}
	return g, nil
}

// eachRelay calls f for each relay between a and b, with the direction that leads
// from a to b and the manager whose viewers it carries, if it does.
func (f *Fleet) eachRelay(a, b Group, do func(r *Relay, from Direction, viewersOf string)) {
	for i, pair := range [][2]Group{{a, b}, {b, a}} {
		out, back := ToTarget, FromTarget
		if i == 1 {
			out, back = FromTarget, ToTarget // the side that connects is b's
		}
		for _, m := range pair[0].managers {
			for _, n := range pair[1].nodes {
				do(f.NodeRelays[m][n], out, "")
			}
			if slices.Contains(pair[1].lists, m) {
				do(f.CoordinatorRelays[m], out, "")
			}
			if slices.Contains(pair[1].viewers, m) {
				do(f.ViewerRelays[m], back, m)
			}
		}
	}
}

// Cut holds all that passes between two groups, or with oneWay only what goes from
// a to b.
func (f *Fleet) Cut(a, b Group, oneWay bool) {
	f.eachRelay(a, b, func(r *Relay, from Direction, viewersOf string) {
		if viewersOf != "" {
			f.Record.Add(Event{Kind: Apart, Manager: viewersOf})
		}
		if oneWay {
			r.Cut(from)
		} else {
			r.Cut(ToTarget, FromTarget)
		}
	})
}

// Heal ends all cuts between two groups.
func (f *Fleet) Heal(a, b Group) {
	f.eachRelay(a, b, func(r *Relay, _ Direction, viewersOf string) {
		r.Heal()
		if viewersOf != "" {
			f.Record.Add(Event{Kind: Together, Manager: viewersOf})
		}
	})
}

// Reset breaks what is open between two groups.
func (f *Fleet) Reset(a, b Group) {
	f.eachRelay(a, b, func(r *Relay, _ Direction, viewersOf string) {
		if viewersOf != "" {
			f.Record.Add(Event{Kind: Apart, Manager: viewersOf})
			f.Viewers.NoteReset(viewersOf)
		}
		r.Reset()
		if viewersOf != "" {
			f.Record.Add(Event{Kind: Together, Manager: viewersOf})
		}
	})
}

// All is everything.
func (f *Fleet) All() Group {
	g := Group{managers: sortedKeys(f.Managers), nodes: f.nodeNames()}
	g.lists, g.viewers = g.managers, g.managers
	return g
}

// SetNodePhase tells the lists of managers of a node's state.
func (f *Fleet) SetNodePhase(managers []string, node, phase string) {
	for _, m := range managers {
		f.Coordinators[m].Update(f.listEntry(m, node, phase), func() {
			f.Record.Add(Event{Kind: Told, Manager: m, Node: node, Text: phase})
		})
	}
}

// KillNode ends a node's process: connects are refused, and what was open is reset.
func (f *Fleet) KillNode(name string) {
	for _, l := range f.NodeRelays {
		l[name].Refuse()
	}
	f.Nodes[name].Kill()
}

// StartNode starts a node's process again, cold, under its address.
func (f *Fleet) StartNode(name string) error {
	f.Nodes[name].Start()
	for _, l := range f.NodeRelays {
		if err := l[name].StopRefusing(); err != nil {
			return err
		}
	}
	return nil
}

// WaitFor holds until what was recorded fulfils ready, or gives up.
func (f *Fleet) WaitFor(what string, ready func() bool) error {
	deadline := time.Now().Add(f.Config.WaitTimeout)
	for {
		next := f.Record.next()
		if ready() {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not seen within %v", what, f.Config.WaitTimeout)
		}
		select {
		case <-next:
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// EstablishedSessions is how many sessions play at nodes, of all managers.
func (f *Fleet) EstablishedSessions() (n int) {
	for _, node := range f.Nodes {
		n += node.EstablishedSessions()
	}
	return n
}
