package config

import (
	"math"
	"strings"
	"time"

	"millethinge/internal/broker"
	"millethinge/internal/conf"
)

const (
	defaultPlayerGrace  = 3 * time.Second
	maxPlayerGrace      = 10 * time.Minute
	defaultBudgetPeriod = time.Hour
	maxBudgetPeriod     = 366 * 24 * time.Hour
	maxOpenSetups       = 1 << 16
)

// WebSocket is the second front.
type WebSocket struct {
	Listen string
	Path   string
	Grace  time.Duration // for a player whose socket is lost to come back
}

func websocketBlock(l *loader) conf.Keyword {
	return conf.Keyword{Name: "websocket", Usage: "{ … }", Doc: "the session API for players over WebSocket", Apply: func(d *conf.Directive) {
		w := &WebSocket{Path: "/", Grace: defaultPlayerGrace}
		d.Block(
			conf.Keyword{Name: "listen", Usage: "HOST:PORT", Doc: "where players connect", Required: true, Apply: func(d *conf.Directive) {
				w.Listen = d.Address()
			}},
			conf.Keyword{Name: "path", Usage: "/PATH", Doc: "of the opening handshake; / if absent", Apply: func(d *conf.Directive) {
				if w.Path = d.Word("a path"); !strings.HasPrefix(w.Path, "/") && !d.HasFault() {
					d.ReportFault(1, "%q does not begin with /", w.Path)
				}
			}},
			conf.Keyword{Name: "grace", Usage: "DURATION", Doc: "how long a lost player may take to come back; 3s if absent", Apply: func(d *conf.Directive) {
				w.Grace = d.Duration("how long a player may be away", time.Millisecond, maxPlayerGrace)
			}},
		)
		l.WebSocket = w
	}}
}

// Viewers is what both fronts allow.
type Viewers struct {
	MaxOpenSetups  int  // set-ups on one connection; 0: the fronts' default
	IncludeReasons bool // the platform's front says why, too
}

func viewersBlock(l *loader) conf.Keyword {
	return conf.Keyword{Name: "viewers", Usage: "{ … }", Doc: "what both fronts allow", Apply: func(d *conf.Directive) {
		d.Block(
			conf.Keyword{Name: "open-per-connection", Usage: "N", Doc: "set-ups that may be open on one connection; 128 if absent", Apply: func(d *conf.Directive) {
				l.Viewers.MaxOpenSetups = d.Int("a number of set-ups", 1, maxOpenSetups)
			}},
			conf.Keyword{Name: "reasons", Usage: "on|off", Doc: "whether JSON-lines viewers are told why; off if absent", Apply: func(d *conf.Directive) {
				l.Viewers.IncludeReasons = d.OnOff()
			}},
		)
	}}
}

func teamBlock(l *loader) conf.Keyword {
	return conf.Keyword{Name: "team", Usage: "NAME { … }", Doc: "a team's contract and budget", Repeatable: true, Apply: func(d *conf.Directive) {
		team := broker.Team{Name: d.Word("a team's name"), BudgetPeriod: defaultBudgetPeriod}
		names := make([]string, len(l.Teams))
		for i := range l.Teams {
			names[i] = l.Teams[i].Name
		}
		checkUnique(d, team.Name, names)
		countKeyword := func(name, doc string, target *int) conf.Keyword {
			return conf.Keyword{Name: name, Usage: "N", Doc: doc, Apply: func(d *conf.Directive) { *target = d.Int("a number", 0, math.MaxInt32) }}
		}
		d.Block(
			conf.Keyword{Name: "classes", Usage: "CLASS…", Doc: "which the team may use; all if absent", Apply: func(d *conf.Directive) {
				team.Classes = l.readClasses(d)
			}},
			conf.Keyword{Name: "rate", Usage: "N", Doc: "sessions a second over all managers; unbounded if absent", Apply: func(d *conf.Directive) {
				team.SessionsPerS = d.Float("sessions a second", 0, 1e9)
			}},
			countKeyword("standing", "most sessions set up or playing here; unbounded if absent", &team.MaxSessions),
			conf.Keyword{Name: "period", Usage: "DURATION", Doc: "of the budget; 1h if absent", Apply: func(d *conf.Directive) {
				team.BudgetPeriod = d.Duration("a period", time.Second, maxBudgetPeriod)
			}},
			countKeyword("billed-setups", "most in a period; unbounded if absent", &team.MaxBilledSetUps),
			countKeyword("further-attempts", "most in a period; unbounded if absent", &team.MaxFurtherAttempts),
		)
		l.Teams = append(l.Teams, team)
	}}
}

// DNSSD is the source of the list by DNS service discovery.
type DNSSD struct {
	Server  string // address of a DNS server
	Service string // such as _rtsp._tcp.media.example
}

func dnssdBlock(l *loader) conf.Keyword {
	return conf.Keyword{Name: "dns-sd", Usage: "{ … }", Doc: "media nodes from DNS service discovery", Apply: func(d *conf.Directive) {
		s := new(DNSSD)
		d.Block(
			conf.Keyword{Name: "server", Usage: "HOST:PORT", Doc: "the DNS server to ask", Required: true, Apply: func(d *conf.Directive) {
				s.Server = d.Address()
			}},
			conf.Keyword{Name: "service", Usage: "NAME", Doc: "such as _rtsp._tcp.media.example", Required: true, Apply: func(d *conf.Directive) {
				if s.Service = d.Word("a service's name"); s.Service == "" && !d.HasFault() {
					d.ReportFault(1, "the name is empty")
				}
			}},
		)
		l.DNSSD = s
	}}
}
