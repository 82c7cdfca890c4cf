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
	envTemp         = "TMPDIR"
)

// Defaults of what the platform may leave out.
const (
	defaultMemoryMB   = 192
	defaultSockets    = 1024
	defaultDrainGrace = time.Second
	defaultConnIdle   = 15 * time.Second
	defaultConnect    = 250 * time.Millisecond
	defaultPerConn    = 32
	defaultGiveUp     = 10 * time.Second
	leftTimes         = 4 // a viewer waits so many times its class's deadline at most
	// At a planned restart requests come for 0.6 s after SIGTERM. SIGKILL follows
	// no sooner than the longest deadline, at most 3 s, and 0.7 s more.
	drainTake          = 700 * time.Millisecond
	drainStay          = 600 * time.Millisecond // beyond the longest deadline
	drainMostGiveUp    = 3 * time.Second
	leastSockets       = 64
	operatorFile       = "deploy/operator.conf" // read if it is there
	platformFile       = "the platform's configuration"
	viewersPart        = 3 // viewers may hold one part in so many of the descriptors
	descriptorsForSelf = 24
	// ownDescriptors is what the program itself holds at most: standard input, output and
	// error; the runtime's poller, 2, and its files of the control group, 2; three
	// listeners; a viewer and a player accepted before there is a place; a connection to the
	// coordinator and one to a DNS server; the mark of the process and a file of its folder;
	// and a configuration that is read again.
	ownDescriptors = 17
	// mostMoments are for what libraries open for a moment, such as to find a host by its
	// name: of those beyond the least, one in so many.
	mostMoments      = 7
	momentsPart      = 16
	callersPart      = 8 // of the descriptors at most, where they are few
	mostCallers      = 32
	fleetDescriptors = 2 // sockets of the fleet's block
	// mostTime is as long as any time is taken to be; a longer one could not be
	// reckoned with.
	mostTime = 30 * 24 * time.Hour
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
	return min(c.Sockets/viewersPart+descriptorsForSelf, (c.Sockets-c.rest())*3/5)
}

// MaxNodeConns is how many connections to media nodes may be open at once.
func (c *Config) MaxNodeConns() int { return c.Sockets - c.rest() - c.MaxViewerConns() }

// MaxOperatorConns is how many operators' calls are accepted at once.
func (c *Config) MaxOperatorConns() int { return min(mostCallers, c.Sockets/callersPart) }

// rest is what is kept beside viewers and nodes.
func (c *Config) rest() int {
	n := ownDescriptors + min(max(c.Sockets-leastSockets, 0)/momentsPart, mostMoments) + c.MaxOperatorConns()
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
		on := c.Deployment()
		on.Trace = true
		return on
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
	on := c.Deployment()
	on.Teams, on.Running = c.TeamNames(), true
	return on
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
	c.SharedDir = getenv(envTemp)
	path, given := getenv(EnvOperatorFile), true
	if path == "" {
		path, given = operatorFile, false
	}
	text, err = readBounded(path)
	if os.IsNotExist(err) && !given {
		return c, nil
	}
	if err != nil {
		return c, &KeyFault{Key: EnvOperatorFile, Err: err}
	}
	c.Operator, err = ParseOperator(path, text, readBounded, deployment(&c))
	return c, err
}

