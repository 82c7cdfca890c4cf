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

// A reload that blocks must delay neither the next signal nor the end of the manager.
func TestBlockedReloadDelaysNoSignal(t *testing.T) {
	mgr := startManager(t, "127.0.0.1:1", memberJSON("a", "127.0.0.1:1", 0), 2, "")
	for _, sig := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
		select {
		case mgr.signals <- sig:
		case <-time.After(testTimeout):
			mgr.reload <- "" // unblocks the reload
			t.Fatal(sig, "is not handled")
		}
	}
	select {
	case err := <-mgr.done:
		mgr.done <- err
	case <-time.After(testTimeout):
		mgr.reload <- ""
		t.Fatal("the manager does not end")
	}
}

// A process that was asked to end must not become the successor of an older one, even if it was
// asked before it was ready.
func TestStoppingProcessIsNoSuccessor(t *testing.T) {
	cfg := config.Config{Name: "n1", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", SharedDir: t.TempDir(), MemoryMB: 1 << 20}
	folder, err := handover.Open(cfg.SharedDir, cfg.Name, cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	predecessor, err := folder.Register(time.Unix(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer predecessor.Unregister()
	for name, test := range map[string]struct {
		steps []func(*adminService)
		want  bool
	}{
		"starting":             {nil, false},
		"ready":                {[]func(*adminService){(*adminService).markReady}, true},
		"stopped when ready":   {[]func(*adminService){(*adminService).markReady, stop}, false},
		"stopped before ready": {[]func(*adminService){stop, (*adminService).markReady}, false},
	} {
		service := newAdminService(&cfg, zap.NewNop())
		for _, step := range test.steps {
			step(service)
		}
		if others, err := predecessor.FindOthers(); err != nil || others.Alive != 1 || (len(others.Successors) == 1) != test.want {
			t.Errorf("%s: %+v, %v", name, others, err)
		}
		service.close()
	}
}

// stop has a process leave to its successor, if any.
func stop(s *adminService) { s.leaveToSuccessor([]net.Listener(nil)...) }

// Without a usable handover folder nothing can be handed over, and a warning with the error's
// code is logged, but everything else must work.
func TestUnusableHandoverFolder(t *testing.T) {
	for name, breakFolder := range map[string]func(temp string) error{
		"folder never usable":  nil,
		"folder removed later": os.RemoveAll,
		"file can't be replaced": func(temp string) error {
			return os.MkdirAll(filepath.Join(temp, "orders", "x"), 0o700)
		},
	} {
		core, logged := observer.New(zap.WarnLevel)
		cfg := config.Config{Name: "n1", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", SharedDir: t.TempDir(), MemoryMB: 1 << 20}
		if breakFolder == nil {
			cfg.SharedDir = filepath.Join(cfg.SharedDir, "file")
			os.WriteFile(cfg.SharedDir, nil, 0o600)
		}
		service := newAdminService(&cfg, zap.New(core))
		if breakFolder != nil {
			folders, _ := filepath.Glob(filepath.Join(cfg.SharedDir, "*"))
			if err := breakFolder(folders[0]); err != nil {
				t.Fatal(err)
			}
		}
		service.markReady()
		if err := service.SetDraining(t.Context(), true); err != nil || service.Gate().AcceptsClients() || !service.Ready() || service.leaveToSuccessor() {
			t.Error(name, "the drain has no effect:", err)
		}
		service.handOver(broker.Handover{})
		service.close()
		codes := map[any]int{}
		for _, line := range logged.All() {
			codes[line.ContextMap()["code"]]++
		}
		if codes["handover-no-folder"] == 0 || codes[nil] > 0 {
			t.Errorf("%s: %v", name, codes)
		}
	}
}

// Established sessions must have exactly one successor, even if several younger processes are
// ready, the successor ends before the last handover, or two processes hand over at once.
func TestOneSuccessor(t *testing.T) {
	cfg := config.Config{Name: "n1", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", SharedDir: t.TempDir(), MemoryMB: 1 << 20}
	var services [4]*adminService
	for i := range services {
		services[i] = newAdminService(&cfg, zap.NewNop())
		defer services[i].close()
	}
	sendHandover := func(from, n int, last bool) {
		services[from].handOver(broker.Handover{Sessions: make([]broker.EstablishedSession, n), Final: last})
	}
	expect := func(want string) {
		t.Helper()
		var taken []string
		for i, s := range services {
			for h, changed, err := s.process.LoadHandover(); changed || err != nil; h, changed, err = s.process.LoadHandover() {
				taken = append(taken, fmt.Sprint(i, " takes ", len(h.Sessions)))
			}
		}
		if have := strings.Join(taken, ", "); have != want {
			t.Errorf("%s; want %s", have, want)
		}
	}
	services[0].markReady()
	services[1].markReady()
	services[2].markReady()
	stop(services[0])
	sendHandover(0, 1, false)
	expect("2 takes 1") // process 1 must not take it too
	services[3].markReady()
	stop(services[1])
	sendHandover(1, 2, false)
	sendHandover(0, 3, true)
	expect("2 takes 3, 3 takes 2") // process 2 stays the successor of process 0 while it is ready
	stop(services[2])
	sendHandover(1, 4, true)
	sendHandover(2, 5, false)
	expect("3 takes 4, 3 takes 5")
	services[3].close()
	sendHandover(2, 6, true)
	expect("") // no process is left to take over
}

// The periodic check and a signal may check for other processes at the same time. The race
// detector finds unprotected access.
func TestConcurrentProcessChecks(t *testing.T) {
	cfg := config.Config{Name: "n1", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", SharedDir: t.TempDir(), MemoryMB: 1 << 20}
	first, second := newAdminService(&cfg, zap.NewNop()), newAdminService(&cfg, zap.NewNop())
	defer first.close()
	defer second.close()
	var checks sync.WaitGroup
	for range 2 {
		checks.Go(func() {
			for range 20 {
				first.checkProcesses()
			}
		})
	}
	checks.Wait()
	if !first.Shared() {
		t.Error("the other process is not seen")
	}
}
