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
	"millethinge/internal/directory"
	"millethinge/internal/override"
)

// openFolder opens the folder of a manager with this name.
func openFolder(t *testing.T, parent, name string) *Folder {
	t.Helper()
	f, err := Open(parent, name, "127.0.0.1:5060")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// expectRejected stores a value, and expects that its file is rejected with a BadFileError, and not used,
// if it is truncated at any length, has any byte changed, or was written by another manager. The value
// that is stored after it must be used. load reads the file, and reports whether there is any value.
func expectRejected[T any](t *testing.T, file string, want T, store func(*Folder, T) error, load func(*Folder) (value T, changed bool, err error)) (got T) {
	t.Helper()
	parent := t.TempDir()
	f := openFolder(t, parent, "n1")
	if err := store(f, want); err != nil {
		t.Fatal(err)
	}
	filePath := filepath.Join(f.path, file)
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
		if value, changed, err := load(openFolder(t, parent, "n1")); changed || !errors.As(err, &badFile) || !reflect.ValueOf(&value).Elem().IsZero() {
			t.Fatalf("%s: %s, offset %d: not rejected: %v, %v", file, fault, offset, value, err)
		}
	}
	for i := range data {
		expectRejected(data[:i], "truncated file", i)
		changedData := append([]byte(nil), data...)
		changedData[i] ^= 0x10
		expectRejected(changedData, "changed byte", i)
	}
	other, err := encode(envelope[T]{"n2", "127.0.0.1:5060", want})
	if err != nil {
		t.Fatal(err)
	}
	expectRejected(other, "file of another manager", 0)

	if err := store(f, want); err != nil {
		t.Fatal(err)
	}
	got, changed, err := load(openFolder(t, parent, "n1"))
	if err != nil || !changed {
		t.Errorf("%s: %+v, %v, %v", file, got, changed, err)
	}
	return got
}

// A file that is truncated at any length, has any byte changed, or was written by another manager
// must be rejected with a BadFileError and not be used. A file that is stored after it must be.
func TestUnusableFilesAreRejected(t *testing.T) {
	want := StoredOverrides{Drain: override.Override{Active: true, At: time.Unix(7, 5)}, Nodes: map[string]override.Override{"s-1": {Active: true, At: time.Unix(8, 123456789)}}}
	got := expectRejected(t, overridesFile, want, (*Folder).StoreOverrides, (*Folder).LoadOverrides)
	if !got.Drain.At.Equal(want.Drain.At) || !got.Nodes["s-1"].At.Equal(want.Nodes["s-1"].At) || !got.Nodes["s-1"].Active {
		t.Errorf("%+v", got)
	}
	if merged := got.Merge(want); merged {
		t.Error("a stored override counts as newer than the original")
	}
	node := directory.Node{ID: "s-1", HostPort: "h:1", Locality: "east", Flavor: "std", Cell: 2, Phase: "terminating", Size: 1.5, UpSinceMS: 7}
	list := directory.Snapshot{Index: 41, Nodes: []directory.Node{node}, ReceivedAt: time.Unix(8, 123456789).UTC(), KnownHash: 1 << 63, Renumbered: 1}
	if got := expectRejected(t, listFile, list, (*Folder).StoreList, (*Folder).LoadList); !reflect.DeepEqual(got, list) {
		t.Errorf("%+v, want %+v", got, list)
	}
	instances := []directory.Instance{{Node: node, Expires: time.Unix(9, 1).UTC()}}
	if got := expectRejected(t, instancesFile, instances, (*Folder).StoreInstances, (*Folder).LoadInstances); !reflect.DeepEqual(got, instances) {
		t.Errorf("%+v, want %+v", got, instances)
	}
}

// The stored bytes must not change, since other versions of the program read and write them: the
// fields of an override are stored under the names Out and At, whatever they are called in Go.
func TestStoredFormat(t *testing.T) {
	const stored = "mlth\x00\x01\x00\x00\x00e\xf0\x1dIқ\"\xf6y\xa3\x01bn1\x02n127.0.0.1:5060\x03\xa2\x01\xa2bAtx\x1e1970-01-01T00:00:07.000000005ZcOut\xf5\x02\xa1cs-1\xa2bAtt1970-01-01T00:00:08ZcOut\xf4"
	want := StoredOverrides{Drain: override.Override{Active: true, At: time.Unix(7, 5).UTC()},
		Nodes: map[string]override.Override{"s-1": {Active: false, At: time.Unix(8, 0).UTC()}}}
	data, err := encode(envelope[StoredOverrides]{"n1", "127.0.0.1:5060", want})
	if err != nil || string(data) != stored {
		t.Errorf("stored as %q, want %q, %v", data, stored, err)
	}
	got, reason := decode[StoredOverrides]([]byte(stored), "n1", "127.0.0.1:5060")
	if reason != "" || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, want %+v, %s", got, want, reason)
	}
}

