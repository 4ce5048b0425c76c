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
	temporaryFiles atomic.Uint64
}

// Append buffers records until the next Sync.
func (j *Journal) Append(records ...[]byte) {
	j.pending = append(j.pending, records...)
}

// Sync writes all buffered records as one frame and makes them durable.
// If the write or the sync fails, this call and all later ones return ErrFailed.
func (j *Journal) Sync() error {
	if j.failure != nil {
		return j.failure
	}
	if len(j.pending) == 0 {
		return nil
	}
	frame := encodeFrame(j.frames, j.pending)
	if _, err := j.log.Write(frame); err != nil {
		return j.fail(err, "writing to the log")
	}
	if err := j.log.Sync(); err != nil {
		return j.fail(err, "syncing the log")
	}
	j.pending = j.pending[:0]
	j.size += int64(len(frame))
	j.frames++
	return nil
}

// Size returns the length of the log in bytes.
func (j *Journal) Size() int64 {
	return j.size
}

// Close closes the log and discards the records appended since the last Sync.
func (j *Journal) Close() error {
	if j.failure == nil {
		j.failure = fmt.Errorf("the journal is closed: %w", ErrFailed)
	}
	return j.log.Close()
}

// fail marks the journal as failed and returns the error that all later calls return.
func (j *Journal) fail(cause error, operation string) error {
	j.failure = fmt.Errorf("%s: %v: %w", operation, cause, ErrFailed)
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
