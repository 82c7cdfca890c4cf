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

const processPrefix = "process-"

// Process is this process's mark in the folder: a file that it holds a lock on. A lock
// goes with its process, however that ends.
type Process struct {
	folder    *Folder
	startNS   int64 // Unix time in ns; the younger one replaces the older
	markFile  *os.File
	maxOthers int // other processes seen alive at once
}

// Register marks this process as starting.
func (f *Folder) Register(now time.Time) (*Process, error) {
	p := &Process{folder: f, startNS: now.UnixNano()}
	// Guard: the mark's one byte is there from the start. Where the disk is full later, it can
	// be changed still.
	markPath := filepath.Join(f.path, fmt.Sprintf("%s%d-%d", processPrefix, p.startNS, os.Getpid()))
	// Guard: it gets its name when it is locked. Nobody takes it for a dead one's.
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

// SetServing marks this process as one that serves, or that no longer does.
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

// Unregister takes the mark away.
func (p *Process) Unregister() {
	os.Remove(filepath.Join(p.folder.path, filepath.Base(strings.TrimSuffix(p.markFile.Name(), ".new"))))
	p.markFile.Close()
}

// Others are the other live processes of this manager.
type Others struct {
	Alive       int
	Successors  []int64 // when those were born that are younger and serve, the youngest first
	NewestStart int64   // when the youngest was born of all that are younger; 0: none is
	// Alone: never more than one other was seen, so that the kernel's order of the
	// sockets is known: the older one's comes first.
	AtMostOneSeen bool
}

// FindOthers looks who else is alive, and sweeps away the marks of the dead.
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
		alive, serving := readMark(path)
		if !alive {
			os.Remove(path)
			continue
		}
		others.Alive++
		if startNS > p.startNS {
			others.NewestStart = max(others.NewestStart, startNS)
			if serving {
				others.Successors = append(others.Successors, startNS)
			}
		}
	}
	slices.SortFunc(others.Successors, func(a, b int64) int { return cmp.Compare(b, a) })
	p.maxOthers = max(p.maxOthers, others.Alive)
	others.AtMostOneSeen = p.maxOthers <= 1
	return others, nil
}

// ChooseSuccessor is who takes over what stands: the one that was chosen last while it serves, else
// the youngest, one that serves before one that starts; 0: nobody. Guard: two that take it
// would both tell the ends and both count the sessions.
func (o Others) ChooseSuccessor(previous int64) int64 {
	switch {
	case slices.Contains(o.Successors, previous):
		return previous
	case len(o.Successors) > 0:
		return o.Successors[0]
	}
	return o.NewestStart
}

// parseStart reads when a process was born from the name of its mark.
func parseStart(name string) (int64, bool) {
	rest, ok := strings.CutPrefix(name, processPrefix)
	start, _, _ := strings.Cut(rest, "-")
	startNS, err := strconv.ParseInt(start, 10, 64)
	return startNS, ok && err == nil && !strings.HasSuffix(name, ".new")
}

// StoreHandover hands over to the process that was born at successor. Each giver has a file of its
// own, and each file one successor, so that no two meet at one.
func (p *Process) StoreHandover(h broker.Handover, successor int64) error {
	return writeFile(p.folder, fmt.Sprintf("%s-%d-%d", handoverFile, p.startNS, successor), h)
}

// LoadHandover reads what an older process hands over to this one, if it was not read before.
func (p *Process) LoadHandover() (h broker.Handover, changed bool, err error) {
	entries, err := os.ReadDir(p.folder.path)
	if err != nil {
		return h, false, nil // Others tells
	}
	suffix := fmt.Sprintf("-%d", p.startNS)
	for _, entry := range entries {
		name := entry.Name()
		// One of a program that names no successor is for whoever sees it.
		if name != handoverFile && !(strings.HasPrefix(name, handoverFile+"-") && strings.HasSuffix(name, suffix)) {
			continue
		}
		h, changed, readErr := readFile[broker.Handover](p.folder, name)
		if changed {
			return h, true, nil
		}
		err = cmp.Or(err, readErr) // it costs its content, and no other's
	}
	return h, false, err
}

// readMark tells whether the process of a mark lives, and whether it serves.
func readMark(path string) (alive, serving bool) {
	file, err := os.Open(path)
	if err != nil {
		// Guard: where no descriptor is left, nobody is taken for dead.
		return !errors.Is(err, fs.ErrNotExist), false
	}
	defer file.Close()
	if unix.Flock(int(file.Fd()), unix.LOCK_SH|unix.LOCK_NB) == nil {
		return false, false
	}
	var mark [1]byte
	n, _ := file.Read(mark[:])
	return true, n == 1 && mark[0] == '+'
}
