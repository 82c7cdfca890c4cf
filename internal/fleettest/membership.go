package fleettest

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// MembershipFleet is a fleet of managers that exchange membership, each pair through the relays of
// Network. They have media nodes on their list, and no viewers. The view of each is read from its
// log, which is the only place that shows it.
type MembershipFleet struct {
	*Fleet
	Network      *PeerNetwork
	ManagerNames []string
	Timings      []string // what AwaitView waited for, and for how long
}

// NewMembershipFleet builds and starts such a fleet. The caller must close it even when an error is
// returned.
func NewMembershipFleet(halls []Hall, seed uint64, binary, folder string) (*MembershipFleet, error) {
	f := &Fleet{Config: FleetConfig{Seed: seed, Halls: halls, NodeModel: DefaultNodeModel, Load: Load{TimeLeft: 3 * time.Second}, Terms: DefaultLimits, WaitTimeout: 2 * defaultWaitTimeout},
		Record: NewRecord(), Managers: map[string]*Manager{}, Nodes: map[string]*Node{}, Coordinators: map[string]*Coordinator{},
		NodeRelays: map[string]map[string]*Relay{}, CoordinatorRelays: map[string]*Relay{}, ViewerRelays: map[string]*Relay{}, done: make(chan struct{})}
	m := &MembershipFleet{Fleet: f}
	membersLine := "members"
	for i, h := range halls {
		for _, n := range h.Nodes {
			f.Nodes[n] = NewNode(n, "s-"+n, h.Name, i, f.Config.NodeModel, seed, f.Record)
		}
		for _, name := range h.Managers {
			m.ManagerNames = append(m.ManagerNames, name)
			membersLine += " " + name + " " + h.Name
		}
	}
	key := filepath.Join(folder, "key")
	if err := os.WriteFile(key, []byte(strings.Repeat("5e", 32)), 0o600); err != nil {
		return m, err
	}
	var err error
	if m.Network, err = NewPeerNetwork(m.ManagerNames, seed); err != nil {
		return m, err
	}
	for _, h := range halls {
		for _, name := range h.Managers {
			if err := f.addManager(name, h.Name, binary, folder); err != nil {
				return m, err
			}
			text := "fleet {\n" + membersLine + "\nlisten 127.0.0.1:0\nkey " + key + "\n"
			// The managers announce addresses at which nobody listens, and reach each other at the relays.
			text += fmt.Sprintf("address 127.0.0.1:%d\n", 1+slices.Index(m.ManagerNames, name))
			for _, to := range m.ManagerNames {
				if to != name {
					text += fmt.Sprintf("at %s %s %s\n", to, m.Network.TCP[name][to].Addr(), m.Network.UDP[name][to].Addr())
				}
			}
			f.Managers[name].OperatorConfig = text + "}\n"
		}
	}
	for _, name := range m.ManagerNames {
		if err := m.Start(name); err != nil {
			return m, err
		}
	}
	return m, nil
}

// Start starts a manager and tells the relays where it listens.
func (m *MembershipFleet) Start(name string) error {
	if err := m.Managers[name].Start(); err != nil {
		return err
	}
	l, ok := m.lastLogged(name, func(l membershipLogLine) bool { return l.What == "listening" })
	if !ok {
		return fmt.Errorf("fleettest: %s has not logged where it listens for other managers", name)
	}
	m.Network.SetListenAddrs(name, l.Listen, l.Listen)
	return nil
}

// Kill kills a manager.
func (m *MembershipFleet) Kill(name string) error {
	m.Network.SetListenAddrs(name, "", "")
	return m.Managers[name].Kill()
}

// membershipLogLine is a line of a manager's log about membership.
type membershipLogLine struct {
	Logger, What, Member, Listen string
	View                         int64
	InView                       string `json:"in_view"`
	Alone                        bool
}

// lastLogged returns the last such line of a manager that matches fits.
func (m *MembershipFleet) lastLogged(name string, fits func(membershipLogLine) bool) (last membershipLogLine, ok bool) {
	for _, line := range slices.Backward(m.Managers[name].Log()) {
		var l membershipLogLine
		if json.Unmarshal([]byte(line), &l) == nil && l.Logger == "fleet" && l.What != "" && fits(l) {
			return l, true
		}
	}
	return membershipLogLine{}, false
}

// HasLogged reports whether a manager has logged an event of a member.
func (m *MembershipFleet) HasLogged(name, what, of string) bool {
	_, ok := m.lastLogged(name, func(l membershipLogLine) bool { return l.What == what && l.Member == of })
	return ok
}

// AwaitView waits until the last view that each manager of who has logged consists of exactly want
// and has the given value of alone. what names the step in errors and Timings.
func (m *MembershipFleet) AwaitView(what string, alone bool, who []string, want ...string) error {
	views, began := "", time.Now()
	err := m.WaitFor(what, func() bool {
		views = ""
		settled := true
		for _, n := range who {
			l, _ := m.lastLogged(n, func(l membershipLogLine) bool { return l.View > 0 })
			settled = settled && l.InView == strings.Join(want, " ") && l.Alone == alone
			views += fmt.Sprintf("\n%s: view %d of %s, alone %v", n, l.View, l.InView, l.Alone)
		}
		return settled
	})
	if err != nil {
		return fmt.Errorf("%w; last views:%s", err, views)
	}
	m.Timings = append(m.Timings, fmt.Sprintf("%s after %v", what, time.Since(began).Round(10*time.Millisecond)))
	return nil
}

// Close stops all parties and the relays between managers.
func (m *MembershipFleet) Close() {
	m.Fleet.Close()
	if m.Network != nil {
		m.Network.Close()
	}
}
