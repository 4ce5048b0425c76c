package journal

import (
	"fmt"
	"slices"
	"strings"
)

// Recovered is what a journal held when it was opened.
type Recovered struct {
	// New is true where the folder held no journal.
	New bool
	// Snapshot is the body of the snapshot in force, empty before the first one.
	Snapshot []byte
	// Records are those of the log, in order.
	Records [][]byte
	// CutBytes counts the bytes of a torn last frame that were cut off.
	CutBytes int64
}

// Open recovers the journal in fsys, or creates one where there is none.
func Open(fsys FS) (*Journal, Recovered, error) {
	names, err := fsys.List()
	if err != nil {
		return nil, Recovered{}, fmt.Errorf("listing the data folder: %w", err)
	}
	current := latestSnapshot(names)
	if current == "" {
		return initialize(fsys, names)
	}
	generation, err := parseGeneration(current)
	if err != nil {
		return nil, Recovered{}, err
	}
	j := &Journal{fsys: fsys, generation: generation}
	recovered, err := j.recover()
	if err != nil {
		return nil, Recovered{}, err
	}
	removeOthers(fsys, names, logName(generation), current)
	return j, recovered, nil
}

// Read returns what Open would, and changes nothing.
func Read(fsys FS) (Recovered, error) {
	names, err := fsys.List()
	if err != nil {
		return Recovered{}, fmt.Errorf("listing the data folder: %w", err)
	}
	current := latestSnapshot(names)
	if current == "" {
		return Recovered{New: true}, nil
	}
	generation, err := parseGeneration(current)
	if err != nil {
		return Recovered{}, err
	}
	j := &Journal{fsys: fsys, generation: generation}
	return j.read()
}

func (j *Journal) recover() (Recovered, error) {
	recovered, err := j.read()
	if err != nil {
		return recovered, err
	}
	log := logName(j.generation)
	if recovered.CutBytes > 0 {
		if err := j.fsys.Truncate(log, j.size); err != nil {
			return recovered, fmt.Errorf("cutting the torn end of %s: %w", log, err)
		}
	}
	if j.log, err = j.fsys.Append(log); err != nil {
		return recovered, fmt.Errorf("opening %s: %w", log, err)
	}
	return recovered, j.settle()
}

// read checks the files of the generation and counts what of the log is whole.
func (j *Journal) read() (Recovered, error) {
	recovered := Recovered{}
	data, err := j.fsys.Read(snapshotName(j.generation))
	if err != nil {
		return recovered, fmt.Errorf("reading the snapshot: %w", err)
	}
	if recovered.Snapshot, err = decodeSnapshot(snapshotName(j.generation), data); err != nil {
		return recovered, err
	}
	log := logName(j.generation)
	data, err = j.fsys.Read(log)
	if err != nil {
		return recovered, fmt.Errorf("reading %s: %v: %w", log, err, ErrCorrupt)
	}
	if err := checkFileHeader(log, data); err != nil {
		return recovered, err
	}
	records, size, frames, err := decodeFrames(data[fileHeaderSize:], fileHeaderSize)
	if err != nil {
		return recovered, fmt.Errorf("reading %s: %w", log, err)
	}
	recovered.Records = records
	j.size = int64(fileHeaderSize + size)
	j.frames = frames
	recovered.CutBytes = int64(len(data)) - j.size
	return recovered, nil
}

// settle syncs what a killed process may have left written but not synced.
func (j *Journal) settle() error {
	if err := j.log.Sync(); err != nil {
		return fmt.Errorf("syncing the log: %w", err)
	}
	if err := j.fsys.SyncFolder(); err != nil {
		return fmt.Errorf("syncing the data folder: %w", err)
	}
	return nil
}

// initialize creates generation 0; a log with records but without its snapshot is corrupt.
func initialize(fsys FS, names []string) (*Journal, Recovered, error) {
	for _, name := range names {
		if !strings.HasPrefix(name, "log-") {
			continue
		}
		data, err := fsys.Read(name)
		if err != nil {
			return nil, Recovered{}, fmt.Errorf("reading %s: %w", name, err)
		}
		if len(data) > fileHeaderSize {
			return nil, Recovered{}, fmt.Errorf("reading %s: its snapshot is missing: %w", name, ErrCorrupt)
		}
	}
	j := &Journal{fsys: fsys}
	log, size, err := createLog(fsys, logName(0), nil)
	if err != nil {
		return nil, Recovered{}, fmt.Errorf("creating the first log: %w", err)
	}
	j.log = log
	j.size = size
	if err := j.placeFirstSnapshot(); err != nil {
		_ = log.Close()
		return nil, Recovered{}, err
	}
	return j, Recovered{New: true}, nil
}

func (j *Journal) placeFirstSnapshot() error {
	written, err := j.WriteSnapshot(nil)
	if err != nil {
		return err
	}
	if err := j.fsys.Rename(written.name, snapshotName(0)); err != nil {
		return fmt.Errorf("placing the first snapshot: %w", err)
	}
	if err := j.fsys.SyncFolder(); err != nil {
		return fmt.Errorf("syncing the data folder: %w", err)
	}
	return nil
}

func latestSnapshot(names []string) string {
	latest := ""
	for _, name := range names {
		if strings.HasPrefix(name, "snapshot-") && !strings.HasSuffix(name, ".tmp") {
			latest = max(latest, name)
		}
	}
	return latest
}

// removeOthers deletes the journal's files of other generations; one that stays does no harm.
func removeOthers(fsys FS, names []string, keep ...string) {
	for _, name := range names {
		own := strings.HasPrefix(name, "log-") || strings.HasPrefix(name, "snapshot-")
		if own && !slices.Contains(keep, name) {
			_ = fsys.Remove(name)
		}
	}
}
