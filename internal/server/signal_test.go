package server

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"millethinge/internal/broker"
	"millethinge/internal/config"
	"millethinge/internal/handover"
)

// A file that is never read whole holds up neither another signal nor the end.
func TestReloadHoldsNothingUp(t *testing.T) {
	p := start(t, "127.0.0.1:1", member("a", "127.0.0.1:1", 0), 2, "")
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
		select {
		case p.signals <- s:
		case <-time.After(patience):
			p.reload <- "" // what it waits for
			t.Fatal(s, "is not heard")
		}
	}
	select {
	case err := <-p.done:
		p.done <- err
	case <-time.After(patience):
		p.reload <- ""
		t.Fatal("no end")
	}
}

// A process that was asked to end is no successor to an older one, also where it was asked
// before it served.
func TestWhoEndsIsNoSuccessor(t *testing.T) {
	cfg := config.Config{Name: "n1", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Temp: t.TempDir(), MemoryMB: 1 << 20}
	folder, err := handover.Open(cfg.Temp, cfg.Name, cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	old, err := folder.Enter(time.Unix(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer old.Leave()
	for name, e := range map[string]struct {
		steps []func(*operation)
		want  bool
	}{
		"starts":             {nil, false},
		"serves":             {[]func(*operation){(*operation).serves}, true},
		"served":             {[]func(*operation){(*operation).serves, ends}, false},
		"ends before serves": {[]func(*operation){ends, (*operation).serves}, false},
	} {
		o := newOperation(&cfg, zap.NewNop())
		for _, do := range e.steps {
			do(o)
		}
		if others, err := old.Others(); err != nil || others.Alive != 1 || (len(others.Younger) == 1) != e.want {
			t.Errorf("%s: %+v, %v", name, others, err)
		}
		o.close()
	}
}

func ends(o *operation) { o.leave([]net.Listener(nil)...) }

// A folder that can't be used costs what would be handed over, is told with its code, and
// nothing else.
func TestNoRoomToHandOver(t *testing.T) {
	for name, spoil := range map[string]func(temp string) error{
		"no folder from the start": nil,
		"it goes meanwhile":        os.RemoveAll,
		"no file can be replaced": func(temp string) error {
			return os.MkdirAll(filepath.Join(temp, "orders", "x"), 0o700)
		},
	} {
		core, told := observer.New(zap.WarnLevel)
		cfg := config.Config{Name: "n1", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Temp: t.TempDir(), MemoryMB: 1 << 20}
		if spoil == nil {
			cfg.Temp = filepath.Join(cfg.Temp, "file")
			os.WriteFile(cfg.Temp, nil, 0o600)
		}
		o := newOperation(&cfg, zap.New(core))
		if spoil != nil {
			folders, _ := filepath.Glob(filepath.Join(cfg.Temp, "*"))
			if err := spoil(folders[0]); err != nil {
				t.Fatal(err)
			}
		}
		o.serves()
		if err := o.Drain(t.Context(), true); err != nil || o.Gate().Takes() || !o.Ready() || o.leave() {
			t.Error(name, "an order does not count:", err)
		}
		o.handOver(broker.Handover{})
		o.close()
		codes := map[any]int{}
		for _, line := range told.All() {
			codes[line.ContextMap()["code"]]++
		}
		if codes["handover-no-folder"] == 0 || codes[nil] > 0 {
			t.Errorf("%s: %v", name, codes)
		}
	}
}

// What stands has one successor, also where several younger processes serve, the successor ends
// before the last word, or two hand over at once.
func TestOneSuccessor(t *testing.T) {
	cfg := config.Config{Name: "n1", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Temp: t.TempDir(), MemoryMB: 1 << 20}
	var all [4]*operation
	for i := range all {
		all[i] = newOperation(&cfg, zap.NewNop())
		defer all[i].close()
	}
	hand := func(from, n int, last bool) {
		all[from].handOver(broker.Handover{Sessions: make([]broker.EstablishedSession, n), Final: last})
	}
	got := func(want string) {
		t.Helper()
		var took []string
		for i, o := range all {
			for e, changed, err := o.self.Handover(); changed || err != nil; e, changed, err = o.self.Handover() {
				took = append(took, fmt.Sprint(i, " takes ", len(e.Sessions)))
			}
		}
		if have := strings.Join(took, ", "); have != want {
			t.Errorf("%s; want %s", have, want)
		}
	}
	all[0].serves()
	all[1].serves()
	all[2].serves()
	ends(all[0])
	hand(0, 1, false)
	got("2 takes 1") // not 1 as well
	all[3].serves()
	ends(all[1])
	hand(1, 2, false)
	hand(0, 3, true)
	got("2 takes 3, 3 takes 2") // 2 has been the successor of 0, and serves
	ends(all[2])
	hand(1, 4, true)
	hand(2, 5, false)
	got("3 takes 4, 3 takes 5")
	all[3].close()
	hand(2, 6, true)
	got("") // nobody is there
}

// The watch and a signal may look for other processes at once (for the race detector).
func TestLooksAtOnce(t *testing.T) {
	cfg := config.Config{Name: "n1", Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Temp: t.TempDir(), MemoryMB: 1 << 20}
	one, two := newOperation(&cfg, zap.NewNop()), newOperation(&cfg, zap.NewNop())
	defer one.close()
	defer two.close()
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() {
			for range 20 {
				one.look()
			}
		})
	}
	both.Wait()
	if !one.Shared() {
		t.Error("the other one is not seen")
	}
}
