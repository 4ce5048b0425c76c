package journal

import "fmt"

// A StagedSnapshot is a synced snapshot file that Rotate has not made current yet.
type StagedSnapshot struct {
	name string
}

// WriteSnapshot writes a snapshot to a temporary file and syncs it. It may run concurrently with other calls.
func (j *Journal) WriteSnapshot(body []byte) (*StagedSnapshot, error) {
	name := temporaryName(j.temporaryFiles.Add(1))
	if err := writeFile(j.fsys, name, encodeSnapshotHeader(body), body); err != nil {
		_ = j.fsys.Remove(name)
		return nil, fmt.Errorf("writing a snapshot: %w", err)
	}
	return &StagedSnapshot{name: name}, nil
}

// Rotate starts the next generation with a written snapshot and a log that begins with records.
// If the new log cannot be created, Rotate discards the snapshot and the current generation stays in use. If renaming
// the snapshot or syncing the folder fails, the journal fails with ErrFailed.
func (j *Journal) Rotate(snapshot *StagedSnapshot, records ...[]byte) error {
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
		return fmt.Errorf("creating the log of generation %d: %w", next, err)
	}
	if err := j.fsys.Rename(snapshot.name, snapshotName(next)); err != nil {
		_ = log.Close()
		return j.fail(err, "renaming the snapshot")
	}
	if err := j.fsys.SyncFolder(); err != nil {
		_ = log.Close()
		return j.fail(err, "syncing the data folder")
	}
	j.removeCurrentFiles()
	j.log = log
	j.generation = next
	j.size = size
	j.frames = frameCount(records)
	return nil
}

// Discard removes a written snapshot that will not be used by Rotate.
func (j *Journal) Discard(snapshot *StagedSnapshot) {
	_ = j.fsys.Remove(snapshot.name)
}

// removeCurrentFiles closes the log and removes the files of the current generation. The next Open removes any file
// that remains after an error.
func (j *Journal) removeCurrentFiles() {
	_ = j.log.Close()
	_ = j.fsys.Remove(logName(j.generation))
	_ = j.fsys.Remove(snapshotName(j.generation))
}

// createLog creates a log that contains the given records as one frame, if any, and makes its content and name durable.
// It returns the open log and its size in bytes.
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

// frameCount returns the number of frames that createLog writes for records.
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
