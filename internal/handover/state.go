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
	magic       = "mlth"
	version     = 1
	headerBytes = len(magic) + 2 + 4 + 8 // and the version, the body's length, its hash
	// maxFileBytes bounds a file: some ten thousand sessions.
	maxFileBytes  = 8 << 20
	overridesFile = "orders"
	handoverFile  = "estate"
)

// StoredOverrides is what was ordered by hand.
type StoredOverrides struct {
	Drain duty.Override            `cbor:"1,keyasint"` // whether clients are sent away
	Nodes map[string]duty.Override `cbor:"2,keyasint"`
}

// Merge takes what is newer in other. It tells whether anything was.
func (o *StoredOverrides) Merge(other StoredOverrides) (changed bool) {
	if other.Drain.At.After(o.Drain.At) {
		o.Drain, changed = other.Drain, true
	}
	for id, override := range other.Nodes {
		if override.At.After(o.Nodes[id].At) {
			if o.Nodes == nil {
				o.Nodes = make(map[string]duty.Override)
			}
			o.Nodes[id], changed = override, true
		}
	}
	return changed
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
func encode[T any](env envelope[T]) ([]byte, error) {
	encMode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano, Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		return nil, err
	}
	body, err := encMode.Marshal(env)
	if err != nil {
		return nil, err
	}
	data := append([]byte(magic), 0, version)
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	return append(data, body...), nil
}

// decode reads a value that was meant for a manager. why is empty if it can be used.
func decode[T any](data []byte, name, listen string) (value T, reason string) {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return value, "it is cut off, or not a file of this program"
	}
	header, body := data[len(magic):headerBytes], data[headerBytes:]
	if fileVersion := binary.BigEndian.Uint16(header); fileVersion != version {
		return value, fmt.Sprintf("it is of version %d; this program reads %d", fileVersion, version)
	}
	if length := binary.BigEndian.Uint32(header[2:]); int(length) != len(body) {
		return value, fmt.Sprintf("it holds %d bytes in place of %d", len(body), length)
	}
	if binary.BigEndian.Uint64(header[6:]) != xxhash.Sum64(body) {
		return value, "its hash is wrong"
	}
	var env envelope[T]
	if err := cbor.Unmarshal(body, &env); err != nil {
		return value, err.Error()
	}
	if env.Name != name || env.Listen != listen {
		return value, fmt.Sprintf("it is of manager %q at %s", env.Name, env.Listen)
	}
	return env.Body, ""
}

// Folder is what the processes of one manager share.
type Folder struct {
	path         string
	name, listen string
	lastRead     map[string]fs.FileInfo // of each file when it was last read
}

// Open returns the folder of a manager below a folder for files that don't last.
func Open(parent, name, listen string) (*Folder, error) {
	f := &Folder{name: name, listen: listen, lastRead: make(map[string]fs.FileInfo),
		path: filepath.Join(parent, fmt.Sprintf("millethinge-%016x", xxhash.Sum64String(name+"\x00"+listen)))}
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
func (f *Folder) LoadOverrides() (overrides StoredOverrides, changed bool, err error) {
	return readFile[StoredOverrides](f, overridesFile)
}

// StoreOverrides replaces the file of orders.
func (f *Folder) StoreOverrides(overrides StoredOverrides) error {
	return writeFile(f, overridesFile, overrides)
}

// RemoveHandovers takes away what older processes handed over, for their heirs only, and what one
// that was killed left half written.
func (f *Folder) RemoveHandovers() {
	entries, _ := os.ReadDir(f.path)
	for _, entry := range entries {
		if strings.HasPrefix(strings.TrimPrefix(entry.Name(), "."), handoverFile) {
			os.Remove(filepath.Join(f.path, entry.Name()))
		}
	}
}

func readFile[T any](f *Folder, name string) (value T, changed bool, err error) {
	filePath := filepath.Join(f.path, name)
	info, err := os.Stat(filePath)
	last := f.lastRead[name]
	if errors.Is(err, fs.ErrNotExist) || err == nil && last != nil && os.SameFile(info, last) && info.ModTime().Equal(last.ModTime()) {
		return value, false, nil
	}
	if err != nil {
		return value, false, &BadFileError{filePath, err.Error()}
	}
	f.lastRead[name] = info
	if info.Size() > maxFileBytes {
		return value, false, &BadFileError{filePath, fmt.Sprintf("it holds %d bytes; %d are read at most", info.Size(), maxFileBytes)}
	}
	data, err := os.ReadFile(filePath)
	if err != nil {
		return value, false, &BadFileError{filePath, err.Error()}
	}
	value, reason := decode[T](data, f.name, f.listen)
	if reason != "" {
		return value, false, &BadFileError{filePath, reason}
	}
	return value, true, nil
}

// writeFile replaces a file whole: whoever reads finds the old one or the new one, also where
// the process is killed in the middle.
func writeFile[T any](f *Folder, name string, value T) error {
	data, err := encode(envelope[T]{f.name, f.listen, value})
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(f.path, name), data, 0o600, renameio.WithTempDir(f.path)); err != nil {
		return &FolderError{Path: f.path, Err: err}
	}
	return nil
}
