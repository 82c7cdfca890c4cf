package config

import (
	"math"
	"strings"
	"time"

	"millethinge/internal/broker"
	"millethinge/internal/directive"
)

// Defaults and limits of the settings of players and teams.
const (
	defaultPlayerGrace  = 3 * time.Second
	maxPlayerGrace      = 10 * time.Minute
	defaultBudgetPeriod = time.Hour
	maxBudgetPeriod     = 366 * 24 * time.Hour
	maxOpenSetups       = 1 << 16
)

// WebSocket configures the WebSocket front.
type WebSocket struct {
	Listen string        // address that players connect to
	Path   string        // of the opening handshake
	Grace  time.Duration // how long a player that lost its connection may take to reconnect
}

func websocketBlock(l *loader) directive.Keyword {
	return directive.Keyword{Name: "websocket", Usage: "{ … }", Doc: "the session API for players over WebSocket", Apply: func(d *directive.Directive) {
		w := &WebSocket{Path: "/", Grace: defaultPlayerGrace}
		d.Block(
			directive.Keyword{Name: "listen", Usage: "HOST:PORT", Doc: "where players connect", Required: true, Apply: func(d *directive.Directive) {
				w.Listen = d.Address()
			}},
			directive.Keyword{Name: "path", Usage: "/PATH", Doc: "of the opening handshake; / if absent", Apply: func(d *directive.Directive) {
				if w.Path = d.Word("a path"); !strings.HasPrefix(w.Path, "/") && !d.HasFault() {
					d.ReportFault(1, "%q does not begin with /", w.Path)
				}
			}},
			directive.Keyword{Name: "grace", Usage: "DURATION", Doc: "how long a lost player may take to come back; 3s if absent", Apply: func(d *directive.Directive) {
				w.Grace = d.Duration("how long a player may be away", time.Millisecond, maxPlayerGrace)
			}},
		)
		l.WebSocket = w
	}}
}

// Viewers configures what both fronts allow to viewers.
type Viewers struct {
	MaxOpenSetups  int  // on one connection; 0: the fronts' default
	IncludeReasons bool // the JSON-lines front includes reasons in its answers too
}

func viewersBlock(l *loader) directive.Keyword {
	return directive.Keyword{Name: "viewers", Usage: "{ … }", Doc: "what both fronts allow", Apply: func(d *directive.Directive) {
		d.Block(
			directive.Keyword{Name: "open-per-connection", Usage: "N", Doc: "set-ups that may be open on one connection; 128 if absent", Apply: func(d *directive.Directive) {
				l.Viewers.MaxOpenSetups = d.Int("a number of set-ups", 1, maxOpenSetups)
			}},
			directive.Keyword{Name: "reasons", Usage: "on|off", Doc: "whether JSON-lines viewers are told why; off if absent", Apply: func(d *directive.Directive) {
				l.Viewers.IncludeReasons = d.OnOff()
			}},
		)
	}}
}

func teamBlock(l *loader) directive.Keyword {
	return directive.Keyword{Name: "team", Usage: "NAME { … }", Doc: "a team's contract and budget", Repeatable: true, Apply: func(d *directive.Directive) {
		team := broker.Team{Name: d.Word("a team's name"), BudgetPeriod: defaultBudgetPeriod}
		names := make([]string, len(l.Teams))
		for i := range l.Teams {
			names[i] = l.Teams[i].Name
		}
		checkUnique(d, team.Name, names)
		countKeyword := func(name, doc string, target *int) directive.Keyword {
			return directive.Keyword{Name: name, Usage: "N", Doc: doc, Apply: func(d *directive.Directive) { *target = d.Int("a number", 0, math.MaxInt32) }}
		}
		d.Block(
			directive.Keyword{Name: "classes", Usage: "CLASS…", Doc: "which the team may use; all if absent", Apply: func(d *directive.Directive) {
				team.Classes = l.readClasses(d)
			}},
			directive.Keyword{Name: "rate", Usage: "N", Doc: "sessions a second over all managers; unbounded if absent", Apply: func(d *directive.Directive) {
				team.SessionsPerS = d.Float("sessions a second", 0, 1e9)
			}},
			countKeyword("standing", "most sessions set up or playing here; unbounded if absent", &team.MaxSessions),
			directive.Keyword{Name: "period", Usage: "DURATION", Doc: "of the budget; 1h if absent", Apply: func(d *directive.Directive) {
				team.BudgetPeriod = d.Duration("a period", time.Second, maxBudgetPeriod)
			}},
			countKeyword("billed-setups", "most in a period; unbounded if absent", &team.MaxBilledSetUps),
			countKeyword("further-attempts", "most in a period; unbounded if absent", &team.MaxFurtherAttempts),
		)
		l.Teams = append(l.Teams, team)
	}}
}

// DNSSD configures DNS service discovery as a source of the list of media nodes.
type DNSSD struct {
	Server  string // address of the DNS server
	Service string // service name, such as _rtsp._tcp.media.example
}

func dnssdBlock(l *loader) directive.Keyword {
	return directive.Keyword{Name: "dns-sd", Usage: "{ … }", Doc: "media nodes from DNS service discovery", Apply: func(d *directive.Directive) {
		s := new(DNSSD)
		d.Block(
			directive.Keyword{Name: "server", Usage: "HOST:PORT", Doc: "the DNS server to ask", Required: true, Apply: func(d *directive.Directive) {
				s.Server = d.Address()
			}},
			directive.Keyword{Name: "service", Usage: "NAME", Doc: "such as _rtsp._tcp.media.example", Required: true, Apply: func(d *directive.Directive) {
				if s.Service = d.Word("a service's name"); s.Service == "" && !d.HasFault() {
					d.ReportFault(1, "the name is empty")
				}
			}},
		)
		l.DNSSD = s
	}}
}
