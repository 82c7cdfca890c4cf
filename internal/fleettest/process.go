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

// Build builds the program as deploy/balancer.toml says, into a folder, and returns
// the path of the session manager. root is the repository's folder; flags go to go
// build beside those of the deploy file.
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

// Manager is one manager: a process of the program that may be ended and started
// again under its name, or replaced by a second one while it runs.
type Manager struct {
	Name             string
	Binary           string
	Dir              string         // for its files, its home and its $TMPDIR; kept over all its starts
	Config           map[string]any // of the platform, but for what changes with a start
	OperatorConfig   string         // text of an operator's file, or empty
	LogLevel         string         // least level of its log
	Env              []string       // beside what the platform sets
	KnownUpdates     func() listUpdates
	NewAdminAddr     func() (string, error) // a free address for operators' calls; nil: none is given
	Record           *Record
	OnUnexpectedExit func(error) // told of an end that nobody asked for

	mu          sync.Mutex
	processes   []*process // that run, the newest last
	logLines    []string
	changed     chan struct{}
	endStarving chan struct{}
	starts      int
}

// process is one process of the program.
type process struct {
	number        int // of the manager's starts
	cmd           *exec.Cmd
	viewerAddr    string // where it listens for viewers; empty: not yet
	adminAddr     string
	exited        chan struct{}
	stopRequested bool // its end is wanted
	ready         bool // it has said that it can serve
}

// Start starts it and waits until it serves.
func (p *Manager) Start() error {
	if p.newest() != nil {
		return fmt.Errorf("fleettest: %s runs already", p.Name)
	}
	b, err := p.launch()
	if err != nil {
		return err
	}
	return p.awaitReady(b, func() bool {
		p.mu.Lock()
		served := b.viewerAddr != ""
		p.mu.Unlock()
		return served && b.reportsReady()
	}, func() { p.Record.Add(Event{Kind: Running, Manager: p.Name}) })
}

// awaitReady waits until a body is ready, or has ended.
func (p *Manager) awaitReady(b *process, ready func() bool, then func()) error {
	deadline := time.After(patience)
	for {
		p.mu.Lock()
		changed := p.changed
		p.mu.Unlock()
		if ready() {
			p.mu.Lock()
			b.ready = true
			p.mu.Unlock()
			then()
			return nil
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		case <-b.exited:
			return fmt.Errorf("fleettest: %s ended at its start:\n%s", p.Name, p.LogTail(20))
		case <-deadline:
			return fmt.Errorf("fleettest: %s does not serve after %v:\n%s", p.Name, patience, p.LogTail(20))
		}
	}
}

// launch starts a process as the platform does, beside what runs.
func (p *Manager) launch() (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	p.starts++
	b := &process{number: p.starts, exited: make(chan struct{})}
	if len(p.processes) == 0 { // else all is the same but for the second address
		p.Config["seed"] = fmt.Sprintf("%x", 0x5eed0000+p.starts*256+len(p.Name)+int(p.Name[len(p.Name)-1]))
	}
	if p.NewAdminAddr != nil {
		var err error
		if b.adminAddr, err = p.NewAdminAddr(); err != nil {
			return nil, err
		}
		p.Config["admin"] = b.adminAddr
	}
	p.Config["known"] = p.KnownUpdates()
	text, err := json.Marshal(p.Config)
	if err != nil {
		return nil, err
	}
	config := filepath.Join(p.Dir, fmt.Sprintf("config-%d.json", b.number))
	env := append(p.Env, "BALANCER_CONFIG="+config, "HOME="+p.Dir, "TMPDIR="+p.Dir)
	err = os.WriteFile(config, text, 0o600)
	if err == nil && p.OperatorConfig != "" {
		env = append(env, "MILLETHINGE_OPERATOR="+filepath.Join(p.Dir, "operator.conf"))
		err = os.WriteFile(filepath.Join(p.Dir, "operator.conf"), []byte(p.OperatorConfig), 0o600)
	}
	if err != nil {
		return nil, err
	}
	b.cmd = exec.Command(p.Binary, "serve", "--log-level", cmp.Or(p.LogLevel, "info"))
	b.cmd.Dir, b.cmd.Env = p.Dir, env
	// Whatever becomes of the test, no manager outlives it.
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := b.cmd.StderrPipe()
	if err == nil {
		err = b.cmd.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("fleettest: %s: %w", p.Name, err)
	}
	p.processes = append(p.processes, b)
	go p.readLog(b, out)
	return b, nil
}

