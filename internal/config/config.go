// Package config is the one place where configuration is read, checked and
// given defaults: the environment, the platform's JSON and the operator's
// file. Errors name the key at fault; those of the operator's file also the line
// and column, and all of them are told at once.
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

// Environment variables.
const (
	EnvPlatformFile = "BALANCER_CONFIG"      // path of the platform's JSON
	EnvOperatorFile = "MILLETHINGE_OPERATOR" // the operator's file; absent: operatorFile
	envName         = "BALANCER_NAME"
	envListen       = "BALANCER_LISTEN"
	envAdmin        = "BALANCER_ADMIN"
	envSharedDir    = "TMPDIR"
)

// Defaults of what the platform may leave out.
const (
	defaultMemoryMB        = 192
	defaultSockets         = 1024
	defaultDrainGrace      = time.Second
	defaultIdleConnTimeout = 15 * time.Second
	defaultConnectTimeout  = 250 * time.Millisecond
	defaultStreamsPerConn  = 32
	defaultDeadline        = 10 * time.Second
	maxWaitInDeadlines     = 4 // a viewer waits so many times its class's deadline at most
	// At a planned restart requests come for 0.6 s after SIGTERM. SIGKILL follows
	// no sooner than the longest deadline, at most 3 s, and 0.7 s more.
	drainAcceptFor      = 700 * time.Millisecond
	drainKeepMargin     = 600 * time.Millisecond // beyond the longest deadline
	maxDrainDeadline    = 3 * time.Second
	minSockets          = 64
	defaultOperatorFile = "deploy/operator.conf" // read if it is there
	platformFaultFile   = "the platform's configuration"
	viewerConnsDivisor  = 3 // viewers may hold one part in so many of the descriptors
	viewerConnsMargin   = 24
	// ownDescriptors is what the program itself holds at most: standard input, output and
	// error; the runtime's poller, 2, and its files of the control group, 2; three
	// listeners; a viewer and a player accepted before there is a place; a connection to the
	// coordinator and one to a DNS server; the mark of the process and a file of its folder;
	// and a configuration that is read again.
	ownDescriptors = 17
	// maxTransientDescriptors are for what libraries open for a moment, such as to find a host by its
	// name: of those beyond the least, one in so many.
	maxTransientDescriptors     = 7
	transientDescriptorsDivisor = 16
	operatorConnsDivisor        = 8 // of the descriptors at most, where they are few
	operatorConnsLimit          = 32
	fleetDescriptors            = 2 // sockets of the fleet's block
	// maxDuration is as long as any time is taken to be; a longer one could not be
	// reckoned with.
	maxDuration = 30 * 24 * time.Hour
)

// Config is all that the program is told.
type Config struct {
	Name        string
	Listen      string
	AdminListen string // where operators call; empty: nowhere
	SharedDir   string // a folder for what processes of this manager share; empty: there is none
	Seed        uint64
	Cores       float64
	MemoryMB    int
	Sockets     int

	Coordinator    string
	KnownNodes     directory.Updates
	DirectoryNames directory.Names
	Settings       control.Settings
	ClassNames     []string      // names by class
	TenantNames    []string      // of the platform, by number
	TimeLeftLimit  time.Duration // the longest that a viewer may say it waits
	Drain          broker.DrainTimes

	DrainGrace      time.Duration // after which nothing goes to a node that drains
	IdleConnTimeout time.Duration
	ConnectTimeout  time.Duration
	StreamsPerConn  int

	Operator Operator
}

// MaxViewerConns is how many viewers' connections are accepted at once.
// Guard: where descriptors are few, nodes have two fifths of what is left for both.
// Without a connection to a node nothing is ever served.
func (c *Config) MaxViewerConns() int {
	return min(c.Sockets/viewerConnsDivisor+viewerConnsMargin, (c.Sockets-c.reservedDescriptors())*3/5)
}

// MaxNodeConns is how many connections to media nodes may be open at once.
func (c *Config) MaxNodeConns() int { return c.Sockets - c.reservedDescriptors() - c.MaxViewerConns() }

