package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// platform starts session managers as the deploy file says.
type platform struct {
	rec      *recorder
	root     string // the repository
	dir      string // temporary folder
	run      string // the command of the deploy file
	config   string // path of the configuration
	listen   string
	operator string // path of an operator's file; empty: none
	mu       sync.Mutex
	started  []*manager
}

// manager is one process of a session manager.
type manager struct {
	*exec.Cmd
	name  string
	admin string
	log   string
	done  chan struct{}
}

func newPlatform(rec *recorder, root string) (*platform, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return nil, fmt.Errorf("the deploy file has no run")
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	if err := os.Mkdir(filepath.Join(dir, "tmp"), 0o700); err != nil {
		return nil, err
	}
	return &platform{rec: rec, root: root, dir: dir, run: string(match[1]), config: filepath.Join(dir, "config.json"), listen: freeAddr()}, nil
}

// writeConfig writes the configuration of a small deployment.
func (p *platform) writeConfig(c *coordinator, balancers, cells, sockets int) error {
	config := map[string]any{
		"name": "n0", "listen": p.listen, "seed": "8c1f30d27a5be964",
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"coordinator": c.addr, "known": c.known(),
		"settings": map[string]any{
			"balancers": balancers, "zone": 0, "me": 0, "stage": 0, "discovery": "automatic", "weights": "rough",
			"localities": []string{"hall-a"}, "flavors": []string{"node-2c"}, "family": "streams", "projects": []any{},
			"callers": map[string]any{"marksRetry": true}, "tiers": []string{"media-tier"}, "tickS": 0.01,
			"lanes": []any{
				map[string]any{"name": "clip", "effect": "at_most_once", "goalTimeS": 1.5, "giveUpS": 3.0, "group": "all", "lateValue": 0.0, "streamed": true, "windowS": 5.0, "worth": 2.0},
				map[string]any{"name": "feed", "effect": "idempotent", "goalTimeS": 1.5, "giveUpS": 3.0, "group": "all", "lateValue": 0.0, "streamed": true, "windowS": 5.0, "worth": 1.0},
			},
			"familyInfo": map[string]any{
				"classFloor": []int{1, 0}, "topByClass": []int{3, 3}, "scaleByClass": []float64{1, 1}, "licenceCap": []int{0, 0},
				"isLive": []bool{false, true}, "joinAdds": 1.0, "reportsEveryS": 0.0, "stallCost": 7.0,
				"ratesKb": []float64{172, 364, 767, 1617}, "ladderWorth": []float64{0.26, 0.53, 0.77, 1},
				"kindStreams": []int{24}, "places": cells, "groups": 2, "kbPerWeight": 2459.0, "rackLinkKb": 3000.0 * float64(cells),
				"fleetKb": 9836.0 * float64(cells), "guard": 1.2, "seeS": 0.99, "switchS": 0.52,
			},
			"feedback": map[string]any{"fields": []string{"load_share", "x1"}, "via": "probe"},
			"policyLimits": map[string]any{"attemptsCap": 4, "cancel": true, "probes": true, "peers": false, "connIdleS": 15.0,
				"connectTimeoutS": 0.25, "maxRetryAfterS": 1.0, "openCap": 1000000, "retryAfter": true, "secondCopies": false, "streamsPerConn": 32},
			"obligations": map[string]any{"answerSlackS": 0.04, "askWithinS": 10.0, "drainGraceS": 1.0, "fallMultiple": 3.0, "fallS": 1.0, "startCapacity": 0.4, "warmAfterS": 12.0},
			"charges":     map[string]any{"crossZone": 0.021, "lateFail": 0.05, "moves": 0.14, "probe": 0.01, "connection": 0.0, "handshake": 0.0},
		},
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, text, 0o600)
}

// start starts a process of the session manager, with its own address for calls.
func (p *platform) start(name string) (*manager, error) {
	m := &manager{Cmd: exec.Command("/bin/sh", "-c", p.run), name: name, admin: freeAddr(),
		log: filepath.Join(p.dir, name+".log"), done: make(chan struct{})}
	m.Dir = p.root
	m.Env = []string{"PATH=" + os.Getenv("PATH"), "BALANCER_NAME=n0", "BALANCER_LISTEN=" + p.listen, "BALANCER_CONFIG=" + p.config,
		"BALANCER_ADMIN=" + m.admin, "TMPDIR=" + filepath.Join(p.dir, "tmp")}
	if p.operator != "" {
		m.Env = append(m.Env, "MILLETHINGE_OPERATOR="+p.operator)
	}
	f, err := os.Create(m.log)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	m.Stdout, m.Stderr = f, f
	if err := m.Cmd.Start(); err != nil {
		return nil, err
	}
	p.rec.logf("platform: started %s, calls at %s", name, m.admin)
	go func() {
		err := m.Wait()
		p.rec.logf("platform: %s ended: %v", name, err)
		close(m.done)
	}()
	p.mu.Lock()
	p.started = append(p.started, m)
	p.mu.Unlock()
	return m, nil
}

// call makes an operator's call and returns the status, or 0.
func (p *platform) call(m *manager, method, path string) (int, string) {
	req, _ := http.NewRequest(method, "http://"+m.admin+path, nil)
	req.Close = true
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.TrimSpace(string(body))
}

// waitReady waits until the process says yes and passes a test.
func (p *platform) waitReady(m *manager, limit time.Duration) (time.Time, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if status, _ := p.call(m, "GET", "/ready"); status/100 == 2 {
			now := time.Now()
			p.rec.logf("platform: %s says yes", m.name)
			return now, nil
		}
	}
	return time.Time{}, fmt.Errorf("%s did not say yes within %v", m.name, limit)
}

// signal sends a signal to the process.
func (p *platform) signal(m *manager, s syscall.Signal) {
	p.rec.logf("platform: %v to %s", s, m.name)
	m.Process.Signal(s)
}

// retire ends a process as at an upgrade or a planned restart: SIGTERM, and SIGKILL after
// the longest deadline and 0.7 s.
func (p *platform) retire(m *manager) {
	p.signal(m, syscall.SIGTERM)
	go func() {
		select {
		case <-m.done:
		case <-time.After(3700 * time.Millisecond):
			p.signal(m, syscall.SIGKILL)
		}
	}()
}

// alive reports whether the process still runs.
func (m *manager) alive() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// close ends all processes and removes the temporary folder.
func (p *platform) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.started {
		m.Process.Kill()
		<-m.done
		p.rec.appendLog(m.name, m.log, 200)
	}
	p.started = nil
	os.RemoveAll(p.dir)
}