// readLog reads its log until it ends.
func (p *Manager) readLog(b *process, out io.Reader) {
	in := bufio.NewScanner(out)
	in.Buffer(make([]byte, 64<<10), 1<<20)
	// Nothing reads this file: it is for whoever keeps the folder.
	file, _ := os.Create(filepath.Join(p.Dir, fmt.Sprintf("log-%d.json", b.number)))
	defer file.Close()
	for in.Scan() {
		line := in.Text()
		fmt.Fprintln(file, line)
		var l struct{ Msg, Listen string }
		json.Unmarshal([]byte(line), &l) // a panic is no JSON
		p.mu.Lock()
		p.logLines = append(p.logLines, line)
		if l.Msg == "serving" {
			b.viewerAddr = l.Listen
		}
		p.notifyChanged()
		p.mu.Unlock()
	}
	err := b.cmd.Wait()
	p.mu.Lock()
	asked := b.stopRequested
	p.processes = slices.DeleteFunc(p.processes, func(o *process) bool { return o == b })
	e := Event{Kind: Replaced, Manager: p.Name, Process: b.number, Text: fmt.Sprint("ended: ", err)}
	if len(p.processes) == 0 {
		e.Kind = Stopped
	}
	p.notifyChanged()
	p.mu.Unlock()
	p.Record.Add(e)
	close(b.exited)
	if !asked && p.OnUnexpectedExit != nil {
		p.OnUnexpectedExit(fmt.Errorf("%s ended by itself: %v\n%s", p.Name, err, p.LogTail(30)))
	}
}

// notifyChanged is called with the lock held.
func (p *Manager) notifyChanged() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// StartSuccessor starts a second process beside the one that runs, and waits until it says at
// its admin address that it is ready. With kill "old" or "new" that one is killed so
// long after the start, ready or not.
func (p *Manager) StartSuccessor(kill string, after time.Duration) error {
	old := p.newest()
	if old == nil {
		return fmt.Errorf("fleettest: %s doesn't run", p.Name)
	}
	p.Record.Add(Event{Kind: Renewing, Manager: p.Name})
	b, err := p.launch()
	if err != nil {
		return err
	}
	if kill != "" {
		time.Sleep(after)
		doomed := old
		if kill == "new" {
			doomed = b
		} else {
			// What it had taken is lost with it; the other one runs, or soon does.
			p.Record.Add(Event{Kind: Stopped, Manager: p.Name, Text: "killed beside its successor"})
		}
		p.signalStop(doomed, syscall.SIGKILL)
		<-doomed.exited
		if kill == "new" {
			return nil
		}
	}
	return p.awaitReady(b, b.reportsReady, func() {
		p.Record.Add(Event{Kind: Renewed, Manager: p.Name, Process: b.number})
		if kill == "old" {
			p.Record.Add(Event{Kind: Running, Manager: p.Name, Text: "its successor"})
		}
	})
}

// StopPredecessors has all processes but the newest end: SIGTERM, and SIGKILL after grace.
func (p *Manager) StopPredecessors(grace time.Duration) {
	bodies := p.runningProcesses()
	for _, b := range bodies[:max(len(bodies)-1, 0)] {
		p.signalStop(b, syscall.SIGTERM)
		select {
		case <-b.exited:
		case <-time.After(grace):
			p.signalStop(b, syscall.SIGKILL)
			<-b.exited
		}
	}
}

// reportsReady asks a body whether it can serve; one without an address for calls serves
// once its log says so.
func (b *process) reportsReady() bool {
	if b.adminAddr == "" {
		return true
	}
	status, _, _ := callAdmin(b.adminAddr, "GET", "/ready")
	return status/100 == 2
}

// adminProcess is the process that operators call: the newest that is ready.
func (p *Manager) adminProcess() (c *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.processes {
		if b.ready {
			c = b
		}
	}
	return c
}

// metricsProcesses are the processes whose figures are fetched, and whether they need answer:
// not one that was asked to end.
func (p *Manager) metricsProcesses() map[*process]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := map[*process]bool{}
	for _, b := range p.processes {
		if b.ready {
			l[b] = !b.stopRequested
		}
	}
	return l
}

