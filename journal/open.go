package journal

import (
	"fmt"
	"slices"
	"strings"
)

// Recovered is the content of a journal when it was opened.
type Recovered struct {
	// New is true if the folder contained no journal.
	New bool
	// Snapshot is the body of the current snapshot, or empty before the first rotation.
	Snapshot []byte
	// Records are the records of the log in the order in which they were appended.
	Records [][]byte
	// TruncatedBytes is the size in bytes of a torn last frame. Open removes it from the log.
	TruncatedBytes int64
}

// Open recovers the journal in fsys, or creates it if there is none.
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
	removeOtherGenerations(fsys, names, logName(generation), current)
	return j, recovered, nil
}

// Read returns the same content as Open, but does not modify fsys.
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

// recover reads the generation, truncates a torn last frame and opens the log for appending.
func (j *Journal) recover() (Recovered, error) {
	recovered, err := j.read()
	if err != nil {
		return recovered, err
	}
	log := logName(j.generation)
	if recovered.TruncatedBytes > 0 {
		if err := j.fsys.Truncate(log, j.size); err != nil {
			return recovered, fmt.Errorf("truncating the torn last frame of %s: %w", log, err)
		}
	}
	if j.log, err = j.fsys.Append(log); err != nil {
		return recovered, fmt.Errorf("opening %s: %w", log, err)
	}
	return recovered, j.syncRecovered()
}

// read reads and checks the files of the generation and sets the size and the number of frames of the log.
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
	recovered.TruncatedBytes = int64(len(data)) - j.size
	return recovered, nil
}

// syncRecovered syncs the log and the folder, because a process that was killed may have written data without syncing
// it.
func (j *Journal) syncRecovered() error {
	if err := j.log.Sync(); err != nil {
		return fmt.Errorf("syncing the log: %w", err)
	}
	if err := j.fsys.SyncFolder(); err != nil {
		return fmt.Errorf("syncing the data folder: %w", err)
	}
	return nil
}

// initialize creates generation 0. It returns ErrCorrupt if there is a log with records, since its snapshot is missing.
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
			return nil, Recovered{}, fmt.Errorf("reading %s: the log has records, but its snapshot is missing: %w", name, ErrCorrupt)
		}
	}
	j := &Journal{fsys: fsys}
	log, size, err := createLog(fsys, logName(0), nil)
	if err != nil {
		return nil, Recovered{}, fmt.Errorf("creating the first log: %w", err)
	}
	j.log = log
	j.size = size
	if err := j.installFirstSnapshot(); err != nil {
		_ = log.Close()
		return nil, Recovered{}, err
	}
	return j, Recovered{New: true}, nil
}

// installFirstSnapshot writes an empty snapshot and renames it into place.
func (j *Journal) installFirstSnapshot() error {
	written, err := j.WriteSnapshot(nil)
	if err != nil {
		return err
	}
	if err := j.fsys.Rename(written.name, snapshotName(0)); err != nil {
		return fmt.Errorf("renaming the first snapshot: %w", err)
	}
	if err := j.fsys.SyncFolder(); err != nil {
		return fmt.Errorf("syncing the data folder: %w", err)
	}
	return nil
}

// latestSnapshot returns the name of the snapshot file of the highest generation, or "" if there is none.
func latestSnapshot(names []string) string {
	latest := ""
	for _, name := range names {
		if strings.HasPrefix(name, "snapshot-") && !strings.HasSuffix(name, ".tmp") {
			latest = max(latest, name)
		}
	}
	return latest
}

// removeOtherGenerations removes all journal files except those to keep. It ignores errors, because leftover files are
// harmless.
func removeOtherGenerations(fsys FS, names []string, keep ...string) {
	for _, name := range names {
		isJournalFile := strings.HasPrefix(name, "log-") || strings.HasPrefix(name, "snapshot-")
		if isJournalFile && !slices.Contains(keep, name) {
			_ = fsys.Remove(name)
		}
	}
}
