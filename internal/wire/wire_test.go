package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"

	"millethinge/control"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const goldenBatch = `
	0c000000 508d976e12d32040 6f000000 03000000
	03 3c000000 0300 c4913a5d59380800 0000 0000 640ad2557c3bf091 107cf3d901648e2b
	   b81e85eb51b8ce3f fa7e6abc7493883f 00000000 00004040 00000040 0100
	07 06000000 0300 4d000000
	06 0a000000 0500 192b6f0e4baf0900`

func TestGoldenBatch(t *testing.T) {
	d := NewDecoder(bytes.NewReader(unhex(t, goldenBatch)))
	b, err := d.Next()
	if err != nil {
		t.Fatal(err)
	}
	want := []Record{
		{Instance: 3, Event: control.Event{
			Kind: control.EventArrival, Session: 0x8385d3a91c4, Title: 0x2b8e6401d9f37c10,
			TimeLeftS: 0.24, ExpectedLengthS: 0.012, Copies: 3, MaxRung: 2,
		}},
		{Instance: 3, Event: control.Event{Kind: control.EventTimer, Token: 77}},
		{Instance: 5, Event: control.Event{Kind: control.EventAbandoned, Session: 0x9af4b0e6f2b19}},
	}
	want[0].Event.Session = control.SessionID(binary.LittleEndian.Uint64(unhex(t, "c4913a5d59380800")))
	if b.Seq != 12 || math.Abs(b.Now-8.41225) > 0.001 {
		t.Errorf("batch %d at %v", b.Seq, b.Now)
	}
	if !reflect.DeepEqual(b.Records, want) {
		t.Errorf("records\n%+v, want\n%+v", b.Records, want)
	}
	if _, err := d.Next(); err != io.EOF {
		t.Errorf("after the last frame: %v", err)
	}
}

func TestGoldenReply(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.Begin(12)
	session := control.SessionID(binary.LittleEndian.Uint64(unhex(t, "c4913a5d59380800")))
	e.Action(3, control.Action{Kind: control.ActionSetUp, Session: session, Server: 0x0a124a071f93,
		SetupTimeoutS: math.Float64frombits(0x3fb47ae147ae147b)})
	e.Action(3, control.Action{Kind: control.ActionSetTimer, DelayS: 0.5, Token: 77})
	e.Action(5, control.Action{Kind: control.ActionRemark, Text: "two servers known"})
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, `0c000000 52000000
		0e 18000000 0300 c4913a5d59380800 0a124a07 931f 7b14ae47e17ab43f
		04 0e000000 0300 000000000000e03f 4d000000
		08 15000000 0500 1100 74776f2073657276657273206b6e6f776e`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x, want\n%x", out.Bytes(), want)
	}
}

func TestRefusalAndMove(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.Begin(1)
	session := control.SessionID(binary.LittleEndian.Uint64(unhex(t, "192b6f0e4baf0900")))
	e.Action(3, control.Action{Kind: control.ActionRefuse, Session: session, RetryAfterS: 0.25})
	e.Action(3, control.Action{Kind: control.ActionMove, Session: session})
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := unhex(t, `01000000 2e000000 09 12000000 0300 192b6f0e4baf0900 000000000000d03f
		0d 0a000000 0300 192b6f0e4baf0900`)
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x, want\n%x", out.Bytes(), want)
	}
}

func frame(records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := make([]byte, batchHeaderLen, batchHeaderLen+len(body))
	binary.LittleEndian.PutUint32(b[12:], uint32(batchHeaderLen+len(body)))
	binary.LittleEndian.PutUint32(b[16:], uint32(len(records)))
	return append(b, body...)
}

func TestServerListRoundTrip(t *testing.T) {
	contents := unhex(t, `0d 35000000 00 02000000
		01 0100 0000 0000000000000000 0a124a07 931f 00 0000803f
		00 0200 0100 6666666666661840 0a9011f2 bc1f 01 0000c03f`)
	list := unhex(t, `02 08000000 0300 00 29000000 01`)
	b, err := NewDecoder(bytes.NewReader(frame(contents, list))).Next()
	if err != nil {
		t.Fatal(err)
	}
	want := []control.Entry{
		{Server: 0x0a124a071f93, State: control.Ready, Cell: 1, Weight: 1},
		{Server: 0x0a9011f21fbc, State: control.Draining, Cell: 2, Zone: 1, MachineKind: 1, StartedAtS: 6.1, Weight: 1.5},
	}
	if e := b.Records[0].Event; e.List != control.ListCached || !reflect.DeepEqual(e.Entries, want) {
		t.Errorf("list %+v, want %+v", e, want)
	}
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.server(want[0].Server)
	if !bytes.Equal(e.buf, unhex(t, "0a124a07 931f")) {
		t.Errorf("server goes back as %x", e.buf)
	}
}

func TestDecodeErrors(t *testing.T) {
	good := unhex(t, goldenBatch)
	falseLength := append([]byte(nil), good...)
	binary.LittleEndian.PutUint32(falseLength[12:], 1<<29)
	overrun := frame([]byte{6, 200, 0, 0, 0, 1, 0})
	for name, in := range map[string][]byte{
		"header cut":    good[:7],
		"body cut":      good[:len(good)-3],
		"false length":  falseLength,
		"record long":   overrun,
		"record short":  frame([]byte{6, 2, 0, 0, 0, 1, 0}),
		"census count":  frame([]byte{13, 5, 0, 0, 0, 0, 255, 255, 255, 255}),
		"size too low":  make([]byte, batchHeaderLen),
		"trailing byte": append(frame()[:0], func() []byte { b := frame(nil); b[16] = 0; b[12]++; return append(b, 9) }()...),
	} {
		if _, err := NewDecoder(bytes.NewReader(in)).Next(); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	b, err := NewDecoder(bytes.NewReader(frame([]byte{99, 1, 0, 0, 0, 7}, []byte{9, 2, 0, 0, 0, 4, 0}, []byte{10, 2, 0, 0, 0, 4, 0}))).Next()
	if err != nil || len(b.Records) != 1 || b.Records[0].Kind != KindKill {
		t.Errorf("an unknown code is not skipped: %+v, %v", b, err)
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(unhex(f, goldenBatch))
	f.Add(frame(unhex(f, `02 08000000 0300 00 29000000 01`)))
	f.Fuzz(func(t *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
