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

// Hall is one data hall, the managers and media nodes of one zone.
type Hall struct {
	Name     string
	Managers []string
	Nodes    []string
}

// FleetConfig says what a fleet consists of and how its parties behave.
type FleetConfig struct {
	Seed           uint64
	Halls          []Hall
	NodeModel      NodeModel
	Load           Load
	Terms          Limits
	OperatorConfig string        // text of each manager's operator file; empty: no file
	LogLevel       string        // minimum level of the managers' logs
	Sockets        int           // descriptor limit in the platform's configuration; 0: 1024
	Env            []string      // of each manager, in addition to what the platform sets
	WaitTimeout    time.Duration // limit of WaitFor
	Unlisted       []string      // nodes that are missing from the list at the start
	Admin          bool          // managers get an address for operators' calls, and viewers poll whether a manager is ready
}

// Fleet is a set of running managers with the stand-ins for all their peers: media nodes,
// coordinators and viewers.
type Fleet struct {
	Config            FleetConfig
	Record            *Record
	Managers          map[string]*Manager
	Nodes             map[string]*Node
	Coordinators      map[string]*Coordinator
	Viewers           *Viewers
	NodeRelays        map[string]map[string]*Relay // by manager and node
	CoordinatorRelays map[string]*Relay            // by manager
	ViewerRelays      map[string]*Relay            // from viewers, by manager

	mu          sync.Mutex
	failures    []error
	done        chan struct{}
	goroutines  sync.WaitGroup
	portHolders []int // sockets that reserve the managers' viewer ports
}

// managerMemoryMB is the memory limit of a manager.
const managerMemoryMB = 128

// DefaultNodeModel describes a small node that answers set-ups quickly.
var DefaultNodeModel = NodeModel{
	LinkKB: 20_000, MaxStreams: 40, FullAtUtilization: 1.2, WarmUpTime: 3 * time.Second, StartCapacityShare: 0.2, RatesKB: []float64{170, 360, 770, 1600},
	AnswerDelay: [2]time.Duration{5 * time.Millisecond, 25 * time.Millisecond}, SessionLength: [2]time.Duration{2 * time.Second, 5 * time.Second},
	ConnIdleTimeout: 10 * time.Second, StreamsPerConn: 8, BilledClasses: map[string]bool{"clip": true},
}

// New builds and starts a fleet whose managers run the program at binary and keep their files below
// folder. The caller must close the fleet even when New returns an error.
func New(config FleetConfig, binary, folder string) (*Fleet, error) {
	f := &Fleet{Config: config, Record: NewRecord(), Managers: map[string]*Manager{}, Nodes: map[string]*Node{}, Coordinators: map[string]*Coordinator{},
		NodeRelays: map[string]map[string]*Relay{}, CoordinatorRelays: map[string]*Relay{}, ViewerRelays: map[string]*Relay{}, done: make(chan struct{})}
	viewerAddrs, managersByHall := map[string]string{}, map[string][]string{}
	cell := 0
	for _, h := range config.Halls {
		managersByHall[h.Name] = h.Managers
		for _, name := range h.Nodes {
			f.Nodes[name] = NewNode(name, "s-"+name, h.Name, cell, config.NodeModel, config.Seed, f.Record)
			cell++
		}
	}
	for _, h := range config.Halls {
		for _, m := range h.Managers {
			if err := f.addManager(m, h.Name, binary, folder); err != nil {
				return f, err
			}
			viewerAddrs[m] = f.ViewerRelays[m].Addr()
		}
	}
	f.Viewers = NewViewers(&Viewers{Record: f.Record, ManagerAddrs: viewerAddrs, ManagersByHall: managersByHall, BilledClasses: config.NodeModel.BilledClasses, Load: config.Load, TitleCopies: len(f.Nodes)}, config.Seed)
	errs := make(chan error, len(f.Managers))
	for _, m := range f.Managers { // the managers of a fleet start concurrently
		go func() { errs <- m.Start() }()
	}
	var err error
	for range f.Managers {
		err = cmp.Or(err, <-errs)
	}
	f.goroutines.Go(f.announceShortfalls)
	if config.Admin && err == nil {
		f.goroutines.Go(func() { f.Viewers.pollReadiness(f.done) })
		for m := range f.Managers {
			f.goroutines.Go(func() { f.watchMetrics(m) })
		}
	}
	return f, err
}

