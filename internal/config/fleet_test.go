package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestFleet(t *testing.T) {
	folder := t.TempDir()
	file := func(name, text string, mode os.FileMode) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), mode); err != nil {
			t.Fatal(err)
		}
		return path
	}
	key := file("key", "# ours\n"+strings.Repeat("0a", 32)+"\nAAAAAAAAAAAAAAAAAAAAAA==\n", 0o600)
	open := file("open", strings.Repeat("0a", 32), 0o644)
	short := file("short", "\nabcd", 0o600)
	on := Deployment{Name: "m1", Zones: []string{"hall-a", "hall-b"}}
	const members = "members m1 hall-a m2 hall-a m3 hall-b\n"
	for _, e := range []struct{ lines, fault, warning string }{
		{members, "", ""},
		{members + "listen 127.0.0.1:7946\njoin 127.0.0.1:7947\nvoters m1 m2 m3", "", ""},
		{members + "listen 0.0.0.0:7946\naddress 10.0.0.1:7946\nkey " + key + "\nat m2 relay.example:70 relay.example:71", "", ""},
		{members + "listen 127.0.0.1:7946\njoin 127.0.0.1:1\nkey " + open, "", "chmod 600"},
		{members + "join 127.0.0.1:7947", "", "without listen nothing is sent"},
		{members + "listen 127.0.0.1:7946", "", "asks nobody"},
		{"members m1 hall-c", "", `m1 is in "hall-c"`},
		{"listen 127.0.0.1:7946", "fleet: members is missing", ""},
		{"members m1", "wants the site of m1", ""},
		{"members m1 hall-a m1 hall-b", `"m1" is a member already`, ""},
		{"members a/b hall-a", "no slash", ""},
		{"members m2 hall-a", `"m1", the name of this manager, is none of the members`, ""},
		{members + "listen 10.0.0.1:7946", "name a key file", ""},
		{members + "listen 127.0.0.1:7946\naddress 10.0.0.1:7946", "name a key file", ""},
		{members + "listen 0.0.0.0:7946\nkey " + key, "every address of this machine", ""},
		{members + "listen localhost:7946", "no IPv4 address with a port", ""},
		{members + "address 10.0.0.1:0", "can't be reached", ""},
		{members + "key " + short, short + ":2: no key", ""},
		{members + "key " + filepath.Join(folder, "none"), "no such file", ""},
		{members + "voters m1 m2", "three or five", ""},
		{members + "voters m1 m2 m2", `"m2" stands twice`, ""},
		{members + "voters m1 m2 m4", `"m4" is none of the members`, ""},
		{members + "at m4 127.0.0.1:1", `"m4" is none of the members`, ""},
	} {
		o, err := ParseOperator("op.conf", []byte("fleet {\n"+e.lines+"\n}\n"), nil, on)
		switch {
		case e.fault != "" && (err == nil || !strings.Contains(err.Error(), e.fault) || !strings.Contains(err.Error(), "op.conf:") || !strings.Contains(err.Error(), "fleet")):
			t.Errorf("%s: %v, not %q", e.lines, err, e.fault)
		case e.fault == "" && err != nil:
			t.Errorf("%s: %v", e.lines, err)
		case strings.Join(o.Warnings, "") == "" != (e.warning == "") && err == nil || !strings.Contains(strings.Join(o.Warnings, "\n"), e.warning):
			t.Errorf("%s: %q, not %q", e.lines, o.Warnings, e.warning)
		case err != nil && strings.Contains(err.Error(), "abcd"):
			t.Error("a part of a key is told")
		}
		if strings.Contains(e.lines, "relay") && err == nil {
			c := Config{Name: "m1", Operator: o}
			m, ok := c.Membership()
			if !ok || len(m.EncryptionKeys) != 2 || len(m.EncryptionKeys[0]) != 32 || m.AddressOverrides["m2"] != [2]string{"relay.example:70", "relay.example:71"} || m.Self.Site != "hall-a" || m.Self.Address != "10.0.0.1:7946" || len(m.ConfiguredMembers) != 3 {
				t.Errorf("%+v", m)
			}
		}
	}
	if _, ok := new(Config).Membership(); ok {
		t.Error("a fleet without a block")
	}
}
