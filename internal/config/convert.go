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
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&raw); err != nil {
		return nil, err
	}
	if decoder.More() {
		return nil, fmt.Errorf("something follows the object")
	}
	var b bytes.Buffer
	writeLine := func(set bool, name string, args ...string) {
		if set {
			fmt.Fprintf(&b, "    %s %s\n", name, strings.Join(args, " "))
		}
	}
	if webSocket := raw.WebSocket; webSocket != nil {
		b.WriteString("websocket {\n")
		writeLine(true, "listen", quoteArgument(webSocket.Listen))
		writeLine(webSocket.Path != "", "path", quoteArgument(webSocket.Path))
		writeLine(webSocket.GraceMS != 0, "grace", strconv.Itoa(webSocket.GraceMS)+"ms")
		b.WriteString("}\n")
	}
	for _, team := range raw.Teams {
		fmt.Fprintf(&b, "team %s {\n", quoteArgument(team.Name))
		var classes []string
		for _, c := range team.Contract.Classes {
			classes = append(classes, quoteArgument(c))
		}
		writeLine(len(classes) > 0, "classes", classes...)
		writeLine(team.Contract.Rate != 0, "rate", strconv.FormatFloat(team.Contract.Rate, 'f', -1, 64))
		writeLine(team.Contract.Standing != 0, "standing", strconv.Itoa(team.Contract.Standing))
		writeLine(team.Budget.PeriodS != 0, "period", strconv.FormatFloat(team.Budget.PeriodS, 'f', -1, 64)+"s")
		writeLine(team.Budget.SetUps != 0, "billed-setups", strconv.Itoa(team.Budget.SetUps))
		writeLine(team.Budget.Extra != 0, "further-attempts", strconv.Itoa(team.Budget.Extra))
		b.WriteString("}\n")
	}
	if dnssd := raw.DNSSD; dnssd != nil {
		b.WriteString("dns-sd {\n")
		writeLine(true, "server", quoteArgument(dnssd.Server))
		writeLine(true, "service", quoteArgument(dnssd.Service))
		b.WriteString("}\n")
	}
	return b.Bytes(), nil
}

// quoteArgument writes an argument so that it is read as it is.
func quoteArgument(s string) string {
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