// addManager creates one manager with its relays and its coordinator, without starting it.
func (f *Fleet) addManager(name, hall, binary, folder string) error {
	f.NodeRelays[name] = map[string]*Relay{}
	var entries []ListEntry
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
			entries = append(entries, f.listEntry(name, n, phaseInService))
			f.Record.Add(Event{Kind: ListUpdated, Manager: name, Node: n, Text: phaseInService})
		}
	}
	coordinator, err := NewCoordinator(entries)
	if err != nil {
		return err
	}
	f.Coordinators[name] = coordinator
	if f.CoordinatorRelays[name], err = NewRelay(func() (net.Conn, error) { return net.Dial("tcp4", coordinator.Addr()) }); err != nil {
		return err
	}
	dir := filepath.Join(folder, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	m := &Manager{Name: name, Binary: binary, Dir: dir, OperatorConfig: f.Config.OperatorConfig, LogLevel: f.Config.LogLevel, Env: f.Config.Env, KnownUpdates: coordinator.KnownUpdates,
		Record: f.Record, OnUnexpectedExit: f.reportFailure, Config: f.managerConfig(name, hall)}
	f.Managers[name] = m
	if f.Config.Admin {
		fd, addr, err := holdPort()
		if err != nil {
			return err
		}
		f.portHolders, m.Config["listen"], m.NewAdminAddr = append(f.portHolders, fd), addr, freeAdminAddr
	}
	f.ViewerRelays[name], err = NewRelay(func() (net.Conn, error) {
		if a := m.Addr(); a != "" {
			return net.Dial("tcp4", a)
		}
		return nil, fmt.Errorf("%s is not running", name)
	})
	return err
}

// freeAdminAddr returns a free address. It is outside 127.0.0.1, where an outgoing connection could
// be given the port before the manager binds it.
func freeAdminAddr() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.9:0")
	if err != nil {
		return "", fmt.Errorf("fleettest: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// managerConfig returns a manager's configuration as the platform writes it.
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
			"obligations":  map[string]any{"fallMultiple": f.Config.Terms.ColdMultiple, "startCapacity": m.StartCapacityShare, "warmAfterS": m.WarmUpTime.Seconds()},
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

// recordMessages returns a callback for Relay.OnData that records the RTSP messages of a manager to
// a node, and for each connection that ends the set-ups sent on it.
func (f *Fleet) recordMessages(manager, node string) func(int, Direction, []byte) {
	var mu sync.Mutex
	type stream struct {
		rest []byte
		ids  []string // of the set-ups sent on it
	}
	streams := map[int]*stream{}
	return func(conn int, direction Direction, b []byte) {
		if direction != ToTarget {
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
				f.Record.Add(Event{Kind: NodeConnClosed, Manager: manager, Node: node, ID: id})
			}
			delete(streams, conn)
			return
		}
		s.rest = append(s.rest, b...)
		var m rtsp.Message
		for {
			size, err := rtsp.Parse(s.rest, &m)
			if err != nil || size == 0 {
				return
			}
			id := string(m.Get("Session"))
			switch string(m.Method) {
			case "SETUP":
				s.ids = append(s.ids, id)
				f.Record.Add(Event{Kind: SetUpSent, Manager: manager, Node: node, ID: id, Class: string(m.Get("Call-Kind")), Rung: rungOf(&m)})
			case "TEARDOWN":
				f.Record.Add(Event{Kind: TeardownSent, Manager: manager, Node: node, ID: id})
			}
			s.rest = s.rest[size:]
		}
	}
}

// announceShortfalls has the nodes announce short delivery once a second.
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

// Failures returns the unexpected exits of managers and the failures of steps that run in the
// background.
func (f *Fleet) Failures() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.failures)
}