// MaxOperatorConns is how many operators' calls are accepted at once.
func (c *Config) MaxOperatorConns() int {
	return min(operatorConnsLimit, c.Sockets/operatorConnsDivisor)
}

// reservedDescriptors is what is kept beside viewers and nodes.
func (c *Config) reservedDescriptors() int {
	n := ownDescriptors + min(max(c.Sockets-minSockets, 0)/transientDescriptorsDivisor, maxTransientDescriptors) + c.MaxOperatorConns()
	if c.Operator.Fleet != nil {
		n += fleetDescriptors
	}
	return n
}

// WithHalfSockets is the configuration of each of two processes that share the descriptors. Guard:
// half of the connections is too much, since each holds all that the program itself needs.
func (c *Config) WithHalfSockets() *Config {
	half := *c
	half.Sockets /= 2
	return &half
}

// Load reads the configuration of the environment that getenv tells.
func Load(getenv func(string) string) (Config, error) {
	return load(getenv, func(c *Config) Deployment { return c.Deployment() })
}

// LoadTraced is Load, with rules that can be explained.
func LoadTraced(getenv func(string) string) (Config, error) {
	return load(getenv, func(c *Config) Deployment {
		deployment := c.Deployment()
		deployment.Trace = true
		return deployment
	})
}

// Reload is Load for a program that runs. What rules refer to is what runs: a
// team or a class that the files have got since waits for the next start, and a
// rule that refers to it is a fault.
func Reload(getenv func(string) string, running *Config) (Config, error) {
	return load(getenv, func(*Config) Deployment { return running.RunningDeployment() })
}

// RunningDeployment is what a file that is read while the program runs may refer to.
func (c *Config) RunningDeployment() Deployment {
	deployment := c.Deployment()
	deployment.Teams, deployment.Running = c.TeamNames(), true
	return deployment
}

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

// Deployment is what the operator's file may refer to.
func (c *Config) Deployment() Deployment {
	deployment := Deployment{Name: c.Name, Teams: c.TenantNames, Zones: c.DirectoryNames.Zones}
	deployment.FleetSlots, deployment.PeakClasses = peakClassesWithoutLoad(&c.Settings)
	for i, class := range c.Settings.Classes {
		deployment.Classes = append(deployment.Classes, route.Class{Name: c.ClassNames[i], BilledSetup: class.RepeatEffect != control.Idempotent, FloorRung: class.FloorRung})
	}
	return deployment
}

// TeamNames are the names of all teams, by number: the platform's and the operator's.
func (c *Config) TeamNames() []string {
	names := slices.Clone(c.TenantNames)
	for i := range c.Operator.Teams {
		names = append(names, c.Operator.Teams[i].Name)
	}
	return names
}

// ParsePlatform reads the platform's JSON.
func ParsePlatform(text []byte) (Config, error) {
	var raw struct {
		Name   string `json:"name"`
		Listen string `json:"listen"`
		Admin  string `json:"admin"`
		Seed   string `json:"seed"`
		Limits struct {
			Cores    float64 `json:"cores"`
			MemoryMB int     `json:"memory_mb"`
			Sockets  int     `json:"sockets"`
		} `json:"limits"`
		Coordinator string          `json:"coordinator"`
		Known       json.RawMessage `json:"known"`
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
		Name: raw.Name, Listen: raw.Listen, AdminListen: raw.Admin, Coordinator: raw.Coordinator,
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
	if len(raw.Known) > 0 {
		if c.KnownNodes, err = directory.ParseUpdates(raw.Known); err != nil {
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

// Summary says in a few lines what a configuration comes to.
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

// checkClassName tells why a class can't have a name, beside those before it. Viewers name
// classes by it, and media nodes are told it in a header's line.
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

// Seconds is a number of seconds as a duration.
func Seconds(s float64) time.Duration {
	return time.Duration(min(s, maxDuration.Seconds()) * float64(time.Second))
}

func secondsOrDefault(seconds float64, fallback time.Duration) time.Duration {
	if seconds <= 0 {
		return fallback
	}
	return Seconds(seconds)
}
