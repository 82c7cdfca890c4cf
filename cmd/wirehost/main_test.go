package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// batch returns a frame with these records.
func batch(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := make([]byte, 20, 20+len(body))
	binary.LittleEndian.PutUint32(b[12:], uint32(20+len(body)))
	binary.LittleEndian.PutUint32(b[16:], uint32(len(records)))
	return append(b, body...)
}

// startRecord returns a record that starts an instance.
func startRecord(settings string) []byte {
	fields := make([]byte, 14)
	binary.LittleEndian.PutUint32(fields[10:], uint32(len(settings)))
	fields = append(fields, settings...)
	return append(binary.LittleEndian.AppendUint32([]byte{1}, uint32(len(fields))), fields...)
}

// Invalid settings are reported in the reply and don't end the program; a truncated frame does.
func TestServeBatches(t *testing.T) {
	for _, e := range []struct {
		name, settings, want string
	}{
		{"no classes", `{"balancers": 1}`, "Classes"},
		{"invalid JSON", `{`, "settings"},
	} {
		var out bytes.Buffer
		if err := serveBatches(bytes.NewReader(batch(startRecord(e.settings))), &out); err != nil {
			t.Errorf("%s: %v", e.name, err)
		}
		if !strings.Contains(out.String(), e.want) || out.Bytes()[8] != 3 {
			t.Errorf("%s: reply %q does not report that the instance failed over %s", e.name, out.String(), e.want)
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
