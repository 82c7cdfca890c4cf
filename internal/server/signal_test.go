package server

import (
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

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

// A process that was asked to end is no heir to an older one, also where it was asked
// before it served.
func TestWhoEndsIsNoHeir(t *testing.T) {
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
		if others, err := old.Others(); err != nil || others.Alive != 1 || others.Younger != e.want {
			t.Errorf("%s: %+v, %v", name, others, err)
		}
		o.close()
	}
}

func ends(o *operation) { o.leave([]net.Listener(nil)...) }

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
