package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestFleetBlock(t *testing.T) {
	folder := t.TempDir()
	writeFile := func(name, text string, mode os.FileMode) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), mode); err != nil {
			t.Fatal(err)
		}
		return path
	}
	key := writeFile("key", "# ours\n"+strings.Repeat("0a", 32)+"\nAAAAAAAAAAAAAAAAAAAAAA==\n", 0o600)
	readableByOthers := writeFile("open", strings.Repeat("0a", 32), 0o644)
	shortKey := writeFile("short", "\nabcd", 0o600)
	deployment := Deployment{Name: "m1", Zones: []string{"hall-a", "hall-b"}}
	const members = "members m1 hall-a m2 hall-a m3 hall-b\n"
	for _, test := range []struct{ lines, fault, warning string }{
		{members, "", ""},
		{members + "listen 127.0.0.1:7946\njoin 127.0.0.1:7947\nvoters m1 m2 m3", "", ""},
		{members + "listen 0.0.0.0:7946\naddress 10.0.0.1:7946\nkey " + key + "\nat m2 relay.example:70 relay.example:71", "", ""},
		{members + "listen 127.0.0.1:7946\njoin 127.0.0.1:1\nkey " + readableByOthers, "", "chmod 600"},
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
		{members + "key " + shortKey, shortKey + ":2: no key", ""},
		{members + "key " + filepath.Join(folder, "none"), "no such file", ""},
		{members + "voters m1 m2", "three or five", ""},
		{members + "voters m1 m2 m2", `"m2" stands twice`, ""},
		{members + "voters m1 m2 m4", `"m4" is none of the members`, ""},
		{members + "at m4 127.0.0.1:1", `"m4" is none of the members`, ""},
	} {
		o, err := ParseOperator("op.conf", []byte("fleet {\n"+test.lines+"\n}\n"), nil, deployment)
		switch {
		case test.fault != "" && (err == nil || !strings.Contains(err.Error(), test.fault) || !strings.Contains(err.Error(), "op.conf:") || !strings.Contains(err.Error(), "fleet")):
			t.Errorf("%s: %v, not %q", test.lines, err, test.fault)
		case test.fault == "" && err != nil:
			t.Errorf("%s: %v", test.lines, err)
		case strings.Join(o.Warnings, "") == "" != (test.warning == "") && err == nil || !strings.Contains(strings.Join(o.Warnings, "\n"), test.warning):
			t.Errorf("%s: %q, not %q", test.lines, o.Warnings, test.warning)
		case err != nil && strings.Contains(err.Error(), "abcd"):
			t.Error("a part of a key is told")
		}
		if strings.Contains(test.lines, "relay") && err == nil {
			c := Config{Name: "m1", Operator: o}
			m, ok := c.MemberConfig()
			if !ok || len(m.EncryptionKeys) != 2 || len(m.EncryptionKeys[0]) != 32 || m.AddressOverrides["m2"] != [2]string{"relay.example:70", "relay.example:71"} || m.Self.Site != "hall-a" || m.Self.Address != "10.0.0.1:7946" || len(m.ConfiguredMembers) != 3 {
				t.Errorf("%+v", m)
			}
		}
	}
	if _, ok := new(Config).MemberConfig(); ok {
		t.Error("a fleet without a block")
	}
}
