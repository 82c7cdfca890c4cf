// Package handover lets two processes of one manager, a predecessor and the successor that
// replaces it in an upgrade, find each other and listen at the same address, and hands over
// operator overrides, the list of media nodes and established sessions. The processes communicate only through a folder
// that they share.
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

	"millethinge/internal/directory"
	"millethinge/internal/override"
)

// Format and names of the files.
const (
	magic       = "mlth"
	version     = 1
	headerBytes = len(magic) + 2 + 4 + 8 // magic, version, length of the body, hash of the body
	// maxFileBytes limits the size of a file; it is enough for some ten thousand sessions.
	maxFileBytes  = 8 << 20
	overridesFile = "orders"
	handoverFile  = "estate"
	listFile      = "list"
	instancesFile = "instances"
	// mailFileName and playersFileName begin the names of files about players that may reconnect.
	mailFileName    = "mail"
	playersFileName = "players"
)

// StoredOverrides are the operator overrides as they are stored for other processes.
type StoredOverrides struct {
	Drain override.Override            `cbor:"1,keyasint"` // whether clients are drained
	Nodes map[string]override.Override `cbor:"2,keyasint"` // whether a media node is disabled, by its id
}

// Merge adopts the overrides of other that are newer, and reports whether there were any.
func (o *StoredOverrides) Merge(other StoredOverrides) (changed bool) {
	if other.Drain.At.After(o.Drain.At) {
		o.Drain, changed = other.Drain, true
	}
	for id, newer := range other.Nodes {
		if newer.At.After(o.Nodes[id].At) {
			if o.Nodes == nil {
				o.Nodes = make(map[string]override.Override)
			}
			o.Nodes[id], changed = newer, true
		}
	}
	return changed
}

// BadFileError reports that a file that another process stored can't be used. Only the content of
// that file is lost.
type BadFileError struct {
	File   string // path of the file
	Reason string
}

// Error names the file and the reason.
func (e *BadFileError) Error() string { return fmt.Sprintf("%s: %s", e.File, e.Reason) }

// Code returns the error's code for operators.
func (e *BadFileError) Code() string { return "handover-bad-file" }

// Remedy returns what an operator can do about the error.
func (e *BadFileError) Remedy() string {
	return "only what this file held is not known: if it is `orders`, repeat the operators' calls made before this start; the next write replaces the file"
}

// envelope is the body of a file, after its header.
type envelope[T any] struct {
	Name   string `cbor:"1,keyasint"` // name of the manager
	Listen string `cbor:"2,keyasint"` // address at which the manager listens for viewers
	Body   T      `cbor:"3,keyasint"`
}

// encode returns the content of a file: header and body.
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

// decode returns the value in the content of a file, if the file was written by the given manager.
// reason says why the file can't be used; it is empty if it can.
func decode[T any](data []byte, name, listen string) (value T, reason string) {
	if len(data) < headerBytes || string(data[:len(magic)]) != magic {
		return value, "truncated, or not written by this program"
	}
	header, body := data[len(magic):headerBytes], data[headerBytes:]
	if fileVersion := binary.BigEndian.Uint16(header); fileVersion != version {
		return value, fmt.Sprintf("format version is %d; this program reads version %d", fileVersion, version)
	}
	if length := binary.BigEndian.Uint32(header[2:]); int(length) != len(body) {
		return value, fmt.Sprintf("body has %d bytes; the header says %d", len(body), length)
	}
	if binary.BigEndian.Uint64(header[6:]) != xxhash.Sum64(body) {
		return value, "hash of the body is wrong"
	}
	var env envelope[T]
	if err := cbor.Unmarshal(body, &env); err != nil {
		return value, err.Error()
	}
	if env.Name != name || env.Listen != listen {
		return value, fmt.Sprintf("written by manager %q at %s", env.Name, env.Listen)
	}
	return env.Body, ""
}

// Folder is the folder that the processes of one manager share. A Folder remembers which files it
// has read, so it is not safe for concurrent use.
type Folder struct {
	path         string
	name, listen string                 // name and viewers' address of the manager
	lastRead     map[string]fs.FileInfo // by file name: the file when it was last read
}

