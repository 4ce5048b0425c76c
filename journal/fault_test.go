package journal_test

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"

	"sapphirespread.example/journal"
)

const sector = 512

var (
	errCrashed = errors.New("crashed")
	errFault   = errors.New("disk fault")
)

type fault string

const (
	noFault   fault = "none"
	crash     fault = "crash"
	fullDisk  fault = "full disk"
	failSync  fault = "failed sync"
	neverFail       = -1
)

// content is a file's bytes, of which the first synced ones last.
type content struct {
	data   []byte
	synced int
}

// faultFS loses what was not synced when it crashes, and fails at one chosen operation.
type faultFS struct {
	random  *rand.Rand
	names   map[string]*content
	lasting map[string]*content
	pending []func(names map[string]*content)
	ops     int
	failAt  int
	kind    fault
	crashed bool
}

func newFaultFS(seed uint64) *faultFS {
	return &faultFS{
		random: rand.New(rand.NewPCG(seed, 0)), failAt: neverFail,
		names: map[string]*content{}, lasting: map[string]*content{},
	}
}

// operate counts an operation and returns the fault that it meets.
func (f *faultFS) operate() fault {
	f.ops++
	switch {
	case f.crashed:
		return crash
	case f.ops-1 != f.failAt:
		return noFault
	case f.kind == crash:
		f.crashed = true
	}
	return f.kind
}

// restart drops what a crash may lose: unsynced names and bytes, some of whose sectors may read as zeros.
func (f *faultFS) restart() {
	for _, change := range f.pending {
		if f.random.IntN(2) == 0 {
			change(f.lasting)
		}
	}
	f.pending = nil
	f.names = maps.Clone(f.lasting)
	for _, file := range f.names {
		file.data = file.data[:file.synced+f.random.IntN(len(file.data)-file.synced+1)]
		for at := file.synced; at < len(file.data); at += sector - at%sector {
			if f.random.IntN(3) == 0 {
				clear(file.data[at:min(len(file.data), at+sector-at%sector)])
			}
		}
		file.synced = len(file.data)
	}
	f.revive()
}

// revive ends the fault and loses nothing, as where only the process was killed.
func (f *faultFS) revive() {
	f.crashed = false
	f.failAt = neverFail
}

func (f *faultFS) rename(change func(names map[string]*content)) error {
	switch f.operate() {
	case crash:
		return errCrashed
	case fullDisk:
		return errFault
	}
	change(f.names)
	f.pending = append(f.pending, change)
	return nil
}

func (f *faultFS) Create(name string) (journal.File, error) {
	file := &content{}
	err := f.rename(func(names map[string]*content) { names[name] = file })
	return &handle{fsys: f, file: file}, err
}

func (f *faultFS) Append(name string) (journal.File, error) {
	file, ok := f.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &handle{fsys: f, file: file}, nil
}

func (f *faultFS) Read(name string) ([]byte, error) {
	file, ok := f.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(file.data), nil
}

func (f *faultFS) Truncate(name string, size int64) error {
	if f.operate() != noFault {
		return errFault
	}
	f.names[name].data = f.names[name].data[:size]
	f.names[name].synced = int(size)
	return nil
}

func (f *faultFS) Rename(oldName, newName string) error {
	file := f.names[oldName]
	return f.rename(func(names map[string]*content) {
		names[newName] = file
		delete(names, oldName)
	})
}

func (f *faultFS) Remove(name string) error {
	return f.rename(func(names map[string]*content) { delete(names, name) })
}

func (f *faultFS) List() ([]string, error) {
	return slices.Collect(maps.Keys(f.names)), nil
}

func (f *faultFS) SyncFolder() error {
	if f.operate() != noFault {
		return errFault
	}
	f.lasting = maps.Clone(f.names)
	f.pending = nil
	return nil
}

type handle struct {
	fsys *faultFS
	file *content
}

func (h *handle) Write(data []byte) (int, error) {
	kind := h.fsys.operate()
	if kind == crash || kind == fullDisk {
		n := h.fsys.random.IntN(len(data) + 1)
		h.file.data = append(h.file.data, data[:n]...)
		return n, errFault
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

func (h *handle) Sync() error {
	if h.fsys.operate() != noFault {
		return errFault
	}
	h.file.synced = len(h.file.data)
	return nil
}

func (h *handle) Close() error { return nil }
