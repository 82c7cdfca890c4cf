// Package config reads and checks the whole configuration of the program and fills in
// its defaults: the environment, the platform's JSON and the operator's file. Errors
// name the key at fault; those of the operator's file also give the line and column.
// All faults found in a file are reported together.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/directory"
	"millethinge/internal/route"
)

// Environment variables that the configuration is read from.
const (
	EnvPlatformFile = "BALANCER_CONFIG"      // path of the platform's JSON; required
	EnvOperatorFile = "MILLETHINGE_OPERATOR" // path of the operator's file; unset: defaultOperatorFile
	envName         = "BALANCER_NAME"
	envListen       = "BALANCER_LISTEN"
	envAdmin        = "BALANCER_ADMIN"
	envSharedDir    = "TMPDIR"
)

// Defaults and limits of the platform's settings.
const (
	defaultMemoryMB        = 192
	defaultSockets         = 1024
	defaultDrainGrace      = time.Second
	defaultIdleConnTimeout = 15 * time.Second
	defaultConnectTimeout  = 250 * time.Millisecond
	defaultStreamsPerConn  = 32
	defaultDeadline        = 10 * time.Second
	maxWaitInDeadlines     = 4 // a viewer may say that it still waits for at most so many deadlines of a class
	// At a planned restart, requests arrive for up to 0.6 s after SIGTERM. SIGKILL
	// follows no sooner than 0.7 s after the longest deadline, of which no more than 3 s
	// count.
	drainAcceptFor      = 700 * time.Millisecond
	drainKeepMargin     = 600 * time.Millisecond // added to the longest deadline
	maxDrainDeadline    = 3 * time.Second        // the most of a deadline that a drain waits for
	minSockets          = 64
	defaultOperatorFile = "deploy/operator.conf"         // read if it exists
	platformFaultFile   = "the platform's configuration" // in place of a file name in faults
	viewerConnsDivisor  = 3                              // 1/3 of the descriptors are for viewers
	viewerConnsMargin   = 24                             // viewers' connections beyond that third, for those that are about to close
	// ownDescriptors is the most that the program itself holds: standard input, output and
	// error; 2 of the Go runtime's network poller and 2 control group files that the runtime
	// keeps open; three listeners; a viewer's and a player's connection accepted before a
	// slot is free; two connections to the coordinator, one of them with an overdue
	// response, and one to a DNS server; the file that marks the process and another in its
	// handover folder; and a configuration file while it is reloaded.
	ownDescriptors = 18
	// Descriptors for what libraries open for a short time, such as to look up a host
	// name: one in transientDescriptorsDivisor of those beyond minSockets, and at most
	// maxTransientDescriptors.
	maxTransientDescriptors     = 7
	transientDescriptorsDivisor = 16
	operatorConnsDivisor        = 8  // at most 1/8 of the descriptors are for operators' calls, where they are few
	operatorConnsLimit          = 32 // operators' calls at the same time, where there are enough descriptors
	fleetDescriptors            = 2  // the fleet's sockets, TCP and UDP
	// maxDuration is what any longer time in the settings is reduced to: a time that
	// stands for "never" must not overflow where it is multiplied.
	maxDuration = 30 * 24 * time.Hour
)

// Config is the whole configuration of the program.
type Config struct {
	Name        string
	Listen      string // address that viewers connect to
	AdminListen string // address for operators' calls; empty: none
	SharedDir   string // directory for files that processes of this manager share; empty: none
	Seed        uint64 // of the random numbers
	Cores       float64
	MemoryMB    int
	Sockets     int // limit on open file descriptors

	Coordinator    string            // address of the coordinator; empty: none
	KnownNodes     directory.Updates // initial list of media nodes
	KnownTime      time.Time         // when the file with KnownNodes was written; zero: unknown
	DirectoryNames directory.Names   // names of zones and machine kinds in the list
	Settings       control.Settings
	ClassNames     []string      // by class
	TenantNames    []string      // by number; the platform's tenants only
	TimeLeftLimit  time.Duration // the most that a viewer may state as the time it still waits
	Drain          broker.DrainTimes

	DrainGrace      time.Duration // from when a node drains until nothing more is sent to it
	IdleConnTimeout time.Duration
	ConnectTimeout  time.Duration
	StreamsPerConn  int // streams that may share a connection to a media node

	Operator Operator
}

