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

// testTimeout bounds what is waited for. Nothing passes by being faster.
const testTimeout = 60 * time.Second

// testMember is one running member with what it was told.
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
			t.Fatalf("%s: not seen within %v", what, testTimeout)
		}
	}
}

// startRelayed starts members whose links go through relays.
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

// Five members, cut 2:3 and healed; one leaves, and one is lost.
func TestSwim(t *testing.T) {
	t.Parallel()
	names := []string{"m1", "m2", "m3", "m4", "m5"}
	all, p := startRelayed(t, names...)
	waitUntil(t, "all in view", presentExactly(all, names, names...))
	if m := all["m1"].View().Find("m4"); m.Address != "127.0.0.1:4" || m.Site != "s" || m.StartedUnixNano == 0 {
		t.Errorf("%+v", m)
	}
	two, three := names[:2], names[2:]
	p.Cut(two, three, false)
	waitUntil(t, "the two alone", presentExactly(all, two, two...))
	waitUntil(t, "the three", presentExactly(all, three, three...))
	if !all["m1"].View().NoQuorum || all["m3"].View().NoQuorum {
		t.Error("the smaller part is the one that may be cut off")
	}
	if !all["m1"].sawEvent(EventSuspected, "m3") && !all["m1"].sawEvent(EventSuspected, "m4") && !all["m1"].sawEvent(EventSuspected, "m5") {
		t.Error("nobody was suspected")
	}
	p.Heal(two, three)
	waitUntil(t, "all in view again", presentExactly(all, names, names...))
	if !all["m1"].sawEvent(EventRecovered, "m5") || !all["m4"].sawEvent(EventRecovered, "m1") || all["m1"].View().NoQuorum {
		t.Error("not healed")
	}
	all["m5"].Leave()
	waitUntil(t, "without the one that left", presentExactly(all, names[:4], names[:4]...))
	waitUntil(t, "it left", func() bool { return all["m1"].sawEvent(EventLeft, "m5") && all["m4"].sawEvent(EventLeft, "m5") })
	all["m4"].stop()
	waitUntil(t, "without the one that ended", presentExactly(all, names[:3], names[:3]...))
	if all["m1"].sawEvent(EventLeft, "m4") || !all["m1"].sawEvent(EventLost, "m4") {
		t.Error("an end without a word is a loss")
	}
}

// A younger one with a name that is taken is refused, by itself and by all, until its
// elder is gone. One that the file doesn't name, and one without the key, stay out.
func TestNotAdmitted(t *testing.T) {
	t.Parallel()
	key := [][]byte{bytes.Repeat([]byte{7}, 16)}
	configured := []ConfiguredMember{{"m1", "a"}, {"m2", "a"}, {"m3", "b"}}
	m1 := startMember(t, Config{Self: Meta{Name: "m1"}, ConfiguredMembers: configured, EncryptionKeys: key})
	join := []string{m1.Addr()}
	m2 := startMember(t, Config{Self: Meta{Name: "m2"}, ConfiguredMembers: configured, EncryptionKeys: key, JoinAddresses: join})
	all := map[string]*testMember{"m1": m1, "m2": m2}
	waitUntil(t, "both in view", presentExactly(all, []string{"m1", "m2"}, "m1", "m2"))
	later := startMember(t, Config{Self: Meta{Name: "m2"}, ConfiguredMembers: configured, EncryptionKeys: key, JoinAddresses: join})
	startMember(t, Config{Self: Meta{Name: "x"}, ConfiguredMembers: append(configured, ConfiguredMember{"x", "a"}), EncryptionKeys: key, JoinAddresses: join})
	wrongKey := startMember(t, Config{Self: Meta{Name: "m3"}, ConfiguredMembers: configured, EncryptionKeys: [][]byte{bytes.Repeat([]byte{8}, 16)}, JoinAddresses: join})
	waitUntil(t, "the younger is refused", func() bool { return later.View().RefusedAsDuplicate })
	waitUntil(t, "both are told", func() bool { return m1.sawEvent(EventDuplicateName, "m2") && later.sawEvent(EventDuplicateName, "m2") })
	waitUntil(t, "the stranger is told", func() bool { return m1.sawEvent(EventUnknownMember, "x") })
	if v := m1.View(); v.Find("m2").Address != m2.Addr() || wrongKey.View().PresentCount != 1 || v.Find("m3").Status != StatusUnheard {
		t.Errorf("%+v", v)
	}
	m2.stop()
	waitUntil(t, "the younger is let in", func() bool {
		return !later.View().RefusedAsDuplicate && m1.View().Find("m2").Address == later.Addr()
	})
}

// A connection to one that never says a word is closed when the stay in the fleet ends.
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
		t.Errorf("%v, and not closed", err)
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

// A fleet of a file is there without a packet.
func TestStatic(t *testing.T) {
	f, err := NewStatic(Config{Self: newMeta("m1", 1, "1"), ConfiguredMembers: fiveMembers()})
	if err != nil {
		t.Fatal(err)
	}
	if v := f.View(); v.PresentCount != 5 || v.NoQuorum || v.Number != 1 || len(v.PresentNames()) != 5 {
		t.Errorf("%+v", v)
	}
	if _, err := NewStatic(Config{}); err == nil {
		t.Error("a fleet of none")
	}
}