// The stored bytes of a list must not change either.
func TestStoredListFormat(t *testing.T) {
	const stored = "mlth\x00\x01\x00\x00\x00rǗl<\xe6]\xcd%\xa3\x01bn1\x02n127.0.0.1:5060\x03\xa5\x01\x18)\x02\x81\xa8\x01cs-1\x02ch:1\x03deast\x04cstd\x05\x02\x06kterminating\a\xfb?\xf8\x00\x00\x00\x00\x00\x00\b\a\x03x\x1e1970-01-01T00:00:08.000000005Z\x04\t\x05\x01"
	list := directory.Snapshot{Index: 41, Nodes: []directory.Node{{ID: "s-1", HostPort: "h:1", Locality: "east", Flavor: "std", Cell: 2, Phase: "terminating", Size: 1.5, UpSinceMS: 7}},
		ReceivedAt: time.Unix(8, 5).UTC(), KnownHash: 9, Renumbered: 1}
	data, err := encode(envelope[directory.Snapshot]{"n1", "127.0.0.1:5060", list})
	if err != nil || string(data) != stored {
		t.Errorf("stored as %q, want %q, %v", data, stored, err)
	}
}

// register registers a process that started at startS, in Unix seconds.
func register(t *testing.T, parent string, startS int64) *Process {
	t.Helper()
	p, err := openFolder(t, parent, "n1").Register(time.Unix(startS, 0))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A handover must be read exactly as it was stored, and only once. RemoveHandovers must remove
// its file and temporary files.
func TestHandoverFile(t *testing.T) {
	parent := t.TempDir()
	predecessor, successor := register(t, parent, 1), register(t, parent, 2)
	want := broker.Handover{Final: true, Ended: map[control.SessionID]int{3: 41},
		Sessions: []broker.EstablishedSession{{ID: 1, Class: 1, Team: -1, Key: "7f", Title: 0x7f, Home: 2, Copies: 3, MaxRung: 4, Server: 9, Rung: 2, EstablishedAtNS: 5, ViewerHost: "127.0.0.9"}}}
	if _, changed, err := successor.LoadHandover(); changed || err != nil {
		t.Fatal("a handover is read before one was stored", err)
	}
	if err := predecessor.StoreHandover(want, successor.startNS); err != nil {
		t.Fatal(err)
	}
	got, changed, err := successor.LoadHandover()
	if err != nil || !changed || !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, %v, %v", got, changed, err)
	}
	if _, changed, _ := successor.LoadHandover(); changed {
		t.Error("the same handover is read twice")
	}
	if err := os.WriteFile(filepath.Join(predecessor.folder.path, ".estate-1-25"), nil, 0o600); err != nil { // a file whose writer was killed
		t.Fatal(err)
	}
	successor.folder.RemoveHandovers()
	if remaining, _ := filepath.Glob(filepath.Join(predecessor.folder.path, "*estate*")); len(remaining) > 0 {
		t.Errorf("handover files not removed: %v", remaining)
	}
}

// Processes must find each other and know which are younger and serve. A process that has ended,
// in whatever way, must not be counted, and its mark file must be removed.
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
		t.Fatalf("no other process: %+v", others)
	}
	second := register(2)
	if others := find(first); others.Alive != 1 || len(others.Successors) != 0 {
		t.Fatalf("the younger process does not serve yet: %+v", others)
	}
	if err := second.SetServing(true); err != nil {
		t.Fatal(err)
	}
	if err := first.SetServing(true); err != nil {
		t.Fatal(err)
	}
	if others := find(first); len(others.Successors) != 1 || !others.AtMostOneSeen {
		t.Fatalf("the younger process serves: %+v", others)
	}
	if others := find(second); others.Alive != 1 || len(others.Successors) != 0 {
		t.Fatalf("the other process is older: %+v", others)
	}
	if err := second.SetServing(false); err != nil {
		t.Fatal(err)
	}
	if others := find(first); others.Alive != 1 || len(others.Successors) != 0 {
		t.Fatalf("the younger process does not serve any more: %+v", others)
	}
	third := register(3)
	if others := find(first); others.Alive != 2 || others.AtMostOneSeen {
		t.Fatalf("three processes: %+v", others)
	}
	// A mark file that can't be opened, such as when no file descriptor is left, must not be
	// taken for that of a process that has ended.
	unreadable := filepath.Join(first.folder.path, processPrefix+"4-4")
	if err := os.Symlink(unreadable, unreadable); err != nil {
		t.Fatal(err)
	}
	if others := find(first); others.Alive != 3 || len(others.Successors) != 0 {
		t.Errorf("one mark file can't be opened: %+v", others)
	}
	if err := os.Remove(unreadable); err != nil {
		t.Error("a mark file that can't be opened is removed")
	}
	third.markFile.Close() // as the end of its process would
	second.Unregister()
	if others := find(first); others.Alive != 0 || others.AtMostOneSeen {
		t.Fatalf("both other processes have ended: %+v", others)
	}
	if remaining, _ := filepath.Glob(filepath.Join(first.folder.path, processPrefix+"*")); len(remaining) != 1 {
		t.Errorf("mark files: %v; want one", remaining)
	}
}
