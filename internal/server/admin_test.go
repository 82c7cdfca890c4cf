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

// Without an admin address there must be no listener for operators, no file for other
// processes, no overrides of the list, and no other process may listen at the viewers' address.
func TestNoAdminServiceWithoutAddress(t *testing.T) {
	temp := t.TempDir()
	mgr := startManagerWith(t, "127.0.0.1:1", memberJSON("a", "127.0.0.1:1", 0), 2, "", func(cfg *config.Config) { cfg.SharedDir = temp })
	if mgr.listeners.Operators != nil {
		t.Error("the manager listens for operators' calls")
	}
	if _, err := Listen(config.Config{Listen: mgr.listeners.Viewers.Addr().String()}); err == nil {
		t.Error("another process may listen at the viewers' address")
	}
	if files, err := os.ReadDir(temp); err != nil || len(files) > 0 {
		t.Errorf("files: %v, %v", files, err)
	}
	service := newAdminService(&config.Config{SharedDir: temp}, zap.NewNop())
	changes := 0
	service.withOverrides(func(directory.Change) { changes++ })(directory.Change{})
	service.restoreOverrides()
	service.close()
	if service != nil || service.Gate() != nil || service.Counts() != nil || service.HandoverFunc() != nil || service.Shared() || service.leaveToSuccessor() || changes != 1 {
		t.Error("a manager without an admin address has an admin service")
	}
}

// Operators' calls must take effect in the running manager and in another process of it.
func TestOperatorCalls(t *testing.T) {
	temp := t.TempDir()
	startWithAdmin := func() *manager {
		return startManagerWith(t, "127.0.0.1:1", memberJSON("a", "127.0.0.1:1", 0), 2, "", func(cfg *config.Config) {
			cfg.SharedDir, cfg.AdminListen = temp, "127.0.0.1:0"
		})
	}
	call := func(mgr *manager, method, path string) (int, string) {
		t.Helper()
		req, _ := http.NewRequest(method, "http://"+mgr.listeners.Operators.Addr().String()+path, nil)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(body)
	}
	mgr := startWithAdmin()
	if status, body := call(mgr, "POST", "/media-servers/disable?member=b"); status != 404 || !strings.Contains(body, "call-unknown-member") {
		t.Errorf("disabling a node that was never listed: %d %s", status, body)
	}
	if status, body := call(mgr, "POST", "/media-servers/disable?member=a"); status != 200 {
		t.Errorf("%d %s", status, body)
	}
	if _, body := call(mgr, "GET", "/metrics"); !strings.Contains(body, `"pool_size":1,"pool_ejected":1`) {
		t.Error(body)
	}
	successor := startWithAdmin() // port 0 in the test's addresses gives each process its own
	if _, body := call(successor, "GET", "/metrics"); !strings.Contains(body, `"pool_size":1,"pool_ejected":1`) {
		t.Error("the successor does not apply the override: ", body)
	}
	if status, _ := call(successor, "POST", "/media-servers/enable?member=a"); status != 200 {
		t.Error("the successor does not enable the node")
	}
	for range 1000 { // the predecessor checks every 50 ms
		if _, body := call(mgr, "GET", "/metrics"); strings.Contains(body, `"pool_ejected":0`) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the predecessor does not enable the node")
}