// MaxViewerConns returns how many viewers' connections are accepted at the same time.
//
// Guard: where descriptors are few, nodes keep two fifths of those left for viewers and
// nodes. Without a connection to a node nothing is ever served.
func (c *Config) MaxViewerConns() int {
	return min(c.Sockets/viewerConnsDivisor+viewerConnsMargin, (c.Sockets-c.reservedDescriptors())*3/5)
}

// MaxNodeConns returns how many connections to media nodes may be open at the same time.
func (c *Config) MaxNodeConns() int { return c.Sockets - c.reservedDescriptors() - c.MaxViewerConns() }

// MaxOperatorConns returns how many operators' calls are accepted at the same time.
func (c *Config) MaxOperatorConns() int {
	return min(operatorConnsLimit, c.Sockets/operatorConnsDivisor)
}

// reservedDescriptors returns the number of descriptors that neither viewers nor nodes
// may use.
func (c *Config) reservedDescriptors() int {
	n := ownDescriptors + min(max(c.Sockets-minSockets, 0)/transientDescriptorsDivisor, maxTransientDescriptors) + c.MaxOperatorConns()
	if c.Operator.Fleet != nil {
		n += fleetDescriptors
	}
	return n
}

// WithHalfSockets returns the configuration of each of two processes that share the
// descriptors.
//
// Guard: the descriptors are halved, not the limits on connections. Half of those limits
// would be too many, since each process also holds all descriptors that the program
// itself needs.
func (c *Config) WithHalfSockets() *Config {
	half := *c
	half.Sockets /= 2
	return &half
}

// Load reads the configuration that the environment variables name.
func Load(getenv func(string) string) (Config, error) {
	return load(getenv, func(c *Config) Deployment { return c.Deployment() })
}

// LoadTraced is like Load, but compiles the rules so that their evaluation can be
// explained.
func LoadTraced(getenv func(string) string) (Config, error) {
	return load(getenv, func(c *Config) Deployment {
		deployment := c.Deployment()
		deployment.Trace = true
		return deployment
	})
}

// Reload is like Load for a running program. Rules may refer only to the teams and
// classes that the program runs with: one added to the files since then takes effect at
// the next start, and a rule that refers to it is a fault.
func Reload(getenv func(string) string, running *Config) (Config, error) {
	return load(getenv, func(*Config) Deployment { return running.RunningDeployment() })
}

// RunningDeployment returns what an operator's file may refer to when it is read while
// the program runs.
func (c *Config) RunningDeployment() Deployment {
	deployment := c.Deployment()
	deployment.Teams, deployment.Running = c.TeamNames(), true
	return deployment
}