// Open returns the folder of the manager with this name and viewers' address, and creates it if
// need be. parent is a folder for temporary files.
func Open(parent, name, listen string) (*Folder, error) {
	f := &Folder{name: name, listen: listen, lastRead: make(map[string]fs.FileInfo),
		path: filepath.Join(parent, fmt.Sprintf("millethinge-%016x", xxhash.Sum64String(name+"\x00"+listen)))}
	if err := os.MkdirAll(f.path, 0o700); err != nil {
		return nil, &FolderError{Path: f.path, Err: err}
	}
	return f, nil
}

// FolderError reports that nothing can be handed over, since the folder does not exist or can't be
// read or written, for instance because the disk is full.
type FolderError struct {
	Path string // path of the folder
	Err  error
}

// Error names the cause.
func (e *FolderError) Error() string { return fmt.Sprintf("handover folder can't be used: %v", e.Err) }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Err }

// Code returns the error's code for operators.
func (e *FolderError) Code() string { return "handover-no-folder" }

// Remedy returns what an operator can do about the error.
func (e *FolderError) Remedy() string {
	return "set $TMPDIR to a folder that the program can write to; otherwise an upgrade loses operator overrides, begins with the list in the configuration, and cuts established sessions off"
}

// LoadOverrides reads the stored overrides. changed is false if there are none or if they have not
// changed since they were last read.
func (f *Folder) LoadOverrides() (overrides StoredOverrides, changed bool, err error) {
	return readFile[StoredOverrides](f, overridesFile)
}

// StoreOverrides replaces the stored overrides.
func (f *Folder) StoreOverrides(overrides StoredOverrides) error {
	return writeFile(f, overridesFile, overrides)
}

// LoadList reads the list of media nodes that the coordinator told a process. changed is false if
// there is none or if it has not changed since it was last read.
func (f *Folder) LoadList() (list directory.Snapshot, changed bool, err error) {
	return readFile[directory.Snapshot](f, listFile)
}

// StoreList replaces the stored list of media nodes.
func (f *Folder) StoreList(list directory.Snapshot) error { return writeOwnFile(f, listFile, list) }

// LoadInstances reads the instances that the DNS server told a process. changed is false if there
// are none or if they have not changed since they were last read.
func (f *Folder) LoadInstances() (instances []directory.Instance, changed bool, err error) {
	return readFile[[]directory.Instance](f, instancesFile)
}

// StoreInstances replaces the stored instances.
func (f *Folder) StoreInstances(instances []directory.Instance) error {
	return writeOwnFile(f, instancesFile, instances)
}

// RemoveHandovers removes what predecessors handed over, which is meant for their successors
// only, and the temporary files of a process that was killed while it wrote one.
func (f *Folder) RemoveHandovers() {
	entries, _ := os.ReadDir(f.path)
	for _, entry := range entries {
		name := strings.TrimPrefix(entry.Name(), ".")
		for _, prefix := range []string{handoverFile, mailFileName, playersFileName} {
			if strings.HasPrefix(name, prefix) {
				os.Remove(filepath.Join(f.path, entry.Name()))
			}
		}
	}
}

// readFile reads the value in a file. changed is false if there is no such file or if it has not
// changed since it was last read.
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
		return value, false, &BadFileError{filePath, fmt.Sprintf("file has %d bytes; the limit is %d", info.Size(), maxFileBytes)}
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

// writeFile replaces a file atomically: a reader finds either the old or the new content, even if
// this process is killed in between.
func writeFile[T any](f *Folder, name string, value T) error {
	_, err := replaceFile(f, name, value)
	return err
}

// writeOwnFile is writeFile for a file that this process also reads: its own content counts as read.
func writeOwnFile[T any](f *Folder, name string, value T) error {
	info, err := replaceFile(f, name, value)
	if err == nil {
		f.lastRead[name] = info
	}
	return err
}

// replaceFile replaces a file atomically and describes the new one.
func replaceFile[T any](f *Folder, name string, value T) (info fs.FileInfo, err error) {
	data, err := encode(envelope[T]{f.name, f.listen, value})
	if err != nil {
		return nil, err
	}
	file, err := renameio.NewPendingFile(filepath.Join(f.path, name), renameio.WithTempDir(f.path), renameio.WithStaticPermissions(0o600))
	if err != nil {
		return nil, &FolderError{Path: f.path, Err: err}
	}
	defer file.Cleanup()
	if _, err = file.Write(data); err == nil {
		info, err = file.Stat()
	}
	if err == nil {
		err = file.CloseAtomicallyReplace()
	}
	if err != nil {
		return nil, &FolderError{Path: f.path, Err: err}
	}
	return info, nil
}
