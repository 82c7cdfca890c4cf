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

// patience bounds what is waited for. Nothing passes by being faster.
const patience = 60 * time.Second

// heard is one running member with what it was told.
type heard struct {
	*Swim
	stop func()

	mu     sync.Mutex
	events []Event
}

func (h *heard) saw(w What, of string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.events, func(e Event) bool { return e.What == w && e.Member.Name == of })
}

func runs(t *testing.T, c Config) *heard {
	t.Helper()
	h := new(heard)
	c.Listen = "127.0.0.1:0"
	c.Told = func(_ View, events []Event) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.events = append(h.events, events...)
	}
	s, err := NewSwim(c)
	if err != nil {
		t.Fatal(err)
	}
	h.Swim = s
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	h.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(h.stop)
	return h
}

func until(t *testing.T, what string, ready func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !ready(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not seen within %v", what, patience)
		}
	}
}

// linked starts members whose links go through relays.
func linked(t *testing.T, names ...string) (map[string]*heard, *fleettest.PeerNetwork) {
	t.Helper()
	p, err := fleettest.NewPeerNetwork(names, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	all := map[string]*heard{}
	for i, n := range names {
		all[n] = runs(t, linkedConfig(p, names, i))
		p.SetListenAddrs(n, all[n].Addr(), all[n].Addr())
	}
	return all, p
}

func linkedConfig(p *fleettest.PeerNetwork, names []string, i int) Config {
	c := Config{Self: Meta{Name: names[i], Site: "s", Address: fmt.Sprintf("127.0.0.1:%d", i+1)}, Keys: [][]byte{bytes.Repeat([]byte{7}, 16)}, At: map[string][2]string{}}
	for _, n := range names {
		c.Named = append(c.Named, Named{n, "s"})
		if n != names[i] {
			c.At[n] = [2]string{p.TCP[names[i]][n].Addr(), p.UDP[names[i]][n].Addr()}
		}
	}
	return c
}

func sees(all map[string]*heard, who []string, want ...string) func() bool {
	return func() bool {
		for _, n := range who {
			if v := all[n].View(); !slices.Equal(v.Names(), want) {
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
	all, p := linked(t, names...)
	until(t, "all in view", sees(all, names, names...))
	if m := all["m1"].View().Find("m4"); m.Address != "127.0.0.1:4" || m.Site != "s" || m.Started == 0 {
		t.Errorf("%+v", m)
	}
	two, three := names[:2], names[2:]
	p.Cut(two, three, false)
	until(t, "the two alone", sees(all, two, two...))
	until(t, "the three", sees(all, three, three...))
	if !all["m1"].View().Alone || all["m3"].View().Alone {
		t.Error("the smaller part is the one that may be cut off")
	}
	if !all["m1"].saw(Suspected, "m3") && !all["m1"].saw(Suspected, "m4") && !all["m1"].saw(Suspected, "m5") {
		t.Error("nobody was suspected")
	}
	p.Heal(two, three)
	until(t, "all in view again", sees(all, names, names...))
	if !all["m1"].saw(Healed, "m5") || !all["m4"].saw(Healed, "m1") || all["m1"].View().Alone {
		t.Error("not healed")
	}
	all["m5"].Leave()
	until(t, "without the one that left", sees(all, names[:4], names[:4]...))
	until(t, "it left", func() bool { return all["m1"].saw(Left, "m5") && all["m4"].saw(Left, "m5") })
	all["m4"].stop()
	until(t, "without the one that ended", sees(all, names[:3], names[:3]...))
	if all["m1"].saw(Left, "m4") || !all["m1"].saw(WasLost, "m4") {
		t.Error("an end without a word is a loss")
	}
}

// A younger one with a name that is taken is refused, by itself and by all, until its
// elder is gone. One that the file doesn't name, and one without the key, stay out.
func TestKeptOut(t *testing.T) {
	t.Parallel()
	key := [][]byte{bytes.Repeat([]byte{7}, 16)}
	named := []Named{{"m1", "a"}, {"m2", "a"}, {"m3", "b"}}
	m1 := runs(t, Config{Self: Meta{Name: "m1"}, Named: named, Keys: key})
	join := []string{m1.Addr()}
	m2 := runs(t, Config{Self: Meta{Name: "m2"}, Named: named, Keys: key, Join: join})
	all := map[string]*heard{"m1": m1, "m2": m2}
	until(t, "both in view", sees(all, []string{"m1", "m2"}, "m1", "m2"))
	younger := runs(t, Config{Self: Meta{Name: "m2"}, Named: named, Keys: key, Join: join})
	runs(t, Config{Self: Meta{Name: "x"}, Named: append(named, Named{"x", "a"}), Keys: key, Join: join})
	keyless := runs(t, Config{Self: Meta{Name: "m3"}, Named: named, Keys: [][]byte{bytes.Repeat([]byte{8}, 16)}, Join: join})
	until(t, "the younger is refused", func() bool { return younger.View().Refused })
	until(t, "both are told", func() bool { return m1.saw(Twin, "m2") && younger.saw(Twin, "m2") })
	until(t, "the stranger is told", func() bool { return m1.saw(Stranger, "x") })
	if v := m1.View(); v.Find("m2").Address != m2.Addr() || keyless.View().InView != 1 || v.Find("m3").Status != Unheard {
		t.Errorf("%+v", v)
	}
	m2.stop()
	until(t, "the younger is let in", func() bool { return !younger.View().Refused && m1.View().Find("m2").Address == younger.Addr() })
}

// A connection to one that never says a word is closed when the stay in the fleet ends.
func TestEnd(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	s, err := NewSwim(Config{Self: Meta{Name: "m1"}, Named: five(), Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, end := context.WithCancel(t.Context())
	s.transport.ctx = ctx
	defer s.transport.Shutdown()
	c, err := s.transport.DialTimeout(l.Addr().String(), patience)
	if err != nil {
		t.Fatal(err)
	}
	end()
	c.SetReadDeadline(time.Now().Add(patience))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v, and not closed", err)
	}
}

func TestListenError(t *testing.T) {
	for _, at := range []string{"here:1", "127.0.0.1", "[::1]:0"} {
		_, err := NewSwim(Config{Self: Meta{Name: "a"}, Named: []Named{{"a", ""}}, Listen: at})
		var e *ListenError
		if !errors.As(err, &e) || e.Address != at || !strings.Contains(err.Error(), "fleet.listen") {
			t.Errorf("%s: %v", at, err)
		}
	}
}

// A fleet of a file is there without a packet.
func TestFixed(t *testing.T) {
	f, err := NewFixed(Config{Self: meta("m1", 1, "1"), Named: five()})
	if err != nil {
		t.Fatal(err)
	}
	if v := f.View(); v.InView != 5 || v.Alone || v.Number != 1 || len(v.Names()) != 5 {
		t.Errorf("%+v", v)
	}
	if _, err := NewFixed(Config{}); err == nil {
		t.Error("a fleet of none")
	}
}