// load reads the configuration. deployment returns what the operator's file may refer to,
// given the platform's settings.
func load(getenv func(string) string, deployment func(*Config) Deployment) (Config, error) {
	var c Config
	path := getenv(EnvPlatformFile)
	if path == "" {
		return c, &KeyFault{Key: EnvPlatformFile, Err: errors.New("not set")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, &KeyFault{Key: EnvPlatformFile, Err: err}
	}
	if c, err = ParsePlatform(text); err != nil {
		return c, err
	}
	if info, err := os.Stat(path); err == nil {
		c.KnownTime = info.ModTime()
	}
	if name := getenv(envName); name != "" {
		c.Name = name
	}
	if listen := getenv(envListen); listen != "" {
		c.Listen = listen
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return c, &KeyFault{Key: "listen (or " + envListen + ")", Err: err}
	}
	if admin := getenv(envAdmin); admin != "" {
		c.AdminListen = admin
	}
	if c.AdminListen != "" {
		if _, _, err := net.SplitHostPort(c.AdminListen); err != nil {
			return c, &KeyFault{Key: "admin (or " + envAdmin + ")", Err: err}
		}
	}
	c.SharedDir = getenv(envSharedDir)
	path, explicit := getenv(EnvOperatorFile), true
	if path == "" {
		path, explicit = defaultOperatorFile, false
	}
	text, err = readFileBounded(path)
	if os.IsNotExist(err) && !explicit {
		return c, nil
	}
	if err != nil {
		return c, &KeyFault{Key: EnvOperatorFile, Err: err}
	}
	c.Operator, err = ParseOperator(path, text, readFileBounded, deployment(&c))
	return c, err
}

// Deployment returns what the operator's file may refer to at the start.
func (c *Config) Deployment() Deployment {
	deployment := Deployment{Name: c.Name, Teams: c.TenantNames, Zones: c.DirectoryNames.Zones}
	deployment.FleetSlots, deployment.PeakClasses = peakClassesWithoutLoad(&c.Settings)
	for i, class := range c.Settings.Classes {
		deployment.Classes = append(deployment.Classes, route.Class{Name: c.ClassNames[i], BilledSetup: class.RepeatEffect != control.Idempotent, FloorRung: class.FloorRung})
	}
	return deployment
}

// TeamNames returns the names of all teams by number: first the platform's tenants, then
// the operator's teams.
func (c *Config) TeamNames() []string {
	names := slices.Clone(c.TenantNames)
	for i := range c.Operator.Teams {
		names = append(names, c.Operator.Teams[i].Name)
	}
	return names
}

// ParsePlatform reads and checks the platform's JSON. Its error joins all faults found.
func ParsePlatform(text []byte) (Config, error) {
	var raw struct {
		Name        string `json:"name"`
		Listen      string `json:"listen"`
		AdminListen string `json:"admin"`
		Seed        string `json:"seed"`
		Limits      struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Coordinator string          `json:"coordinator"`
		KnownNodes  json.RawMessage `json:"known"`
		Settings    json.RawMessage `json:"settings"`
	}
	var faults []error
	reportFault := func(key string, err error) {
		faults = append(faults, &KeyFault{platformFaultFile, key, err})
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, fmt.Errorf("%s: %w", platformFaultFile, err)
	}
	c := Config{
		Name: raw.Name, Listen: raw.Listen, AdminListen: raw.AdminListen, Coordinator: raw.Coordinator,
		Cores: raw.Limits.Cores, MemoryMB: raw.Limits.MemoryMB, Sockets: raw.Limits.Sockets,
	}
	if c.Cores <= 0 {
		c.Cores = 1
	}
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets == 0 {
		c.Sockets = defaultSockets
	}
	if c.Sockets < minSockets {
		reportFault("limits.sockets", fmt.Errorf("%d is too few; %d are needed at least", c.Sockets, minSockets))
	}
	var err error
	if raw.Seed != "" {
		if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
			reportFault("seed", err)
		}
	}
	if len(raw.KnownNodes) > 0 {
		if c.KnownNodes, err = directory.ParseUpdates(raw.KnownNodes); err != nil {
			reportFault("known", err)
		}
	}
	if c.Coordinator != "" {
		if _, _, err := net.SplitHostPort(c.Coordinator); err != nil {
			reportFault("coordinator", err)
		}
	}
	if len(raw.Settings) == 0 {
		reportFault("settings", fmt.Errorf("missing"))
		return Config{}, errors.Join(faults...)
	}
	platform, err := parseParams(raw.Settings)
	if err != nil {
		reportFault("settings", err)
		return Config{}, errors.Join(faults...)
	}
	if c.Settings, err = platform.settings(); err != nil {
		reportFault("settings", err)
	}
	if err := platform.check(); err != nil {
		reportFault("settings", err)
	}
	c.DirectoryNames = directory.Names{Zones: platform.Zones, MachineKinds: platform.MachineKinds}
	for i, class := range platform.Classes {
		if err := checkClassName(class.Name, c.ClassNames); err != nil {
			reportFault(fmt.Sprintf("settings.lanes[%d].name", i), err)
		}
		c.ClassNames = append(c.ClassNames, class.Name)
		deadline := secondsOrDefault(class.DeadlineS, defaultDeadline)
		c.TimeLeftLimit = max(c.TimeLeftLimit, maxWaitInDeadlines*deadline)
		c.Drain.KeepFor = max(c.Drain.KeepFor, min(deadline, maxDrainDeadline)+drainKeepMargin)
	}
	c.Drain.AcceptFor = min(drainAcceptFor, c.Drain.KeepFor)
	for _, tenant := range platform.Tenants {
		c.TenantNames = append(c.TenantNames, tenant.Name)
	}
	c.DrainGrace = secondsOrDefault(platform.Obligations.DrainGraceS, defaultDrainGrace)
	c.IdleConnTimeout = secondsOrDefault(platform.Limits.IdleConnTimeoutS, defaultIdleConnTimeout)
	c.ConnectTimeout = secondsOrDefault(platform.Limits.ConnectTimeoutS, defaultConnectTimeout)
	c.StreamsPerConn = platform.Limits.StreamsPerConn
	if c.StreamsPerConn <= 0 {
		c.StreamsPerConn = defaultStreamsPerConn
	}
	if len(faults) > 0 {
		return Config{}, errors.Join(faults...)
	}
	return c, nil
}

