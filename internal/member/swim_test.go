package member

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"millethinge/internal/fleettest"
)

// testTimeout bounds each wait. It affects only how long a failing test takes.
const testTimeout = 60 * time.Second

// testMember is a running member with the events that it has reported.
type testMember struct {
	*Swim
	stop func()

	mu     sync.Mutex
	events []Event
}

func (m *testMember) sawEvent(kind EventKind, name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.events, func(e Event) bool { return e.Kind == kind && e.Member.Name == name })
}

func startMember(t *testing.T, c Config) *testMember {
	t.Helper()
	m := new(testMember)
	c.ListenAddress = "127.0.0.1:0"
	c.OnEvents = func(_ View, events []Event) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.events = append(m.events, events...)
	}
	s, err := NewSwim(c)
	if err != nil {
		t.Fatal(err)
	}
	m.Swim = s
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	m.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(m.stop)
	return m
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not reached within %v", what, testTimeout)
		}
	}
}

// startRelayed starts members whose traffic to each other goes through relays.
func startRelayed(t *testing.T, names ...string) (map[string]*testMember, *fleettest.PeerNetwork) {
	t.Helper()
	p, err := fleettest.NewPeerNetwork(names, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	all := map[string]*testMember{}
	for i, n := range names {
		all[n] = startMember(t, relayedConfig(p, names, i))
		p.SetListenAddrs(n, all[n].Addr(), all[n].Addr())
	}
	return all, p
}

func relayedConfig(p *fleettest.PeerNetwork, names []string, i int) Config {
	c := Config{Self: Meta{Name: names[i], Site: "s", Address: fmt.Sprintf("127.0.0.1:%d", i+1)}, EncryptionKeys: [][]byte{bytes.Repeat([]byte{7}, 16)}, AddressOverrides: map[string][2]string{}}
	for _, n := range names {
		c.ConfiguredMembers = append(c.ConfiguredMembers, ConfiguredMember{n, "s"})
		if n != names[i] {
			c.AddressOverrides[n] = [2]string{p.TCP[names[i]][n].Addr(), p.UDP[names[i]][n].Addr()}
		}
	}
	return c
}

func presentExactly(all map[string]*testMember, viewers []string, want ...string) func() bool {
	return func() bool {
		for _, n := range viewers {
			if v := all[n].View(); !slices.Equal(v.PresentNames(), want) {
				return false
			}
		}
		return true
	}
}

// Five members: a network partition into two and three, which then heals; then one member leaves,
// and one is lost.
func TestSwim(t *testing.T) {
	t.Parallel()
	names := []string{"m1", "m2", "m3", "m4", "m5"}
	all, p := startRelayed(t, names...)
	waitUntil(t, "all present", presentExactly(all, names, names...))
	if m := all["m1"].View().Find("m4"); m.Address != "127.0.0.1:4" || m.Site != "s" || m.StartedUnixNano == 0 {
		t.Errorf("m4 as seen by m1: %+v", m)
	}
	two, three := names[:2], names[2:]
	p.Cut(two, three, false)
	waitUntil(t, "the smaller part sees itself only", presentExactly(all, two, two...))
	waitUntil(t, "the larger part sees itself only", presentExactly(all, three, three...))
	if !all["m1"].View().NoQuorum || all["m3"].View().NoQuorum {
		t.Error("want no quorum in the smaller part and a quorum in the larger one")
	}
	if !all["m1"].sawEvent(EventSuspected, "m3") && !all["m1"].sawEvent(EventSuspected, "m4") && !all["m1"].sawEvent(EventSuspected, "m5") {
		t.Error("no member was suspected")
	}
	p.Heal(two, three)
	waitUntil(t, "all present again", presentExactly(all, names, names...))
	if !all["m1"].sawEvent(EventRecovered, "m5") || !all["m4"].sawEvent(EventRecovered, "m1") || all["m1"].View().NoQuorum {
		t.Error("no recovery after the partition")
	}
	all["m5"].Leave()
	waitUntil(t, "present without the member that left", presentExactly(all, names[:4], names[:4]...))
	waitUntil(t, "the leave is reported", func() bool { return all["m1"].sawEvent(EventLeft, "m5") && all["m4"].sawEvent(EventLeft, "m5") })
	all["m4"].stop()
	waitUntil(t, "present without the lost member", presentExactly(all, names[:3], names[:3]...))
	if all["m1"].sawEvent(EventLeft, "m4") || !all["m1"].sawEvent(EventLost, "m4") {
		t.Error("a member that stopped without leaving was not reported as lost")
	}
}

// A member whose name is taken by one that started earlier is refused, by itself and by all
// others, until the other one is gone. A member that is not configured and one with another key
// are not admitted.
func TestNotAdmitted(t *testing.T) {
	t.Parallel()
	key := [][]byte{bytes.Repeat([]byte{7}, 16)}
	configured := []ConfiguredMember{{"m1", "a"}, {"m2", "a"}, {"m3", "b"}}
	m1 := startMember(t, Config{Self: Meta{Name: "m1"}, ConfiguredMembers: configured, EncryptionKeys: key})
	join := []string{m1.Addr()}
	m2 := startMember(t, Config{Self: Meta{Name: "m2"}, ConfiguredMembers: configured, EncryptionKeys: key, JoinAddresses: join})
	all := map[string]*testMember{"m1": m1, "m2": m2}
	waitUntil(t, "both present", presentExactly(all, []string{"m1", "m2"}, "m1", "m2"))
	later := startMember(t, Config{Self: Meta{Name: "m2"}, ConfiguredMembers: configured, EncryptionKeys: key, JoinAddresses: join})
	startMember(t, Config{Self: Meta{Name: "x"}, ConfiguredMembers: append(configured, ConfiguredMember{"x", "a"}), EncryptionKeys: key, JoinAddresses: join})
	wrongKey := startMember(t, Config{Self: Meta{Name: "m3"}, ConfiguredMembers: configured, EncryptionKeys: [][]byte{bytes.Repeat([]byte{8}, 16)}, JoinAddresses: join})
	waitUntil(t, "the later member is refused", func() bool { return later.View().RefusedAsDuplicate })
	waitUntil(t, "the duplicate name is reported by both", func() bool { return m1.sawEvent(EventDuplicateName, "m2") && later.sawEvent(EventDuplicateName, "m2") })
	waitUntil(t, "the unknown member is reported", func() bool { return m1.sawEvent(EventUnknownMember, "x") })
	if v := m1.View(); v.Find("m2").Address != m2.Addr() || wrongKey.View().PresentCount != 1 || v.Find("m3").Status != StatusUnheard {
		t.Errorf("view of m1: %+v", v)
	}
	m2.stop()
	waitUntil(t, "the later member is admitted", func() bool {
		return !later.View().RefusedAsDuplicate && m1.View().Find("m2").Address == later.Addr()
	})
}

// A connection to a peer that never answers is closed when the participation in the fleet ends.
func TestConnectionsCloseAtEnd(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s, err := NewSwim(Config{Self: Meta{Name: "m1"}, ConfiguredMembers: fiveMembers(), ListenAddress: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	s.boundTransport.ctx = ctx
	defer s.boundTransport.Shutdown()
	c, err := s.boundTransport.DialTimeout(l.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	end()
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("read ended with %v, want a closed connection", err)
	}
}

func TestListenError(t *testing.T) {
	for _, at := range []string{"here:1", "127.0.0.1", "[::1]:0"} {
		_, err := NewSwim(Config{Self: Meta{Name: "a"}, ConfiguredMembers: []ConfiguredMember{{"a", ""}}, ListenAddress: at})
		var e *ListenError
		if !errors.As(err, &e) || e.Address != at || !strings.Contains(err.Error(), "fleet.listen") {
			t.Errorf("%s: %v", at, err)
		}
	}
}

// A Static fleet has all members present without any traffic.
func TestStatic(t *testing.T) {
	f, err := NewStatic(Config{Self: newMeta("m1", 1, "1"), ConfiguredMembers: fiveMembers()})
	if err != nil {
		t.Fatal(err)
	}
	if v := f.View(); v.PresentCount != 5 || v.NoQuorum || v.Number != 1 || len(v.PresentNames()) != 5 {
		t.Errorf("view: %+v", v)
	}
	if _, err := NewStatic(Config{}); err == nil {
		t.Error("no error for a fleet without members")
	}
}
