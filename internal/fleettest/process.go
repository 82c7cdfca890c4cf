package fleettest

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Build compiles the program with the build line of deploy/balancer.toml into a folder and returns
// the path of the session manager. root is the repository's folder; flags are added to the go build
// of that line.
func Build(root, folder string, flags ...string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", fmt.Errorf("fleettest: %w", err)
	}
	m := regexp.MustCompile(`(?m)^build = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("fleettest: deploy/balancer.toml has no build line")
	}
	line := strings.NewReplacer("mkdir -p bin", "mkdir -p '"+folder+"'", "-o bin/", "-o '"+folder+"/'").Replace(string(m[1]))
	line = strings.Replace(line, "go build", strings.Join(append([]string{"go build"}, flags...), " "), 1)
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("fleettest: build: %w\n%s", err, out)
	}
	return filepath.Join(folder, "millethinge"), nil
}

// Manager is one manager of a fleet. Its process may be stopped and started again under the same
// name, or be replaced by a successor that starts while it runs.
type Manager struct {
	Name             string
	Binary           string
	Dir              string                 // working folder, home and $TMPDIR; kept over all starts
	Config           map[string]any         // the platform's configuration, without the keys that each start sets
	OperatorConfig   string                 // text of the operator file; empty: no file
	LogLevel         string                 // minimum level of the log
	Env              []string               // in addition to what the platform sets
	KnownUpdates     func() listUpdates     // the list that a starting process is given
	NewAdminAddr     func() (string, error) // returns a free address for operators' calls; nil: no such address
	Record           *Record
	OnUnexpectedExit func(error) // called when a process ends without being told to

	mu          sync.Mutex
	processes   []*process // those that run, the newest last
	logLines    []string
	changed     chan struct{} // closed and replaced at each change of processes or logLines
	endStarving chan struct{} // closed to end Starve; nil: not starved
	starts      int
}

// process is one operating-system process of a manager.
type process struct {
	number        int // counts the starts of the manager, from 1
	cmd           *exec.Cmd
	viewerAddr    string // address of the listener for viewers; empty: not listening yet
	adminAddr     string // address for operators' calls; empty: none
	exited        chan struct{}
	stopRequested bool // it was told to end
	ready         bool // it has reported that it is ready
}

// Start starts the manager and waits until it serves.
func (m *Manager) Start() error {
	if m.newest() != nil {
		return fmt.Errorf("fleettest: %s is already running", m.Name)
	}
	p, err := m.launch()
	if err != nil {
		return err
	}
	return m.awaitReady(p, func() bool {
		m.mu.Lock()
		served := p.viewerAddr != ""
		m.mu.Unlock()
		return served && p.reportsReady()
	}, func() { m.Record.Add(Event{Kind: ManagerServing, Manager: m.Name}) })
}

// awaitReady waits until a process is ready, marks it as such and calls then. It fails when the
// process ends or the time runs out.
func (m *Manager) awaitReady(p *process, ready func() bool, then func()) error {
	deadline := time.After(defaultWaitTimeout)
	for {
		m.mu.Lock()
		changed := m.changed
		m.mu.Unlock()
		if ready() {
			m.mu.Lock()
			p.ready = true
			m.mu.Unlock()
			then()
			return nil
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		case <-p.exited:
			return fmt.Errorf("fleettest: %s ended during its start:\n%s", m.Name, m.LogTail(20))
		case <-deadline:
			return fmt.Errorf("fleettest: %s is not ready after %v:\n%s", m.Name, defaultWaitTimeout, m.LogTail(20))
		}
	}
}

// launch starts a process as the platform does, while any earlier one keeps running.
func (m *Manager) launch() (*process, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	m.starts++
	p := &process{number: m.starts, exited: make(chan struct{})}
	if len(m.processes) == 0 { // a successor gets the same configuration except for the admin address and the list
		m.Config["seed"] = fmt.Sprintf("%x", 0x5eed0000+m.starts*256+len(m.Name)+int(m.Name[len(m.Name)-1]))
	}
	if m.NewAdminAddr != nil {
		var err error
		if p.adminAddr, err = m.NewAdminAddr(); err != nil {
			return nil, err
		}
		m.Config["admin"] = p.adminAddr
	}
	m.Config["known"] = m.KnownUpdates()
	text, err := json.Marshal(m.Config)
	if err != nil {
		return nil, err
	}
	config := filepath.Join(m.Dir, fmt.Sprintf("config-%d.json", p.number))
	env := append(m.Env, "BALANCER_CONFIG="+config, "HOME="+m.Dir, "TMPDIR="+m.Dir)
	err = os.WriteFile(config, text, 0o600)
	if err == nil && m.OperatorConfig != "" {
		env = append(env, "MILLETHINGE_OPERATOR="+filepath.Join(m.Dir, "operator.conf"))
		err = os.WriteFile(filepath.Join(m.Dir, "operator.conf"), []byte(m.OperatorConfig), 0o600)
	}
	if err != nil {
		return nil, err
	}
	p.cmd = exec.Command(m.Binary, "serve", "--log-level", cmp.Or(m.LogLevel, "info"))
	p.cmd.Dir, p.cmd.Env = m.Dir, env
	// Ends the manager with the test, however the test ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.cmd.StderrPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("fleettest: %s: %w", m.Name, err)
	}
	m.processes = append(m.processes, p)
	go m.readLog(p, out)
	return p, nil
}

// readLog reads the log of a process until the process ends.
func (m *Manager) readLog(p *process, out io.Reader) {
	in := bufio.NewScanner(out)
	in.Buffer(make([]byte, 64<<10), 1<<20)
	// Nothing reads this file: it is for people who keep the folder for inspection.
	file, _ := os.Create(filepath.Join(m.Dir, fmt.Sprintf("log-%d.json", p.number)))
	defer file.Close()
	for in.Scan() {
		line := in.Text()
		fmt.Fprintln(file, line)
		var l struct{ Msg, Listen string }
		json.Unmarshal([]byte(line), &l) // the lines of a panic are not JSON
		m.mu.Lock()
		m.logLines = append(m.logLines, line)
		if l.Msg == "serving" {
			p.viewerAddr = l.Listen
		}
		m.notifyChanged()
		m.mu.Unlock()
	}
	err := p.cmd.Wait()
	m.mu.Lock()
	stopRequested := p.stopRequested
	m.processes = slices.DeleteFunc(m.processes, func(other *process) bool { return other == p })
	e := Event{Kind: ProcessReplaced, Manager: m.Name, Process: p.number, Text: fmt.Sprint("ended: ", err)}
	if len(m.processes) == 0 {
		e.Kind = ManagerStopped
	}
	m.notifyChanged()
	m.mu.Unlock()
	m.Record.Add(e)
	close(p.exited)
	if !stopRequested && m.OnUnexpectedExit != nil {
		m.OnUnexpectedExit(fmt.Errorf("%s ended by itself: %v\n%s", m.Name, err, m.LogTail(30)))
	}
}

// notifyChanged wakes the goroutines that wait for a change. m.mu must be held.
func (m *Manager) notifyChanged() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// StartSuccessor starts a second process beside the running one and waits until the second one
// reports ready at its admin address. With kill "old" or "new" the first or the second one is
// killed that long after the start of the second, whether or not it is ready.
func (m *Manager) StartSuccessor(kill string, after time.Duration) error {
	old := m.newest()
	if old == nil {
		return fmt.Errorf("fleettest: %s is not running", m.Name)
	}
	m.Record.Add(Event{Kind: UpgradeStarted, Manager: m.Name})
	p, err := m.launch()
	if err != nil {
		return err
	}
	if kill != "" {
		time.Sleep(after)
		doomed := old
		if kill == "new" {
			doomed = p
		} else {
			// What the old process had accepted is lost with it. The successor serves or soon does.
			m.Record.Add(Event{Kind: ManagerStopped, Manager: m.Name, Text: "killed beside its successor"})
		}
		m.signalStop(doomed, syscall.SIGKILL)
		<-doomed.exited
		if kill == "new" {
			return nil
		}
	}
	return m.awaitReady(p, p.reportsReady, func() {
		m.Record.Add(Event{Kind: SuccessorReady, Manager: m.Name, Process: p.number})
		if kill == "old" {
			m.Record.Add(Event{Kind: ManagerServing, Manager: m.Name, Text: "its successor"})
		}
	})
}

// StopPredecessors ends all processes but the newest, by SIGTERM and after the grace time by
// SIGKILL.
func (m *Manager) StopPredecessors(grace time.Duration) {
	running := m.runningProcesses()
	for _, p := range running[:max(len(running)-1, 0)] {
		m.signalStop(p, syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-time.After(grace):
			m.signalStop(p, syscall.SIGKILL)
			<-p.exited
		}
	}
}

// reportsReady reports whether a process says at its admin address that it is ready. A process
// without such an address counts as ready: Start waits for its log to say that it serves.
func (p *process) reportsReady() bool {
	if p.adminAddr == "" {
		return true
	}
	status, _, _ := callAdmin(p.adminAddr, "GET", "/ready")
	return status/100 == 2
}

// adminProcess returns the process that operators call, which is the newest ready one.
func (m *Manager) adminProcess() (c *process) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		if p.ready {
			c = p
		}
	}
	return c
}

// metricsProcesses returns the processes whose metrics are fetched, and whether each must answer:
// one that was told to end need not.
func (m *Manager) metricsProcesses() map[*process]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := map[*process]bool{}
	for _, p := range m.processes {
		if p.ready {
			l[p] = !p.stopRequested
		}
	}
	return l
}

// signalStop sends a process that is to end a signal. SIGCONT goes first, since a stopped process
// would not handle SIGTERM.
func (m *Manager) signalStop(p *process, s syscall.Signal) {
	m.mu.Lock()
	p.stopRequested = true
	m.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Signal(s) // fails if the process has already ended
}

func (m *Manager) runningProcesses() []*process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.processes)
}

func (m *Manager) newest() *process {
	if l := m.runningProcesses(); len(l) > 0 {
		return l[len(l)-1]
	}
	return nil
}

// Addr returns the address of the listener for viewers, or an empty string if no process listens. A
// process and its successor listen at the same address.
func (m *Manager) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.processes {
		if p.viewerAddr != "" {
			return p.viewerAddr
		}
	}
	return ""
}

// PID returns the id of the newest process, or 0 if none runs.
func (m *Manager) PID() int {
	if p := m.newest(); p != nil {
		return p.cmd.Process.Pid
	}
	return 0
}

// LogTail returns the last n lines of the log.
func (m *Manager) LogTail(n int) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.logLines[max(0, len(m.logLines)-n):], "\n")
}

// Log returns all log lines, over all starts.
func (m *Manager) Log() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.logLines...)
}

func (m *Manager) signalAll(s syscall.Signal) error {
	l := m.runningProcesses()
	if len(l) == 0 {
		return fmt.Errorf("fleettest: %s is not running", m.Name)
	}
	var err error
	for _, p := range l {
		err = cmp.Or(err, p.cmd.Process.Signal(s))
	}
	return err
}

// Kill sends SIGKILL and waits until all processes have ended.
func (m *Manager) Kill() error { return m.stopAll(syscall.SIGKILL) }

// Terminate sends SIGTERM and waits until all processes have ended.
func (m *Manager) Terminate() error { return m.stopAll(syscall.SIGTERM) }

func (m *Manager) stopAll(s syscall.Signal) error {
	l := m.runningProcesses()
	if len(l) == 0 {
		return nil
	}
	if s == syscall.SIGTERM {
		m.Record.Add(Event{Kind: ManagerStopRequested, Manager: m.Name})
	}
	if s == syscall.SIGKILL {
		m.Record.Add(Event{Kind: ManagerStopped, Manager: m.Name, Text: "killed"})
	}
	for _, p := range l {
		m.signalStop(p, s)
	}
	timeout := time.After(defaultWaitTimeout)
	for _, p := range l {
		select {
		case <-p.exited:
		case <-timeout:
			p.cmd.Process.Kill()
			<-p.exited
			return fmt.Errorf("fleettest: %s is still running %v after %v", m.Name, defaultWaitTimeout, s)
		}
	}
	return nil
}

// Pause stops the manager by SIGSTOP: it receives nothing while the clock goes on.
func (m *Manager) Pause() error {
	m.Record.Add(Event{Kind: ManagerStopped, Manager: m.Name, Text: "paused"})
	return m.signalAll(syscall.SIGSTOP)
}

// Resume ends Pause by SIGCONT. The process cannot tell how long it was stopped except by its
// clock.
func (m *Manager) Resume() error {
	err := m.signalAll(syscall.SIGCONT)
	m.Record.Add(Event{Kind: ManagerServing, Manager: m.Name, Text: "resumed"})
	return err
}

// Starve gives the manager only a share of the processor time, by SIGSTOP and SIGCONT within each
// 20 ms, until StopStarving.
func (m *Manager) Starve(share float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endStarving != nil {
		return
	}
	stop := make(chan struct{})
	m.endStarving = stop
	go func() {
		const slice = 20 * time.Millisecond
		for {
			m.signalAll(syscall.SIGSTOP)
			time.Sleep(time.Duration((1 - share) * float64(slice)))
			m.signalAll(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(share * float64(slice))):
			}
		}
	}()
}

// StopStarving ends Starve.
func (m *Manager) StopStarving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endStarving != nil {
		close(m.endStarving)
		m.endStarving = nil
	}
}

// Usage returns the resident memory in MB, the open descriptors and the processor time used, summed
// over all running processes.
func (m *Manager) Usage() (mb float64, descriptors int, cpu time.Duration) {
	for _, p := range m.runningProcesses() {
		memory, files, used := usage(p.cmd.Process.Pid)
		mb, descriptors, cpu = mb+memory, descriptors+files, cpu+used
	}
	return mb, descriptors, cpu
}

// usage reads the usage of one process from /proc. What cannot be read is 0.
func usage(pid int) (mb float64, descriptors int, cpu time.Duration) {
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		if m := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(text); m != nil {
			var kb float64
			fmt.Sscan(string(m[1]), &kb)
			mb = kb / 1024
		}
	}
	if l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		descriptors = len(l)
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		if _, rest, ok := strings.Cut(string(text), ") "); ok {
			if f := strings.Fields(rest); len(f) > 12 {
				var user, system int64
				fmt.Sscan(f[11], &user)
				fmt.Sscan(f[12], &system)
				cpu = time.Duration(user+system) * 10 * time.Millisecond // /proc counts in ticks of 10 ms
			}
		}
	}
	return mb, descriptors, cpu
}