// Summary returns a description of the configuration in a few lines.
func (c *Config) Summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s on %s: classes %s; %d viewers' and %d nodes' connections; %d MB",
		c.Name, c.Listen, strings.Join(c.ClassNames, ", "), c.MaxViewerConns(), c.MaxNodeConns(), c.MemoryMB)
	operator := &c.Operator
	if !operator.Present {
		b.WriteString("\nno operator's file")
		return b.String()
	}
	if w := operator.WebSocket; w != nil {
		fmt.Fprintf(&b, "\nwebsocket on %s%s, grace %v", w.Listen, w.Path, w.Grace)
	}
	if len(operator.Teams) > 0 {
		fmt.Fprintf(&b, "\n%d teams", len(operator.Teams))
	}
	if r := operator.Routes; r != nil {
		fmt.Fprintf(&b, "\n%d rules, at most %d steps a request", len(r.RuleNames()), r.MaxCost())
	}
	if len(operator.Peaks) > 0 {
		fmt.Fprintf(&b, "\n%d announced peaks", len(operator.Peaks))
	}
	if len(operator.Sites) > 0 {
		fmt.Fprintf(&b, "\n%d sites", len(operator.Sites))
	}
	if f := operator.Fleet; f != nil {
		b.WriteString("\n" + f.summary())
	}
	if d := operator.DNSSD; d != nil {
		fmt.Fprintf(&b, "\ndns-sd %s at %s", d.Service, d.Server)
	}
	return b.String()
}

// checkClassName returns an error if name can't be the name of a class, also because an
// earlier class uses it. Viewers refer to a class by its name, and requests to media nodes
// carry it in a header line.
func checkClassName(name string, used []string) error {
	switch {
	case name == "":
		return errors.New("missing")
	case strings.TrimSpace(name) != name || strings.ContainsFunc(name, unicode.IsControl):
		return fmt.Errorf("%q has what no header can carry", name)
	case slices.Contains(used, name):
		return fmt.Errorf("%q is used twice", name)
	}
	return nil
}

// Seconds returns a number of seconds as a duration of at most maxDuration.
func Seconds(s float64) time.Duration {
	return time.Duration(min(s, maxDuration.Seconds()) * float64(time.Second))
}

// secondsOrDefault returns a number of seconds as a duration, or fallback if it is not
// positive.
func secondsOrDefault(seconds float64, fallback time.Duration) time.Duration {
	if seconds <= 0 {
		return fallback
	}
	return Seconds(seconds)
}