// signalStop sends a signal to a body whose end is wanted.
func (p *Manager) signalStop(b *process, s syscall.Signal) {
	p.mu.Lock()
	b.stopRequested = true
	p.mu.Unlock()
	b.cmd.Process.Signal(syscall.SIGCONT)
	b.cmd.Process.Signal(s) // one that is gone needs none
}

func (p *Manager) runningProcesses() []*process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.processes)
}

func (p *Manager) newest() *process {
	if l := p.runningProcesses(); len(l) > 0 {
		return l[len(l)-1]
	}
	return nil
}

// Addr is where it listens; empty while it doesn't run. Two processes listen at the
// same address.
func (p *Manager) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.processes {
		if b.viewerAddr != "" {
			return b.viewerAddr
		}
	}
	return ""
}

// PID is the newest's process id, or 0.
func (p *Manager) PID() int {
	if b := p.newest(); b != nil {
		return b.cmd.Process.Pid
	}
	return 0
}

// LogTail is the end of its log.
func (p *Manager) LogTail(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.logLines[max(0, len(p.logLines)-n):], "\n")
}

// Log is all that it has logged, over all its starts.
func (p *Manager) Log() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.logLines...)
}

func (p *Manager) signalAll(s syscall.Signal) error {
	l := p.runningProcesses()
	if len(l) == 0 {
		return fmt.Errorf("fleettest: %s doesn't run", p.Name)
	}
	var err error
	for _, b := range l {
		err = cmp.Or(err, b.cmd.Process.Signal(s))
	}
	return err
}

// Kill ends it at once and waits until it is gone.
func (p *Manager) Kill() error { return p.stopAll(syscall.SIGKILL) }

// Terminate asks it to end, and waits until it has.
func (p *Manager) Terminate() error { return p.stopAll(syscall.SIGTERM) }

func (p *Manager) stopAll(s syscall.Signal) error {
	l := p.runningProcesses()
	if len(l) == 0 {
		return nil
	}
	if s == syscall.SIGTERM {
		p.Record.Add(Event{Kind: Ending, Manager: p.Name})
	}
	if s == syscall.SIGKILL {
		p.Record.Add(Event{Kind: Stopped, Manager: p.Name, Text: "killed"})
	}
	for _, b := range l {
		p.signalStop(b, s)
	}
	late := time.After(patience)
	for _, b := range l {
		select {
		case <-b.exited:
		case <-late:
			b.cmd.Process.Kill()
			<-b.exited
			return fmt.Errorf("fleettest: %s has not ended %v after %v", p.Name, patience, s)
		}
	}
	return nil
}

// Pause stops it as it stands: it hears nothing and its clock goes on.
func (p *Manager) Pause() error {
	p.Record.Add(Event{Kind: Stopped, Manager: p.Name, Text: "paused"})
	return p.signalAll(syscall.SIGSTOP)
}

// Resume lets it go on, as if no time had passed.
func (p *Manager) Resume() error {
	err := p.signalAll(syscall.SIGCONT)
	p.Record.Add(Event{Kind: Running, Manager: p.Name, Text: "resumed"})
	return err
}

// Starve leaves it a share of the time, in slices of 20 ms, until Feed.
func (p *Manager) Starve(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endStarving != nil {
		return
	}
	stop := make(chan struct{})
	p.endStarving = stop
	go func() {
		const slice = 20 * time.Millisecond
		for {
			p.signalAll(syscall.SIGSTOP)
			time.Sleep(time.Duration((1 - share) * float64(slice)))
			p.signalAll(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(share * float64(slice))):
			}
		}
	}()
}

// StopStarving ends Starve.
func (p *Manager) StopStarving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endStarving != nil {
		close(p.endStarving)
		p.endStarving = nil
	}
}

// Usage is its memory in MB, its open descriptors and the processor time it has
// used, of all its processes.
func (p *Manager) Usage() (mb float64, descriptors int, cpu time.Duration) {
	for _, b := range p.runningProcesses() {
		m, d, c := usage(b.cmd.Process.Pid)
		mb, descriptors, cpu = mb+m, descriptors+d, cpu+c
	}
	return mb, descriptors, cpu
}

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
				cpu = time.Duration(user+system) * 10 * time.Millisecond
			}
		}
	}
	return mb, descriptors, cpu
}
