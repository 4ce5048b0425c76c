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

// fileContent is the content of a file. The first synced bytes are durable.
type fileContent struct {
	data   []byte
	synced int
}

// faultFS is an in-memory FS that fails at the operation number failAt. A restart loses data and names that were not
// synced.
type faultFS struct {
	random         *rand.Rand
	names          map[string]*fileContent
	durable        map[string]*fileContent
	pendingChanges []func(names map[string]*fileContent)
	ops            int
	failAt         int
	kind           fault
	crashed        bool
}

func newFaultFS(seed uint64) *faultFS {
	return &faultFS{
		random: rand.New(rand.NewPCG(seed, 0)), failAt: neverFail,
		names: map[string]*fileContent{}, durable: map[string]*fileContent{},
	}
}

// nextOperation counts an operation and returns the fault to inject into it.
func (f *faultFS) nextOperation() fault {
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

// restart simulates a restart after a crash. It drops unsynced names and bytes at random, and some sectors of the
// remaining unsynced bytes read as zeros.
func (f *faultFS) restart() {
	for _, change := range f.pendingChanges {
		if f.random.IntN(2) == 0 {
			change(f.durable)
		}
	}
	f.pendingChanges = nil
	f.names = maps.Clone(f.durable)
	for _, file := range f.names {
		file.data = file.data[:file.synced+f.random.IntN(len(file.data)-file.synced+1)]
		for at := file.synced; at < len(file.data); at += sector - at%sector {
			if f.random.IntN(3) == 0 {
				clear(file.data[at:min(len(file.data), at+sector-at%sector)])
			}
		}
		file.synced = len(file.data)
	}
	f.clearFault()
}

// clearFault ends the fault without losing unsynced data, as if only the process had been killed.
func (f *faultFS) clearFault() {
	f.crashed = false
	f.failAt = neverFail
}

// changeNames applies a change to the file names, which is not durable until the folder is synced.
func (f *faultFS) changeNames(change func(names map[string]*fileContent)) error {
	switch f.nextOperation() {
	case crash:
		return errCrashed
	case fullDisk:
		return errFault
	}
	change(f.names)
	f.pendingChanges = append(f.pendingChanges, change)
	return nil
}

func (f *faultFS) Create(name string) (journal.File, error) {
	file := &fileContent{}
	err := f.changeNames(func(names map[string]*fileContent) { names[name] = file })
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
	if f.nextOperation() != noFault {
		return errFault
	}
	f.names[name].data = f.names[name].data[:size]
	f.names[name].synced = int(size)
	return nil
}

func (f *faultFS) Rename(oldName, newName string) error {
	file := f.names[oldName]
	return f.changeNames(func(names map[string]*fileContent) {
		names[newName] = file
		delete(names, oldName)
	})
}

func (f *faultFS) Remove(name string) error {
	return f.changeNames(func(names map[string]*fileContent) { delete(names, name) })
}

func (f *faultFS) List() ([]string, error) {
	return slices.Collect(maps.Keys(f.names)), nil
}

func (f *faultFS) SyncFolder() error {
	if f.nextOperation() != noFault {
		return errFault
	}
	f.durable = maps.Clone(f.names)
	f.pendingChanges = nil
	return nil
}

type handle struct {
	fsys *faultFS
	file *fileContent
}

func (h *handle) Write(data []byte) (int, error) {
	kind := h.fsys.nextOperation()
	if kind == crash || kind == fullDisk {
		n := h.fsys.random.IntN(len(data) + 1)
		h.file.data = append(h.file.data, data[:n]...)
		return n, errFault
	}
	h.file.data = append(h.file.data, data...)
	return len(data), nil
}

func (h *handle) Sync() error {
	if h.fsys.nextOperation() != noFault {
		return errFault
	}
	h.file.synced = len(h.file.data)
	return nil
}

func (h *handle) Close() error { return nil }
