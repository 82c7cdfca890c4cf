package config

import (
	"math"
	"strings"
	"time"

	"millethinge/internal/broker"
	"millethinge/internal/conf"
)

const (
	defaultGrace  = 3 * time.Second
	mostGrace     = 10 * time.Minute
	defaultPeriod = time.Hour
	mostPeriod    = 366 * 24 * time.Hour
	mostOpen      = 1 << 16
)

// WebSocket is the second front.
type WebSocket struct {
	Listen string
	Path   string
	Grace  time.Duration // for a player whose socket is lost to come back
}

func websocketBlock(l *loader) conf.Keyword {
	return conf.Keyword{Name: "websocket", Usage: "{ … }", Doc: "the session API for players over WebSocket", Apply: func(d *conf.Directive) {
		w := &WebSocket{Path: "/", Grace: defaultGrace}
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
				w.Grace = d.Duration("how long a player may be away", time.Millisecond, mostGrace)
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
				l.Viewers.MaxOpenSetups = d.Int("a number of set-ups", 1, mostOpen)
			}},
			conf.Keyword{Name: "reasons", Usage: "on|off", Doc: "whether JSON-lines viewers are told why; off if absent", Apply: func(d *conf.Directive) {
				l.Viewers.IncludeReasons = d.OnOff()
			}},
		)
	}}
}

func teamBlock(l *loader) conf.Keyword {
	return conf.Keyword{Name: "team", Usage: "NAME { … }", Doc: "a team's contract and budget", Repeatable: true, Apply: func(d *conf.Directive) {
		t := broker.Team{Name: d.Word("a team's name"), BudgetPeriod: defaultPeriod}
		names := make([]string, len(l.Teams))
		for i := range l.Teams {
			names[i] = l.Teams[i].Name
		}
		unique(d, t.Name, names)
		count := func(name, doc string, to *int) conf.Keyword {
			return conf.Keyword{Name: name, Usage: "N", Doc: doc, Apply: func(d *conf.Directive) { *to = d.Int("a number", 0, math.MaxInt32) }}
		}
		d.Block(
			conf.Keyword{Name: "classes", Usage: "CLASS…", Doc: "which the team may use; all if absent", Apply: func(d *conf.Directive) {
				t.Classes = l.classes(d)
			}},
			conf.Keyword{Name: "rate", Usage: "N", Doc: "sessions a second over all managers; unbounded if absent", Apply: func(d *conf.Directive) {
				t.SessionsPerS = d.Float("sessions a second", 0, 1e9)
			}},
			count("standing", "most sessions set up or playing here; unbounded if absent", &t.MaxSessions),
			conf.Keyword{Name: "period", Usage: "DURATION", Doc: "of the budget; 1h if absent", Apply: func(d *conf.Directive) {
				t.BudgetPeriod = d.Duration("a period", time.Second, mostPeriod)
			}},
			count("billed-setups", "most in a period; unbounded if absent", &t.MaxBilledSetUps),
			count("further-attempts", "most in a period; unbounded if absent", &t.MaxFurtherAttempts),
		)
		l.Teams = append(l.Teams, t)
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
