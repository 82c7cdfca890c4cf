package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"millethinge/internal/broker"
)

const (
	defaultGrace  = 3 * time.Second
	defaultPeriod = time.Hour
)

// Operator is what an operator's file sets. The platform has none: all of it
// is off there.
type Operator struct {
	WebSocket *WebSocket
	Teams     []broker.Team
	DNSSD     *DNSSD
}

// WebSocket is the second front.
type WebSocket struct {
	Listen string
	Path   string
	Grace  time.Duration // for a player whose socket is lost to come back
}

// DNSSD is the source of the list by DNS service discovery.
type DNSSD struct {
	Server  string // address of a DNS server
	Service string // such as _rtsp._tcp.media.example
}

// ParseOperator reads an operator's file for a deployment with these classes.
func ParseOperator(text []byte, classes []string) (Operator, error) {
	var raw struct {
		WebSocket *struct {
			Listen  string `json:"listen"`
			Path    string `json:"path"`
			GraceMS int    `json:"grace_ms"`
		} `json:"websocket"`
		Teams []struct {
			Name     string `json:"name"`
			Contract struct {
				Classes  []string `json:"classes"`
				Rate     float64  `json:"sessions_per_s"`
				Standing int      `json:"standing"`
			} `json:"contract"`
			Budget struct {
				PeriodS float64 `json:"period_s"`
				SetUps  int     `json:"billed_setups"`
				Extra   int     `json:"further_attempts"`
			} `json:"budget"`
		} `json:"teams"`
		DNSSD *struct {
			Server  string `json:"server"`
			Service string `json:"service"`
		} `json:"dns_sd"`
	}
	var o Operator
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&raw); err != nil {
		return o, err
	}
	if w := raw.WebSocket; w != nil {
		if _, _, err := net.SplitHostPort(w.Listen); err != nil {
			return o, fmt.Errorf("websocket.listen: %w", err)
		}
		if w.GraceMS < 0 {
			return o, fmt.Errorf("websocket.grace_ms: %d is negative", w.GraceMS)
		}
		o.WebSocket = &WebSocket{Listen: w.Listen, Path: w.Path, Grace: time.Duration(w.GraceMS) * time.Millisecond}
		if o.WebSocket.Path == "" {
			o.WebSocket.Path = "/"
		}
		if w.GraceMS == 0 {
			o.WebSocket.Grace = defaultGrace
		}
	}
	seen := make(map[string]bool)
	for i, t := range raw.Teams {
		key := fmt.Sprintf("teams[%d]", i)
		if t.Name == "" || seen[t.Name] {
			return o, fmt.Errorf("%s.name: %q is empty or used twice", key, t.Name)
		}
		seen[t.Name] = true
		team := broker.Team{
			Name: t.Name, Rate: t.Contract.Rate, Standing: t.Contract.Standing,
			SetUps: t.Budget.SetUps, Extra: t.Budget.Extra, Period: orDefault(t.Budget.PeriodS, defaultPeriod),
		}
		switch {
		case t.Contract.Rate < 0:
			return o, fmt.Errorf("%s.contract.sessions_per_s: negative", key)
		case t.Contract.Standing < 0:
			return o, fmt.Errorf("%s.contract.standing: negative", key)
		case t.Budget.PeriodS < 0:
			return o, fmt.Errorf("%s.budget.period_s: negative", key)
		case t.Budget.SetUps < 0:
			return o, fmt.Errorf("%s.budget.billed_setups: negative", key)
		case t.Budget.Extra < 0:
			return o, fmt.Errorf("%s.budget.further_attempts: negative", key)
		}
		if len(t.Contract.Classes) > 0 {
			team.Classes = make([]bool, len(classes))
		}
		for _, name := range t.Contract.Classes {
			known := false
			for k, c := range classes {
				if c == name {
					team.Classes[k], known = true, true
				}
			}
			if !known {
				return o, fmt.Errorf("%s.contract.classes: no class %q", key, name)
			}
		}
		o.Teams = append(o.Teams, team)
	}
	if d := raw.DNSSD; d != nil {
		if _, _, err := net.SplitHostPort(d.Server); err != nil {
			return o, fmt.Errorf("dns_sd.server: %w", err)
		}
		if d.Service == "" {
			return o, fmt.Errorf("dns_sd.service: missing")
		}
		o.DNSSD = &DNSSD{Server: d.Server, Service: d.Service}
	}
	return o, nil
}
