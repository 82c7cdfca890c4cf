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
func TestNothingByHandWithoutAdmin(t *testing.T) {
	temp := t.TempDir()
	p := startWith(t, "127.0.0.1:1", member("a", "127.0.0.1:1", 0), 2, "", func(cfg *config.Config) { cfg.Temp = temp })
	if p.at.Operators != nil {
		t.Error("it listens for calls")
	}
	if _, err := Listen(config.Config{Listen: p.at.Viewers.Addr().String()}); err == nil {
		t.Error("another process may take its viewers")
	}
	if files, err := os.ReadDir(temp); err != nil || len(files) > 0 {
		t.Errorf("files: %v, %v", files, err)
	}
	hand := newAdminService(&config.Config{Temp: temp}, zap.NewNop())
	told := 0
	hand.withOverrides(func(directory.Change) { told++ })(directory.Change{})
	hand.restoreOverrides()
	hand.close()
	if hand != nil || hand.Gate() != nil || hand.Counts() != nil || hand.HandoverFunc() != nil || hand.Shared() || hand.leaveToSuccessor() || told != 1 {
		t.Error("something is run by hand")
	}
}

// What is called takes effect in the running program, and is there again for the next one.
func TestCalls(t *testing.T) {
	temp := t.TempDir()
	start := func() *program {
		return startWith(t, "127.0.0.1:1", member("a", "127.0.0.1:1", 0), 2, "", func(cfg *config.Config) {
			cfg.Temp, cfg.Admin = temp, "127.0.0.1:0"
		})
	}
	call := func(p *program, method, path string) (int, string) {
		t.Helper()
		req, _ := http.NewRequest(method, "http://"+p.at.Operators.Addr().String()+path, nil)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(text)
	}
	p := start()
	if got, text := call(p, "POST", "/media-servers/disable?member=b"); got != 404 || !strings.Contains(text, "call-unknown-member") {
		t.Errorf("a node that was never listed: %d %s", got, text)
	}
	if got, text := call(p, "POST", "/media-servers/disable?member=a"); got != 200 {
		t.Errorf("%d %s", got, text)
	}
	if _, text := call(p, "GET", "/metrics"); !strings.Contains(text, `"pool_size":1,"pool_ejected":1`) {
		t.Error(text)
	}
	young := start() // the test's address has port 0, so that each has one of its own
	if _, text := call(young, "GET", "/metrics"); !strings.Contains(text, `"pool_size":1,"pool_ejected":1`) {
		t.Error("the order is forgotten by the next process: ", text)
	}
	if got, _ := call(young, "POST", "/media-servers/enable?member=a"); got != 200 {
		t.Error("not put back")
	}
	for range 1000 { // the older one hears of it within 50 ms or so
		if _, text := call(p, "GET", "/metrics"); strings.Contains(text, `"pool_ejected":0`) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Error("the older process still leaves the node out")
}
