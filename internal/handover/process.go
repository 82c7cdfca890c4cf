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
	folder *Folder
	born   int64 // Unix time in ns; the younger one replaces the older
	file   *os.File
	most   int // other processes seen alive at once
}

// Register marks this process as starting.
func (f *Folder) Register(now time.Time) (*Process, error) {
	p := &Process{folder: f, born: now.UnixNano()}
	// Guard: the mark's one byte is there from the start. Where the disk is full later, it can
	// be changed still.
	name := filepath.Join(f.path, fmt.Sprintf("%s%d-%d", processPrefix, p.born, os.Getpid()))
	// Guard: it gets its name when it is locked. Nobody takes it for a dead one's.
	file, err := os.OpenFile(name+".new", os.O_CREATE|os.O_RDWR|os.O_EXCL, 0o600)
	if err == nil {
		err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
	}
	if err == nil {
		p.file = file
		err = p.SetServing(false)
	}
	if err == nil {
		err = os.Rename(name+".new", name)
	}
	if err != nil {
		return nil, &FolderError{Path: f.path, Err: err}
	}
	return p, nil
}

// SetServing marks this process as one that serves, or that no longer does.
func (p *Process) SetServing(yes bool) error {
	mark := byte('-')
	if yes {
		mark = '+'
	}
	if _, err := p.file.WriteAt([]byte{mark}, 0); err != nil {
		return &FolderError{Path: p.folder.path, Err: err}
	}
	return nil
}

// Unregister takes the mark away.
func (p *Process) Unregister() {
	os.Remove(filepath.Join(p.folder.path, filepath.Base(strings.TrimSuffix(p.file.Name(), ".new"))))
	p.file.Close()
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
func (p *Process) FindOthers() (o Others, err error) {
	entries, err := os.ReadDir(p.folder.path)
	if err != nil {
		return o, &FolderError{Path: p.folder.path, Err: err}
	}
	for _, e := range entries {
		born, ok := bornOf(e.Name())
		if !ok || born == p.born {
			continue
		}
		path := filepath.Join(p.folder.path, e.Name())
		alive, serves := look(path)
		if !alive {
			os.Remove(path)
			continue
		}
		o.Alive++
		if born > p.born {
			o.NewestStart = max(o.NewestStart, born)
			if serves {
				o.Successors = append(o.Successors, born)
			}
		}
	}
	slices.SortFunc(o.Successors, func(a, b int64) int { return cmp.Compare(b, a) })
	p.most = max(p.most, o.Alive)
	o.AtMostOneSeen = p.most <= 1
	return o, nil
}

// ChooseSuccessor is who takes over what stands: the one that was chosen last while it serves, else
// the youngest, one that serves before one that starts; 0: nobody. Guard: two that take it
// would both tell the ends and both count the sessions.
func (o Others) ChooseSuccessor(last int64) int64 {
	switch {
	case slices.Contains(o.Successors, last):
		return last
	case len(o.Successors) > 0:
		return o.Successors[0]
	}
	return o.NewestStart
}

// bornOf reads when a process was born from the name of its mark.
func bornOf(name string) (int64, bool) {
	rest, ok := strings.CutPrefix(name, processPrefix)
	born, _, _ := strings.Cut(rest, "-")
	n, err := strconv.ParseInt(born, 10, 64)
	return n, ok && err == nil && !strings.HasSuffix(name, ".new")
}

// StoreHandover hands over to the process that was born at successor. Each giver has a file of its
// own, and each file one successor, so that no two meet at one.
func (p *Process) StoreHandover(e broker.Handover, successor int64) error {
	return store(p.folder, fmt.Sprintf("%s-%d-%d", handoverFile, p.born, successor), e)
}

// LoadHandover reads what an older process hands over to this one, if it was not read before.
func (p *Process) LoadHandover() (e broker.Handover, changed bool, err error) {
	entries, err := os.ReadDir(p.folder.path)
	if err != nil {
		return e, false, nil // Others tells
	}
	mine := fmt.Sprintf("-%d", p.born)
	for _, entry := range entries {
		name := entry.Name()
		// One of a program that names no successor is for whoever sees it.
		if name != handoverFile && !(strings.HasPrefix(name, handoverFile+"-") && strings.HasSuffix(name, mine)) {
			continue
		}
		e, changed, bad := read[broker.Handover](p.folder, name)
		if changed {
			return e, true, nil
		}
		err = cmp.Or(err, bad) // it costs its content, and no other's
	}
	return e, false, err
}

// look tells whether the process of a mark lives, and whether it serves.
func look(path string) (alive, serves bool) {
	f, err := os.Open(path)
	if err != nil {
		// Guard: where no descriptor is left, nobody is taken for dead.
		return !errors.Is(err, fs.ErrNotExist), false
	}
	defer f.Close()
	if unix.Flock(int(f.Fd()), unix.LOCK_SH|unix.LOCK_NB) == nil {
		return false, false
	}
	var b [1]byte
	n, _ := f.Read(b[:])
	return true, n == 1 && b[0] == '+'
}
