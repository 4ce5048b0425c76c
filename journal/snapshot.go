package journal

import "fmt"

// A WrittenSnapshot is a snapshot that lasts but is not yet in force.
type WrittenSnapshot struct {
	name string
}

// WriteSnapshot writes and syncs a snapshot beside the current generation; it may run while records are appended.
func (j *Journal) WriteSnapshot(body []byte) (*WrittenSnapshot, error) {
	name := temporaryName(j.temporary.Add(1))
	if err := writeFile(j.fsys, name, encodeSnapshotHeader(body), body); err != nil {
		_ = j.fsys.Remove(name)
		return nil, fmt.Errorf("writing a snapshot: %w", err)
	}
	return &WrittenSnapshot{name: name}, nil
}

// Rotate starts a generation from a written snapshot whose log begins with records.
// Where it fails before the snapshot is in place the old generation stays in use.
func (j *Journal) Rotate(snapshot *WrittenSnapshot, records ...[]byte) error {
	if j.failure != nil {
		return j.failure
	}
	if len(j.pending) > 0 {
		return fmt.Errorf("rotating the log: %w", ErrUnsynced)
	}
	next := j.generation + 1
	log, size, err := createLog(j.fsys, logName(next), records)
	if err != nil {
		j.Discard(snapshot)
		_ = j.fsys.Remove(logName(next))
		return fmt.Errorf("creating log %d: %w", next, err)
	}
	if err := j.fsys.Rename(snapshot.name, snapshotName(next)); err != nil {
		_ = log.Close()
		return j.fail(err, "renaming a snapshot")
	}
	if err := j.fsys.SyncFolder(); err != nil {
		_ = log.Close()
		return j.fail(err, "syncing the data folder")
	}
	j.retire()
	j.log = log
	j.generation = next
	j.size = size
	j.frames = frameCount(records)
	return nil
}

// Discard removes a written snapshot that is not put in force.
func (j *Journal) Discard(snapshot *WrittenSnapshot) {
	_ = j.fsys.Remove(snapshot.name)
}

// retire removes the files of the current generation; what stays is removed at the next Open.
func (j *Journal) retire() {
	_ = j.log.Close()
	_ = j.fsys.Remove(logName(j.generation))
	_ = j.fsys.Remove(snapshotName(j.generation))
}

// createLog writes a log with one frame of records, whose content and name last.
func createLog(fsys FS, name string, records [][]byte) (File, int64, error) {
	log, err := fsys.Create(name)
	if err != nil {
		return nil, 0, err
	}
	content := encodeFileHeader()
	if len(records) > 0 {
		content = append(content, encodeFrame(0, records)...)
	}
	if err := writeAndSync(log, content); err != nil {
		_ = log.Close()
		return nil, 0, err
	}
	if err := fsys.SyncFolder(); err != nil {
		_ = log.Close()
		return nil, 0, err
	}
	return log, int64(len(content)), nil
}

func frameCount(records [][]byte) uint64 {
	if len(records) == 0 {
		return 0
	}
	return 1
}

func writeFile(fsys FS, name string, parts ...[]byte) error {
	file, err := fsys.Create(name)
	if err != nil {
		return err
	}
	err = writeAndSync(file, parts...)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

func writeAndSync(file File, parts ...[]byte) error {
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			return err
		}
	}
	return file.Sync()
}
