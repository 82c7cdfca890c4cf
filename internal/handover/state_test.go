package handover

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"millethinge/control"
	"millethinge/internal/broker"
	"millethinge/internal/duty"
)

func folder(t *testing.T, below, name string) *Folder {
	t.Helper()
	f, err := Open(below, name, "127.0.0.1:5060")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// A file that is cut off at any length, changed at any byte, or another manager's is told
// and not used, and the next one that is stored is.
func TestBadFilesCostTheirContentOnly(t *testing.T) {
	below := t.TempDir()
	f := folder(t, below, "n1")
	want := Overrides{Drain: duty.Override{Active: true, At: time.Unix(7, 5)}, Nodes: map[string]duty.Override{"s-1": {Active: true, At: time.Unix(8, 123456789)}}}
	if err := f.StoreOverrides(want); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(f.path, stateFile)
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(b []byte, what string, at int) {
		t.Helper()
		if err := os.WriteFile(file, b, 0o600); err != nil {
			t.Fatal(err)
		}
		var bad *BadFileError
		if s, changed, err := folder(t, below, "n1").LoadOverrides(); changed || !errors.As(err, &bad) || s.Nodes != nil {
			t.Fatalf("%s at %d is taken: %v, %v", what, at, s, err)
		}
	}
	for n := range whole {
		refused(whole[:n], "a file cut off", n)
		b := append([]byte(nil), whole...)
		b[n] ^= 0x10
		refused(b, "a changed byte", n)
	}
	other, err := encode(envelope[Overrides]{"n2", "127.0.0.1:5060", want})
	if err != nil {
		t.Fatal(err)
	}
	refused(other, "another manager's file", 0)

	if err := f.StoreOverrides(want); err != nil {
		t.Fatal(err)
	}
	got, changed, err := folder(t, below, "n1").LoadOverrides()
	if err != nil || !changed || !got.Drain.At.Equal(want.Drain.At) || !got.Nodes["s-1"].At.Equal(want.Nodes["s-1"].At) || !got.Nodes["s-1"].Active {
		t.Errorf("%+v, %v, %v", got, changed, err)
	}
	if newer := got.Merge(want); newer {
		t.Error("an order is newer than itself once it was in a file")
	}
}

func enter(t *testing.T, below string, at int64) *Process {
	t.Helper()
	p, err := folder(t, below, "n1").Register(time.Unix(at, 0))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// What is handed over comes as it was, and is seen once.
func TestHandoverFile(t *testing.T) {
	below := t.TempDir()
	old, young := enter(t, below, 1), enter(t, below, 2)
	want := broker.Handover{Final: true, Ended: map[control.SessionID]int{3: 41},
		Sessions: []broker.EstablishedSession{{ID: 1, Class: 1, Team: -1, Key: "7f", Title: 0x7f, Home: 2, Copies: 3, MaxRung: 4, Server: 9, Rung: 2, EstablishedAtNS: 5, ViewerHost: "127.0.0.9"}}}
	if _, changed, err := young.LoadHandover(); changed || err != nil {
		t.Fatal("there is one before it was stored", err)
	}
	if err := old.StoreHandover(want, young.born); err != nil {
		t.Fatal(err)
	}
	got, changed, err := young.LoadHandover()
	if err != nil || !changed || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v, %v", got, changed, err)
	}
	if _, changed, _ := young.LoadHandover(); changed {
		t.Error("it is handed over twice")
	}
	if err := os.WriteFile(filepath.Join(old.folder.path, ".estate-1-25"), nil, 0o600); err != nil { // half written
		t.Fatal(err)
	}
	young.folder.RemoveHandovers()
	if left, _ := filepath.Glob(filepath.Join(old.folder.path, "*estate*")); len(left) > 0 {
		t.Errorf("files that are left: %v", left)
	}
}

// Two processes know of each other and which is the younger; one that is gone, however it
// ended, is not counted, and its mark is swept away.
func TestProcesses(t *testing.T) {
	below := t.TempDir()
	enter := func(at int64) *Process { return enter(t, below, at) }
	look := func(p *Process) Others {
		o, err := p.FindOthers()
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	a := enter(1)
	if o := look(a); o.Alive != 0 || len(o.Successors) != 0 {
		t.Fatalf("alone: %+v", o)
	}
	b := enter(2)
	if o := look(a); o.Alive != 1 || len(o.Successors) != 0 {
		t.Fatalf("the younger one does not serve yet: %+v", o)
	}
	if err := b.SetServing(true); err != nil {
		t.Fatal(err)
	}
	if err := a.SetServing(true); err != nil {
		t.Fatal(err)
	}
	if o := look(a); len(o.Successors) != 1 || !o.AtMostOneSeen {
		t.Fatalf("it serves: %+v", o)
	}
	if o := look(b); o.Alive != 1 || len(o.Successors) != 0 {
		t.Fatalf("the other one is older: %+v", o)
	}
	if err := b.SetServing(false); err != nil {
		t.Fatal(err)
	}
	if o := look(a); o.Alive != 1 || len(o.Successors) != 0 {
		t.Fatalf("the younger one serves no more: %+v", o)
	}
	c := enter(3)
	if o := look(a); o.Alive != 2 || o.AtMostOneSeen {
		t.Fatalf("three: %+v", o)
	}
	// A mark that can't be looked at now, as where no descriptor is left, is not taken for a
	// dead one's.
	locked := filepath.Join(a.folder.path, processPrefix+"4-4")
	if err := os.Symlink(locked, locked); err != nil {
		t.Fatal(err)
	}
	if o := look(a); o.Alive != 3 || len(o.Successors) != 0 {
		t.Errorf("one can't be looked at: %+v", o)
	}
	if err := os.Remove(locked); err != nil {
		t.Error("a mark that can't be looked at is swept away")
	}
	c.file.Close() // as its process's end would
	b.Unregister()
	if o := look(a); o.Alive != 0 || o.AtMostOneSeen {
		t.Fatalf("both are gone: %+v", o)
	}
	if left, _ := filepath.Glob(filepath.Join(a.folder.path, processPrefix+"*")); len(left) != 1 {
		t.Errorf("marks that are left: %v", left)
	}
}