// Deployment is what the operator's file may refer to.
func (c *Config) Deployment() Deployment {
	on := Deployment{Name: c.Name, Teams: c.TenantNames, Zones: c.DirectoryNames.Zones}
	on.FleetSlots, on.PeakClasses = planned(&c.Settings)
	for i, k := range c.Settings.Classes {
		on.Classes = append(on.Classes, route.Class{Name: c.ClassNames[i], Paid: k.RepeatEffect != control.Idempotent, Floor: k.FloorRung})
	}
	return on
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
	fault := func(key string, err error) {
		faults = append(faults, &KeyFault{platformFile, key, err})
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Config{}, fmt.Errorf("%s: %w", platformFile, err)
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
	if c.Sockets < leastSockets {
		fault("limits.sockets", fmt.Errorf("%d is too few; %d are needed at least", c.Sockets, leastSockets))
	}
	var err error
	if raw.Seed != "" {
		if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
			fault("seed", err)
		}
	}
	if len(raw.Known) > 0 {
		if c.KnownNodes, err = directory.ParseUpdates(raw.Known); err != nil {
			fault("known", err)
		}
	}
	if c.Coordinator != "" {
		if _, _, err := net.SplitHostPort(c.Coordinator); err != nil {
			fault("coordinator", err)
		}
	}
	if len(raw.Settings) == 0 {
		fault("settings", fmt.Errorf("missing"))
		return Config{}, errors.Join(faults...)
	}
	p, err := parseParams(raw.Settings)
	if err != nil {
		fault("settings", err)
		return Config{}, errors.Join(faults...)
	}
	if c.Settings, err = p.settings(); err != nil {
		fault("settings", err)
	}
	if err := p.check(); err != nil {
		fault("settings", err)
	}
	c.DirectoryNames = directory.Names{Zones: p.Zones, Kinds: p.Kinds}
	for i, l := range p.Lanes {
		if err := className(l.Name, c.ClassNames); err != nil {
			fault(fmt.Sprintf("settings.lanes[%d].name", i), err)
		}
		c.ClassNames = append(c.ClassNames, l.Name)
		giveUp := orDefault(l.GiveUp, defaultGiveUp)
		c.TimeLeftLimit = max(c.TimeLeftLimit, leftTimes*giveUp)
		c.Drain.KeepFor = max(c.Drain.KeepFor, min(giveUp, drainMostGiveUp)+drainStay)
	}
	c.Drain.AcceptFor = min(drainTake, c.Drain.KeepFor)
	for _, t := range p.Projects {
		c.TenantNames = append(c.TenantNames, t.Name)
	}
	c.DrainGrace = orDefault(p.Rules.DrainGraceS, defaultDrainGrace)
	c.IdleConnTimeout = orDefault(p.Limits.ConnIdleS, defaultConnIdle)
	c.ConnectTimeout = orDefault(p.Limits.ConnectS, defaultConnect)
	c.StreamsPerConn = p.Limits.PerConn
	if c.StreamsPerConn <= 0 {
		c.StreamsPerConn = defaultPerConn
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
	o := &c.Operator
	if !o.Present {
		b.WriteString("\nno operator's file")
		return b.String()
	}
	if w := o.WebSocket; w != nil {
		fmt.Fprintf(&b, "\nwebsocket on %s%s, grace %v", w.Listen, w.Path, w.Grace)
	}
	if len(o.Teams) > 0 {
		fmt.Fprintf(&b, "\n%d teams", len(o.Teams))
	}
	if r := o.Routes; r != nil {
		fmt.Fprintf(&b, "\n%d rules, at most %d steps a request", len(r.Rules()), r.Bound())
	}
	if len(o.Peaks) > 0 {
		fmt.Fprintf(&b, "\n%d announced peaks", len(o.Peaks))
	}
	if len(o.Sites) > 0 {
		fmt.Fprintf(&b, "\n%d sites", len(o.Sites))
	}
	if f := o.Fleet; f != nil {
		b.WriteString("\n" + f.summary())
	}
	if d := o.DNSSD; d != nil {
		fmt.Fprintf(&b, "\ndns-sd %s at %s", d.Service, d.Server)
	}
	return b.String()
}

// className tells why a class can't have a name, beside those before it. Viewers name
// classes by it, and media nodes are told it in a header's line.
func className(name string, used []string) error {
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
	return time.Duration(min(s, mostTime.Seconds()) * float64(time.Second))
}

func orDefault(s float64, d time.Duration) time.Duration {
	if s <= 0 {
		return d
	}
	return Seconds(s)
}
