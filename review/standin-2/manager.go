package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// manager is one process of the program.
type manager struct {
	rig    *rig
	label  string
	listen string
	admin  string
	cmd    *exec.Cmd
	log    string
	done   chan struct{}
}

// managerConfig is what a process is started with.
type managerConfig struct {
	label       string
	listen      string
	coordinator string
	known       map[string]any
	operator    string // content of the operator's file; empty: none
	tmp         string // shared folder of the processes of one manager
	nodes       int    // how many media servers there are
}

// freeAddr returns an address at which nothing listens.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// settings returns settings like those of a small deployment with so many media servers.
func settings(nodes int) map[string]any {
	return map[string]any{
		"balancers": 1, "zone": 0, "discovery": "automatic", "weights": "rough", "tickS": 0.01,
		"localities": []string{"hall-a", "hall-b"}, "flavors": []string{"node-2c", "node-3c"},
		"lanes": []any{
			map[string]any{"name": "clip", "effect": "at_most_once", "goalTimeS": 1.5, "giveUpS": 3.0, "group": "all", "windowS": 5.0, "worth": 2.0, "streamed": true},
			map[string]any{"name": "feed", "effect": "idempotent", "goalTimeS": 1.5, "giveUpS": 3.0, "group": "all", "windowS": 5.0, "worth": 1.0, "streamed": true},
		},
		"family": "streams",
		"familyInfo": map[string]any{
			"classFloor": []int{1, 0}, "topByClass": []int{3, 3}, "scaleByClass": []int{1, 1}, "licenceCap": []int{0, 0},
			"isLive": []bool{false, true}, "ratesKb": []float64{172, 364, 767, 1617}, "ladderWorth": []float64{0.26, 0.53, 0.77, 1},
			"kindStreams": []int{40, 60}, "places": nodeCells, "groups": 2, "kbPerWeight": 2459, "rackLinkKb": rackLinkKB(nodes),
			"fleetKb": float64(nodes) * nodeLinkKB, "guard": 1.2, "seeS": 0.99, "switchS": 0.52, "joinAdds": 1, "reportsEveryS": 0, "stallCost": 7,
		},
		"feedback":     map[string]any{"fields": []string{"load_share", "x1"}, "via": "probe"},
		"charges":      map[string]any{"crossZone": 0.021, "probe": 0.01, "moves": 0.14, "handshake": 0.0},
		"obligations":  map[string]any{"answerSlackS": 0.04, "askWithinS": 10.0, "drainGraceS": 1.0, "fallMultiple": 3.0, "fallS": 1.0, "startCapacity": 0.4, "warmAfterS": 12.0},
		"policyLimits": map[string]any{"attemptsCap": 4, "cancel": true, "connIdleS": 15.0, "connectTimeoutS": 0.25, "probes": true, "retryAfter": true, "maxRetryAfterS": 1.0, "streamsPerConn": 32},
		"projects":     []any{},
	}
}

// startManager starts a process by `run` of the deploy file, and waits until it is ready.
func (r *rig) startManager(cfg managerConfig) *manager {
	m := &manager{rig: r, label: cfg.label, listen: cfg.listen, admin: freeAddr(), done: make(chan struct{})}
	s := settings(cfg.nodes)
	config := map[string]any{
		"name": "n0", "listen": cfg.listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "admin": m.admin,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": s, "known": cfg.known,
	}
	if cfg.coordinator != "" {
		config["coordinator"] = cfg.coordinator
	}
	text, err := json.Marshal(config)
	must(err)
	folder := filepath.Join(r.temp, cfg.label)
	must(os.MkdirAll(folder, 0o700))
	configPath := filepath.Join(folder, "config.json")
	must(os.WriteFile(configPath, text, 0o600))
	must(os.MkdirAll(cfg.tmp, 0o700))
	m.log = filepath.Join(folder, "log")
	logFile, err := os.Create(m.log)
	must(err)
	defer logFile.Close()

	m.cmd = exec.Command("/bin/sh", "-c", r.deployCommand("run"))
	m.cmd.Dir = r.root
	m.cmd.Stdout, m.cmd.Stderr = logFile, logFile
	m.cmd.Env = append(os.Environ(), "BALANCER_NAME=n0", "BALANCER_CONFIG="+configPath, "BALANCER_LISTEN="+cfg.listen,
		"BALANCER_ADMIN="+m.admin, "TMPDIR="+cfg.tmp)
	if cfg.operator != "" {
		operatorPath := filepath.Join(folder, "operator.conf")
		must(os.WriteFile(operatorPath, []byte(cfg.operator), 0o600))
		m.cmd.Env = append(m.cmd.Env, "MILLETHINGE_OPERATOR="+operatorPath)
	}
	must(m.cmd.Start())
	r.mu.Lock()
	r.managers = append(r.managers, m)
	r.mu.Unlock()
	go func() {
		err := m.cmd.Wait()
		r.note("%s ended: %v", m.label, err)
		close(m.done)
	}()
	ready := func() bool {
		time.Sleep(20 * time.Millisecond)
		status, _ := m.call("GET", "/ready")
		return status == 200
	}
	if !waitFor(30*time.Second, ready) {
		panic(cannotRun{cfg.label + " is not ready after 30 s"})
	}
	r.note("%s is ready, process %d", m.label, m.cmd.Process.Pid)
	return m
}

// deployCommand returns a command of the deploy file.
func (r *rig) deployCommand(key string) string {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "balancer.toml"))
	must(err)
	match := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"`).FindSubmatch(text)
	if match == nil {
		panic(cannotRun{"the deploy file has no " + key})
	}
	return string(match[1])
}

// call makes an operator's call and returns its status; 0 if there was none.
func (m *manager) call(method, path string) (int, string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+m.admin+path, nil)
	must(err)
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	if method == "POST" {
		m.rig.note("operator: %s %s at %s: %d", method, path, m.label, response.StatusCode)
	}
	return response.StatusCode, string(body)
}

// signal sends a signal to the process.
func (m *manager) signal(s syscall.Signal) {
	m.rig.note("%v to %s", s, m.label)
	m.cmd.Process.Signal(s)
}

// alive reports whether the process runs.
func (m *manager) alive() bool {
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// kill ends the process at the end of a case.
func (m *manager) kill() {
	if !m.alive() {
		return
	}
	m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.done
}

// terminate sends SIGTERM as the platform does in an upgrade: SIGKILL follows after the longest
// deadline, 3 s here, and 0.7 s more. It returns when the process has ended.
func (m *manager) terminate() {
	m.signal(syscall.SIGTERM)
	select {
	case <-m.done:
	case <-time.After(3700 * time.Millisecond):
		m.signal(syscall.SIGKILL)
		<-m.done
	}
}

// appendLog writes the end of a process's log into the record.
func (r *rig) appendLog(m *manager) {
	file, err := os.Open(m.log)
	if err != nil {
		return
	}
	defer file.Close()
	var lines []string
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		lines = append(lines, scanner.Text())
	}
	if len(lines) > 150 {
		lines = lines[len(lines)-150:]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "--- log of %s\n%s\n", m.label, strings.ReplaceAll(strings.Join(lines, "\n"), r.root, "."))
}
