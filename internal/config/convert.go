package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Convert brings an operator's file of the older JSON form into the present one.
// What it yields is still to be checked.
func Convert(text []byte) ([]byte, error) {
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
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&raw); err != nil {
		return nil, err
	}
	if dec.More() {
		return nil, fmt.Errorf("something follows the object")
	}
	var b bytes.Buffer
	line := func(set bool, name string, args ...string) {
		if set {
			fmt.Fprintf(&b, "    %s %s\n", name, strings.Join(args, " "))
		}
	}
	if w := raw.WebSocket; w != nil {
		b.WriteString("websocket {\n")
		line(true, "listen", quote(w.Listen))
		line(w.Path != "", "path", quote(w.Path))
		line(w.GraceMS != 0, "grace", strconv.Itoa(w.GraceMS)+"ms")
		b.WriteString("}\n")
	}
	for _, t := range raw.Teams {
		fmt.Fprintf(&b, "team %s {\n", quote(t.Name))
		var classes []string
		for _, c := range t.Contract.Classes {
			classes = append(classes, quote(c))
		}
		line(len(classes) > 0, "classes", classes...)
		line(t.Contract.Rate != 0, "rate", strconv.FormatFloat(t.Contract.Rate, 'f', -1, 64))
		line(t.Contract.Standing != 0, "standing", strconv.Itoa(t.Contract.Standing))
		line(t.Budget.PeriodS != 0, "period", strconv.FormatFloat(t.Budget.PeriodS, 'f', -1, 64)+"s")
		line(t.Budget.SetUps != 0, "billed-setups", strconv.Itoa(t.Budget.SetUps))
		line(t.Budget.Extra != 0, "further-attempts", strconv.Itoa(t.Budget.Extra))
		b.WriteString("}\n")
	}
	if d := raw.DNSSD; d != nil {
		b.WriteString("dns-sd {\n")
		line(true, "server", quote(d.Server))
		line(true, "service", quote(d.Service))
		b.WriteString("}\n")
	}
	return b.Bytes(), nil
}

// quote writes an argument so that it is read as it is.
func quote(s string) string {
	plain := s != "" && s != "{" && s != "}"
	for _, r := range s {
		plain = plain && r > ' ' && r < 0x7f && !strings.ContainsRune("\"`#\\", r)
	}
	if plain {
		return s
	}
	var b strings.Builder
	b.WriteByte('"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteByte(c)
		case c < ' ' || c == 0x7f:
			fmt.Fprintf(&b, `\x%02x`, c)
		default:
			b.WriteByte(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}
