package server

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"millethinge/internal/config"
	"millethinge/internal/directory"
)

// Without an address for calls nothing of them is there: no listener, no file, nothing
// over the list, and a viewers' address that nobody else may share.
func TestNoAdminServiceWithoutAddress(t *testing.T) {
	temp := t.TempDir()
	prog := startManagerWith(t, "127.0.0.1:1", memberJSON("a", "127.0.0.1:1", 0), 2, "", func(cfg *config.Config) { cfg.Temp = temp })
	if prog.listeners.Operators != nil {
		t.Error("it listens for calls")
	}
	if _, err := Listen(config.Config{Listen: prog.listeners.Viewers.Addr().String()}); err == nil {
		t.Error("another process may take its viewers")
	}
	if files, err := os.ReadDir(temp); err != nil || len(files) > 0 {
		t.Errorf("files: %v, %v", files, err)
	}
	service := newAdminService(&config.Config{Temp: temp}, zap.NewNop())
	changes := 0
	service.withOverrides(func(directory.Change) { changes++ })(directory.Change{})
	service.restoreOverrides()
	service.close()
	if service != nil || service.Gate() != nil || service.Counts() != nil || service.HandoverFunc() != nil || service.Shared() || service.leaveToSuccessor() || changes != 1 {
		t.Error("something is run by hand")
	}
}

// What is called takes effect in the running program, and is there again for the next one.
func TestOperatorCalls(t *testing.T) {
	temp := t.TempDir()
	startWithAdmin := func() *manager {
		return startManagerWith(t, "127.0.0.1:1", memberJSON("a", "127.0.0.1:1", 0), 2, "", func(cfg *config.Config) {
			cfg.Temp, cfg.Admin = temp, "127.0.0.1:0"
		})
	}
	call := func(prog *manager, method, path string) (int, string) {
		t.Helper()
		req, _ := http.NewRequest(method, "http://"+prog.listeners.Operators.Addr().String()+path, nil)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(body)
	}
	prog := startWithAdmin()
	if status, body := call(prog, "POST", "/media-servers/disable?member=b"); status != 404 || !strings.Contains(body, "call-unknown-member") {
		t.Errorf("a node that was never listed: %d %s", status, body)
	}
	if status, body := call(prog, "POST", "/media-servers/disable?member=a"); status != 200 {
		t.Errorf("%d %s", status, body)
	}
	if _, body := call(prog, "GET", "/metrics"); !strings.Contains(body, `"pool_size":1,"pool_ejected":1`) {
		t.Error(body)
	}
	successor := startWithAdmin() // the test's address has port 0, so that each has one of its own
	if _, body := call(successor, "GET", "/metrics"); !strings.Contains(body, `"pool_size":1,"pool_ejected":1`) {
		t.Error("the order is forgotten by the next process: ", body)
	}
	if status, _ := call(successor, "POST", "/media-servers/enable?member=a"); status != 200 {
		t.Error("not put back")
	}
	for range 1000 { // the older one hears of it within 50 ms or so
		if _, body := call(prog, "GET", "/metrics"); strings.Contains(body, `"pool_ejected":0`) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the older process still leaves the node out")
}
