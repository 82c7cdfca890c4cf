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

func openFolder(t *testing.T, parent, name string) *Folder {
	t.Helper()
	f, err := Open(parent, name, "127.0.0.1:5060")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// A file that is cut off at any length, changed at any byte, or another manager's is told
// and not used, and the next one that is stored is.
func TestUnusableFilesAreRejected(t *testing.T) {
	parent := t.TempDir()
	f := openFolder(t, parent, "n1")
	want := StoredOverrides{Drain: duty.Override{Active: true, At: time.Unix(7, 5)}, Nodes: map[string]duty.Override{"s-1": {Active: true, At: time.Unix(8, 123456789)}}}
	if err := f.StoreOverrides(want); err != nil {
		t.Fatal(err)
	}
	filePath := filepath.Join(f.path, overridesFile)
	data, err := os.ReadFile(filePath)
	if err != nil {
		t.Fatal(err)
	}
	expectRejected := func(changedData []byte, fault string, offset int) {
		t.Helper()
		if err := os.WriteFile(filePath, changedData, 0o600); err != nil {
			t.Fatal(err)
		}
		var badFile *BadFileError
		if overrides, changed, err := openFolder(t, parent, "n1").LoadOverrides(); changed || !errors.As(err, &badFile) || overrides.Nodes != nil {
			t.Fatalf("%s at %d is taken: %v, %v", fault, offset, overrides, err)
		}
	}
	for i := range data {
		expectRejected(data[:i], "a file cut off", i)
		changedData := append([]byte(nil), data...)
		changedData[i] ^= 0x10
		expectRejected(changedData, "a changed byte", i)
	}
	other, err := encode(envelope[StoredOverrides]{"n2", "127.0.0.1:5060", want})
	if err != nil {
		t.Fatal(err)
	}
	expectRejected(other, "another manager's file", 0)

	if err := f.StoreOverrides(want); err != nil {
		t.Fatal(err)
	}
	got, changed, err := openFolder(t, parent, "n1").LoadOverrides()
	if err != nil || !changed || !got.Drain.At.Equal(want.Drain.At) || !got.Nodes["s-1"].At.Equal(want.Nodes["s-1"].At) || !got.Nodes["s-1"].Active {
		t.Errorf("%+v, %v, %v", got, changed, err)
	}
	if merged := got.Merge(want); merged {
		t.Error("an order is newer than itself once it was in a file")
	}
}

func register(t *testing.T, parent string, startS int64) *Process {
	t.Helper()
	p, err := openFolder(t, parent, "n1").Register(time.Unix(startS, 0))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// What is handed over comes as it was, and is seen once.
func TestHandoverFile(t *testing.T) {
	parent := t.TempDir()
	predecessor, successor := register(t, parent, 1), register(t, parent, 2)
	want := broker.Handover{Final: true, Ended: map[control.SessionID]int{3: 41},
		Sessions: []broker.EstablishedSession{{ID: 1, Class: 1, Team: -1, Key: "7f", Title: 0x7f, Home: 2, Copies: 3, MaxRung: 4, Server: 9, Rung: 2, EstablishedAtNS: 5, ViewerHost: "127.0.0.9"}}}
	if _, changed, err := successor.LoadHandover(); changed || err != nil {
		t.Fatal("there is one before it was stored", err)
	}
	if err := predecessor.StoreHandover(want, successor.startNS); err != nil {
		t.Fatal(err)
	}
	got, changed, err := successor.LoadHandover()
	if err != nil || !changed || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v, %v", got, changed, err)
	}
	if _, changed, _ := successor.LoadHandover(); changed {
		t.Error("it is handed over twice")
	}
	if err := os.WriteFile(filepath.Join(predecessor.folder.path, ".estate-1-25"), nil, 0o600); err != nil { // half written
		t.Fatal(err)
	}
	successor.folder.RemoveHandovers()
	if remaining, _ := filepath.Glob(filepath.Join(predecessor.folder.path, "*estate*")); len(remaining) > 0 {
		t.Errorf("files that are left: %v", remaining)
	}
}

// Two processes know of each other and which is the younger; one that is gone, however it
// ended, is not counted, and its mark is swept away.
func TestFindOthers(t *testing.T) {
	parent := t.TempDir()
	register := func(startS int64) *Process { return register(t, parent, startS) }
	find := func(p *Process) Others {
		others, err := p.FindOthers()
		if err != nil {
			t.Fatal(err)
		}
		return others
	}
	first := register(1)
	if others := find(first); others.Alive != 0 || len(others.Successors) != 0 {
		t.Fatalf("alone: %+v", others)
	}
	second := register(2)
	if others := find(first); others.Alive != 1 || len(others.Successors) != 0 {
		t.Fatalf("the younger one does not serve yet: %+v", others)
	}
	if err := second.SetServing(true); err != nil {
		t.Fatal(err)
	}
	if err := first.SetServing(true); err != nil {
		t.Fatal(err)
	}
	if others := find(first); len(others.Successors) != 1 || !others.AtMostOneSeen {
		t.Fatalf("it serves: %+v", others)
	}
	if others := find(second); others.Alive != 1 || len(others.Successors) != 0 {
		t.Fatalf("the other one is older: %+v", others)
	}
	if err := second.SetServing(false); err != nil {
		t.Fatal(err)
	}
	if others := find(first); others.Alive != 1 || len(others.Successors) != 0 {
		t.Fatalf("the younger one serves no more: %+v", others)
	}
	third := register(3)
	if others := find(first); others.Alive != 2 || others.AtMostOneSeen {
		t.Fatalf("three: %+v", others)
	}
	// A mark that can't be looked at now, as where no descriptor is left, is not taken for a
	// dead one's.
	unreadable := filepath.Join(first.folder.path, processPrefix+"4-4")
	if err := os.Symlink(unreadable, unreadable); err != nil {
		t.Fatal(err)
	}
	if others := find(first); others.Alive != 3 || len(others.Successors) != 0 {
		t.Errorf("one can't be looked at: %+v", others)
	}
	if err := os.Remove(unreadable); err != nil {
		t.Error("a mark that can't be looked at is swept away")
	}
	third.markFile.Close() // as its process's end would
	second.Unregister()
	if others := find(first); others.Alive != 0 || others.AtMostOneSeen {
		t.Fatalf("both are gone: %+v", others)
	}
	if remaining, _ := filepath.Glob(filepath.Join(first.folder.path, processPrefix+"*")); len(remaining) != 1 {
		t.Errorf("marks that are left: %v", remaining)
	}
}
