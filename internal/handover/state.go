// Package handover lets two processes of one manager, an old one and the younger that
// replaces it, know of each other, and hands over what was ordered by hand. Both share
// a folder and nothing else.
package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/renameio/v2"

	"millethinge/internal/duty"
)

const (
	magic     = "mlth"
	version   = 1
	headBytes = len(magic) + 2 + 4 + 8 // and the version, the body's length, its hash
	// mostBytes bounds a file: some ten thousand sessions.
	mostBytes    = 8 << 20
	stateFile    = "orders"
	handoverFile = "estate"
)

// Overrides is what was ordered by hand.
type Overrides struct {
	Drain duty.Override            `cbor:"1,keyasint"` // whether clients are sent away
	Nodes map[string]duty.Override `cbor:"2,keyasint"`
}

// Merge takes what is newer in other. It tells whether anything was.
func (s *Overrides) Merge(other Overrides) (newer bool) {
	if other.Drain.At.After(s.Drain.At) {
		s.Drain, newer = other.Drain, true
	}
	for id, o := range other.Nodes {
		if o.At.After(s.Nodes[id].At) {
			if s.Nodes == nil {
				s.Nodes = make(map[string]duty.Override)
			}
			s.Nodes[id], newer = o, true
		}
	}
	return newer
}

// BadFileError tells that what another process left can't be used. It costs its content only.
type BadFileError struct {
	File   string
	Reason string
}

func (e *BadFileError) Error() string { return fmt.Sprintf("%s: %s", e.File, e.Reason) }
func (e *BadFileError) Code() string  { return "handover-bad-file" }
func (e *BadFileError) Remedy() string {
	return "what was ordered by hand before this start is not known: repeat the calls; the file is replaced by the next one"
}

// envelope is what stands in a file behind its head.
type envelope[T any] struct {
	Name   string `cbor:"1,keyasint"` // of the manager
	Listen string `cbor:"2,keyasint"` // its viewers' address
	Body   T      `cbor:"3,keyasint"`
}

// encode is a value as it stands in a file.
func encode[T any](e envelope[T]) ([]byte, error) {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		return nil, err
	}
	body, err := mode.Marshal(e)
	if err != nil {
		return nil, err
	}
	b := append([]byte(magic), 0, version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64(body))
	return append(b, body...), nil
}

// decode reads a value that was meant for a manager. why is empty if it can be used.
func decode[T any](b []byte, name, listen string) (v T, why string) {
	if len(b) < headBytes || string(b[:len(magic)]) != magic {
		return v, "it is cut off, or not a file of this program"
	}
	head, body := b[len(magic):headBytes], b[headBytes:]
	if got := binary.BigEndian.Uint16(head); got != version {
		return v, fmt.Sprintf("it is of version %d; this program reads %d", got, version)
	}
	if n := binary.BigEndian.Uint32(head[2:]); int(n) != len(body) {
		return v, fmt.Sprintf("it holds %d bytes in place of %d", len(body), n)
	}
	if binary.BigEndian.Uint64(head[6:]) != xxhash.Sum64(body) {
		return v, "its hash is wrong"
	}
	var e envelope[T]
	if err := cbor.Unmarshal(body, &e); err != nil {
		return v, err.Error()
	}
	if e.Name != name || e.Listen != listen {
		return v, fmt.Sprintf("it is of manager %q at %s", e.Name, e.Listen)
	}
	return e.Body, ""
}

// Folder is what the processes of one manager share.
type Folder struct {
	path         string
	name, listen string
	read         map[string]fs.FileInfo // of each file when it was last read
}

// Open returns the folder of a manager below a folder for files that don't last.
func Open(below, name, listen string) (*Folder, error) {
	f := &Folder{name: name, listen: listen, read: make(map[string]fs.FileInfo),
		path: filepath.Join(below, fmt.Sprintf("millethinge-%016x", xxhash.Sum64String(name+"\x00"+listen)))}
	if err := os.MkdirAll(f.path, 0o700); err != nil {
		return nil, &FolderError{Path: f.path, Err: err}
	}
	return f, nil
}

// FolderError tells that nothing can be handed over: there is no folder, or no room in it.
type FolderError struct {
	Path string
	Err  error
}

func (e *FolderError) Error() string { return fmt.Sprintf("no folder for an upgrade: %v", e.Err) }
func (e *FolderError) Unwrap() error { return e.Err }
func (e *FolderError) Code() string  { return "handover-no-folder" }
func (e *FolderError) Remedy() string {
	return "give the program a $TMPDIR that it may write to; without it orders by hand are forgotten at an upgrade, and what stands is cut"
}

// LoadOverrides reads what was ordered by hand, if that has changed since it was last read.
func (f *Folder) LoadOverrides() (s Overrides, changed bool, err error) {
	return read[Overrides](f, stateFile)
}

// StoreOverrides replaces the file of orders.
func (f *Folder) StoreOverrides(s Overrides) error { return store(f, stateFile, s) }

// RemoveHandovers takes away what older processes handed over, for their heirs only, and what one
// that was killed left half written.
func (f *Folder) RemoveHandovers() {
	entries, _ := os.ReadDir(f.path)
	for _, e := range entries {
		if strings.HasPrefix(strings.TrimPrefix(e.Name(), "."), handoverFile) {
			os.Remove(filepath.Join(f.path, e.Name()))
		}
	}
}

func read[T any](f *Folder, name string) (v T, changed bool, err error) {
	file := filepath.Join(f.path, name)
	info, err := os.Stat(file)
	last := f.read[name]
	if errors.Is(err, fs.ErrNotExist) || err == nil && last != nil && os.SameFile(info, last) && info.ModTime().Equal(last.ModTime()) {
		return v, false, nil
	}
	if err != nil {
		return v, false, &BadFileError{file, err.Error()}
	}
	f.read[name] = info
	if info.Size() > mostBytes {
		return v, false, &BadFileError{file, fmt.Sprintf("it holds %d bytes; %d are read at most", info.Size(), mostBytes)}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return v, false, &BadFileError{file, err.Error()}
	}
	v, why := decode[T](b, f.name, f.listen)
	if why != "" {
		return v, false, &BadFileError{file, why}
	}
	return v, true, nil
}

// store replaces a file whole: whoever reads finds the old one or the new one, also where
// the process is killed in the middle.
func store[T any](f *Folder, name string, v T) error {
	b, err := encode(envelope[T]{f.name, f.listen, v})
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(f.path, name), b, 0o600, renameio.WithTempDir(f.path)); err != nil {
		return &FolderError{Path: f.path, Err: err}
	}
	return nil
}
