package journal

import (
	"fmt"
	"sync/atomic"
)

// A Journal appends records to the log of the current generation. WriteSnapshot may run concurrently with other calls.
// All other methods require external synchronization.
type Journal struct {
	fsys           FS
	generation     uint64
	log            File
	size           int64
	frames         uint64
	pending        [][]byte
	failure        error
	repairable     bool
	temporaryFiles atomic.Uint64
}

// Append buffers records until the next Sync.
func (j *Journal) Append(records ...[]byte) {
	j.pending = append(j.pending, records...)
}

// Sync writes all buffered records as one frame and makes them durable.
// If the write or the sync fails, this call and all later ones return ErrFailed until Repair has succeeded. The buffered
// records are kept.
func (j *Journal) Sync() error {
	if j.failure != nil {
		return j.failure
	}
	if len(j.pending) == 0 {
		return nil
	}
	frame := encodeFrame(j.frames, j.pending)
	if _, err := j.log.Write(frame); err != nil {
		return j.failSync(err, "writing to the log")
	}
	if err := j.log.Sync(); err != nil {
		return j.failSync(err, "syncing the log")
	}
	j.pending = j.pending[:0]
	j.size += int64(len(frame))
	j.frames++
	return nil
}

// failSync marks the journal as failed by a frame that Repair can cut off.
func (j *Journal) failSync(cause error, operation string) error {
	j.repairable = true
	return j.fail(cause, operation)
}

// Repairable reports whether Repair may make the journal usable again.
func (j *Journal) Repairable() bool {
	return j.failure != nil && j.repairable
}

// Repair cuts off the frame that the last Sync could not make durable, so that the next Sync can write it again. The
// frame is not read back: after a failed sync, the operating system may return bytes that are not on the disk. A journal
// that failed in Rotate or was closed can't be repaired.
func (j *Journal) Repair() error {
	if !j.repairable {
		return j.failure
	}
	_ = j.log.Close()
	name := logName(j.generation)
	if err := j.fsys.Truncate(name, j.size); err != nil {
		return fmt.Errorf("cutting off the failed frame of %s: %w", name, err)
	}
	log, err := j.fsys.Append(name)
	if err != nil {
		return fmt.Errorf("opening %s: %w", name, err)
	}
	j.log, j.failure, j.repairable = log, nil, false
	return nil
}

// Size returns the length of the log in bytes.
func (j *Journal) Size() int64 {
	return j.size
}

// Close closes the log and discards the records appended since the last Sync.
func (j *Journal) Close() error {
	j.repairable = false
	if j.failure == nil {
		j.failure = fmt.Errorf("the journal is closed: %w", ErrFailed)
	}
	return j.log.Close()
}

// fail marks the journal as failed and returns the error that all later calls return.
func (j *Journal) fail(cause error, operation string) error {
	j.failure = fmt.Errorf("%s: %w: %w", operation, cause, ErrFailed)
	return j.failure
}

func logName(generation uint64) string {
	return fmt.Sprintf("log-%016x", generation)
}

func snapshotName(generation uint64) string {
	return fmt.Sprintf("snapshot-%016x", generation)
}

func temporaryName(number uint64) string {
	return fmt.Sprintf("snapshot-%016x.tmp", number)
}