// Close stops all parties, whatever state they are in.
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

// Group is a set of parties of a fleet: managers, nodes, the coordinators of managers, and the
// viewers of managers.
type Group struct{ managers, nodes, lists, viewers []string }

// Find resolves names to a Group. A name is a hall, a manager, a node, or one of managers, nodes,
// lists, viewers and all; the first four may also follow the name of a hall or a manager, as in
// "a.nodes".
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
				return g, fmt.Errorf("%q is not a hall, manager or node, nor one of managers, nodes, lists, viewers and all", name)
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
		case "", "all": // a hall: its managers and nodes, and the viewers of its managers
			g.managers, g.nodes, g.viewers = append(g.managers, managers...), append(g.nodes, nodes...), append(g.viewers, managers...)
		default:
			return g, fmt.Errorf("%q: %q is not one of managers, nodes, lists and viewers", name, kind)
		}
	}
	return g, nil
}

// eachRelay calls do for each relay between a and b, with the direction that leads from a to b.
// viewersOf is the manager if the relay carries its viewers, or empty.
func (f *Fleet) eachRelay(a, b Group, do func(r *Relay, from Direction, viewersOf string)) {
	for i, pair := range [][2]Group{{a, b}, {b, a}} {
		out, back := ToTarget, FromTarget
		if i == 1 {
			out, back = FromTarget, ToTarget // b's side opens the connections
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

// Cut holds everything that passes between two groups, or with oneWay only what goes from a to b.
func (f *Fleet) Cut(a, b Group, oneWay bool) {
	f.eachRelay(a, b, func(r *Relay, from Direction, viewersOf string) {
		if viewersOf != "" {
			f.Record.Add(Event{Kind: ViewersCut, Manager: viewersOf})
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
			f.Record.Add(Event{Kind: ViewersHealed, Manager: viewersOf})
		}
	})
}

// Reset resets the open connections between two groups.
func (f *Fleet) Reset(a, b Group) {
	f.eachRelay(a, b, func(r *Relay, _ Direction, viewersOf string) {
		if viewersOf != "" {
			f.Record.Add(Event{Kind: ViewersCut, Manager: viewersOf})
			f.Viewers.NoteReset(viewersOf)
		}
		r.Reset()
		if viewersOf != "" {
			f.Record.Add(Event{Kind: ViewersHealed, Manager: viewersOf})
		}
	})
}

// All returns the group of all parties.
func (f *Fleet) All() Group {
	g := Group{managers: sortedKeys(f.Managers), nodes: f.nodeNames()}
	g.lists, g.viewers = g.managers, g.managers
	return g
}

// SetNodePhase updates the phase of a node on the lists of some managers.
func (f *Fleet) SetNodePhase(managers []string, node, phase string) {
	for _, m := range managers {
		f.Coordinators[m].Update(f.listEntry(m, node, phase), func() {
			f.Record.Add(Event{Kind: ListUpdated, Manager: m, Node: node, Text: phase})
		})
	}
}

// KillNode simulates the crash of a node: its open connections are reset and new ones are refused.
func (f *Fleet) KillNode(name string) {
	for _, l := range f.NodeRelays {
		l[name].Refuse()
	}
	f.Nodes[name].Kill()
}

// StartNode starts a killed node again, cold and at the same address.
func (f *Fleet) StartNode(name string) error {
	f.Nodes[name].Start()
	for _, l := range f.NodeRelays {
		if err := l[name].StopRefusing(); err != nil {
			return err
		}
	}
	return nil
}

// WaitFor blocks until ready returns true, which is checked at each recorded event and every 20 ms.
// After Config.WaitTimeout it returns an error that names what was waited for.
func (f *Fleet) WaitFor(what string, ready func() bool) error {
	deadline := time.Now().Add(f.Config.WaitTimeout)
	for {
		next := f.Record.nextEvent()
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

// EstablishedSessions returns how many sessions the nodes play, of all managers.
func (f *Fleet) EstablishedSessions() (n int) {
	for _, node := range f.Nodes {
		n += node.EstablishedSessions()
	}
	return n
}
