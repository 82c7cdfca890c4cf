package handover

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"millethinge/internal/broker"
)

// claimsMark is the second byte in the mark file of a process that answers claims.
const claimsMark = 'c'

// processPrefix begins the name of each mark file; the process's start time and id follow.
const processPrefix = "process-"

// Process represents this process in the folder by a mark file that it holds a lock on. The
// lock ends with the process, however that ends.
type Process struct {
	folder    *Folder
	startNS   int64 // start of the process, Unix time in ns; it identifies the process, and a younger one replaces an older one
	markFile  *os.File
	maxOthers int // largest number of other processes that FindOthers has seen alive at once
}

// Register creates the mark file of this process, which shows it as not serving yet.
func (f *Folder) Register(now time.Time) (*Process, error) {
	p := &Process{folder: f, startNS: now.UnixNano()}
	// Guard: the mark's single byte is written right away, so that it can still be
	// overwritten if the disk is full later.
	markPath := filepath.Join(f.path, fmt.Sprintf("%s%d-%d", processPrefix, p.startNS, os.Getpid()))
	// Guard: the file gets its final name only after it is locked, so that no other process
	// takes it for the file of a process that has ended.
	markFile, err := os.OpenFile(markPath+".new", os.O_CREATE|os.O_RDWR|os.O_EXCL, 0o600)
	if err == nil {
		err = unix.Flock(int(markFile.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	}
	if err == nil {
		p.markFile = markFile
		err = p.SetServing(false)
	}
	if err == nil {
		err = os.Rename(markPath+".new", markPath)
	}
	if err != nil {
		return nil, &FolderError{Path: f.path, Err: err}
	}
	return p, nil
}

// SetServing records in the mark file whether this process serves.
func (p *Process) SetServing(serving bool) error {
	mark := byte('-')
	if serving {
		mark = '+'
	}
	if _, err := p.markFile.WriteAt([]byte{mark}, 0); err != nil {
		return &FolderError{Path: p.folder.path, Err: err}
	}
	return nil
}

// Unregister removes the mark file.
func (p *Process) Unregister() {
	os.Remove(filepath.Join(p.folder.path, filepath.Base(strings.TrimSuffix(p.markFile.Name(), ".new"))))
	p.markFile.Close()
}

// Others describes the other live processes of this manager. Processes are identified by their
// start, as Unix time in ns.
type Others struct {
	Alive       int     // number of the processes
	Successors  []int64 // the younger processes that serve, the youngest first
	Claimable   []int64 // those that answer claims, in no order
	NewestStart int64   // the youngest of the younger processes, serving or not; 0: there is none
	// AtMostOneSeen reports whether this process has never seen more than one other. Only then
	// is the kernel's order of the sockets known: the older process's socket comes first.
	AtMostOneSeen bool
}

// FindOthers returns the other live processes, and removes the mark files of those that have
// ended.
func (p *Process) FindOthers() (others Others, err error) {
	entries, err := os.ReadDir(p.folder.path)
	if err != nil {
		return others, &FolderError{Path: p.folder.path, Err: err}
	}
	for _, entry := range entries {
		startNS, ok := parseStart(entry.Name())
		if !ok || startNS == p.startNS {
			continue
		}
		path := filepath.Join(p.folder.path, entry.Name())
		mark := readMark(path)
		if !mark.alive {
			os.Remove(path)
			continue
		}
		others.Alive++
		if mark.claimable {
			others.Claimable = append(others.Claimable, startNS)
		}
		if startNS > p.startNS {
			others.NewestStart = max(others.NewestStart, startNS)
			if mark.serving {
				others.Successors = append(others.Successors, startNS)
			}
		}
	}
	slices.SortFunc(others.Successors, func(a, b int64) int { return cmp.Compare(b, a) })
	p.maxOthers = max(p.maxOthers, others.Alive)
	others.AtMostOneSeen = p.maxOthers <= 1
	return others, nil
}

// ChooseSuccessor returns the start of the process that takes over the established sessions:
// the previously chosen one as long as it serves, otherwise the youngest that serves,
// otherwise the youngest that is starting; 0 if there is none.
//
// Guard: the choice must not change without need. Two processes that took over the same
// sessions would both report their ends and both count them.
func (o Others) ChooseSuccessor(previous int64) int64 {
	switch {
	case slices.Contains(o.Successors, previous):
		return previous
	case len(o.Successors) > 0:
		return o.Successors[0]
	}
	return o.NewestStart
}

// parseStart returns the start of a process from the name of its mark file, and reports whether
// it is such a name.
func parseStart(name string) (int64, bool) {
	rest, ok := strings.CutPrefix(name, processPrefix)
	start, _, _ := strings.Cut(rest, "-")
	startNS, err := strconv.ParseInt(start, 10, 64)
	return startNS, ok && err == nil && !strings.HasSuffix(name, ".new")
}

// StoreHandover hands h over to the process that started at successor. There is one file for each
// pair of predecessor and successor, so that no two processes write or take over the same file.
func (p *Process) StoreHandover(h broker.Handover, successor int64) error {
	return writeFile(p.folder, fmt.Sprintf("%s-%d-%d", handoverFile, p.startNS, successor), h)
}

// LoadHandover returns what a predecessor hands over to this process. changed is false if there
// is nothing that was not read before.
func (p *Process) LoadHandover() (h broker.Handover, changed bool, err error) {
	entries, err := os.ReadDir(p.folder.path)
	if err != nil {
		return h, false, nil // FindOthers returns this error
	}
	suffix := fmt.Sprintf("-%d", p.startNS)
	for _, entry := range entries {
		name := entry.Name()
		// A version of the program that names no successor writes a file without start times
		// in its name, which is for any process that finds it.
		if name != handoverFile && !(strings.HasPrefix(name, handoverFile+"-") && strings.HasSuffix(name, suffix)) {
			continue
		}
		h, changed, readErr := readFile[broker.Handover](p.folder, name)
		if changed {
			return h, true, nil
		}
		err = cmp.Or(err, readErr) // an unusable file does not keep the others from being read
	}
	return h, false, err
}

// processMark is what the mark file of a process shows.
type processMark struct {
	alive     bool
	serving   bool
	claimable bool // it answers claims
}

// readMark reads the mark file of a process.
func readMark(path string) (mark processMark) {
	file, err := os.Open(path)
	if err != nil {
		// Guard: a process whose file can't be opened, such as when no file descriptor is
		// left, is not taken for ended.
		mark.alive = !errors.Is(err, fs.ErrNotExist)
		return mark
	}
	defer file.Close()
	if unix.Flock(int(file.Fd()), unix.LOCK_SH|unix.LOCK_NB) == nil {
		return mark
	}
	var content [2]byte
	n, _ := file.Read(content[:])
	mark.alive = true
	mark.serving = n >= 1 && content[0] == '+'
	mark.claimable = n >= 2 && content[1] == claimsMark
	return mark
}
