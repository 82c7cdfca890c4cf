package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := make([]byte, 20, 20+len(body))
	binary.LittleEndian.PutUint32(b[12:], uint32(20+len(body)))
	binary.LittleEndian.PutUint32(b[16:], uint32(len(records)))
	return append(b, body...)
}

func startRecord(settings string) []byte {
	fields := make([]byte, 14)
	binary.LittleEndian.PutUint32(fields[10:], uint32(len(settings)))
	fields = append(fields, settings...)
	return append(binary.LittleEndian.AppendUint32([]byte{1}, uint32(len(fields))), fields...)
}

func TestServeBatches(t *testing.T) {
	for _, e := range []struct {
		name, params, want string
	}{
		{"no classes", `{"balancers": 1}`, "Classes"},
		{"no JSON", `{`, "settings"},
	} {
		var out bytes.Buffer
		if err := serveBatches(bytes.NewReader(batch(startRecord(e.params))), &out); err != nil {
			t.Errorf("%s: %v", e.name, err)
		}
		if !strings.Contains(out.String(), e.want) || out.Bytes()[8] != 3 {
			t.Errorf("%s: reply %q is no BailOut on %s", e.name, out.String(), e.want)
		}
	}
	var out bytes.Buffer
	if err := serveBatches(bytes.NewReader(batch()), &out); err != nil || out.Len() != 8 {
		t.Errorf("empty batch: %d bytes, %v", out.Len(), err)
	}
	if err := serveBatches(bytes.NewReader(batch()[:9]), &out); err == nil {
		t.Error("no error for a truncated frame")
	}
}
