package store

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

// snapshotter is the state of the snapshot that is written in the background. At most one is written at a time.
type snapshotter struct {
	// stateRead receives a value after the state of the machine has been read.
	stateRead chan struct{}
	written   chan writtenSnapshot
	writing   bool
	pending   *writtenSnapshot
	// retryLogBytes is the size of the log from which on a failed snapshot is retried.
	retryLogBytes int64
	installed     uint64
}

type writtenSnapshot struct {
	snapshot replica.Snapshot
	file     *journal.StagedSnapshot
	size     int64
	err      error
}

func newSnapshotter() snapshotter {
	return snapshotter{stateRead: make(chan struct{}, 1), written: make(chan writtenSnapshot, 1)}
}

func (s *snapshotter) recordWritten(written writtenSnapshot) {
	s.writing = false
	s.pending = &written
}

// compactLog rotates the log to a written snapshot. Without one, it starts a snapshot if the log has grown large
// enough.
func (s *Store) compactLog() error {
	if written := s.snapshots.pending; written != nil {
		s.snapshots.pending = nil
		return s.rotateLog(*written)
	}
	logBytes := s.disk.journal.Size()
	if s.snapshots.writing || logBytes < max(s.snapshotBytes, s.snapshots.retryLogBytes, 2*s.disk.snapshotBytes) {
		return nil
	}
	s.startSnapshot()
	return nil
}

// startSnapshot reads the state of the machine and writes it in the background. No commands are applied while the state
// is read.
func (s *Store) startSnapshot() {
	snapshot, ok := s.replica.AppliedSnapshot()
	if !ok {
		return
	}
	s.snapshots.writing = true
	s.replica.SetApplyPaused(true)
	go func() { s.snapshots.written <- s.takeSnapshot(snapshot) }()
}

func (s *Store) takeSnapshot(snapshot replica.Snapshot) writtenSnapshot {
	s.machineLock.RLock()
	body, err := s.machine.Snapshot()
	s.machineLock.RUnlock()
	s.snapshots.stateRead <- struct{}{}
	if err != nil {
		return writtenSnapshot{err: fmt.Errorf("taking snapshot %d: %w", snapshot.Index, err)}
	}
	snapshot.Body = body
	return s.writeSnapshot(snapshot)
}

// waitForSnapshot waits for the snapshot that is being taken or written, if any.
func (s *Store) waitForSnapshot() {
	if s.snapshots.writing {
		s.handleWrittenSnapshot(<-s.snapshots.written)
	}
}

func (s *Store) handleWrittenSnapshot(written writtenSnapshot) {
	s.snapshots.recordWritten(written)
	select {
	case <-s.snapshots.stateRead:
	default:
	}
	s.replica.SetApplyPaused(false)
}

func (s *Store) writeSnapshot(snapshot replica.Snapshot) writtenSnapshot {
	encoded, err := proto.Marshal(replica.EncodeSnapshot(snapshot))
	if err != nil {
		return writtenSnapshot{err: err}
	}
	file, err := s.disk.journal.WriteSnapshot(encoded)
	return writtenSnapshot{snapshot: snapshot, file: file, size: int64(len(encoded)), err: err}
}

// rotateLog activates a written snapshot and starts a new log. If the snapshot failed, it keeps the current log and
// retries after that has grown by snapshotBytes. It returns an error only if the journal has failed.
func (s *Store) rotateLog(written writtenSnapshot) error {
	err := written.err
	if err == nil {
		index := written.snapshot.Index
		err = s.disk.rotate(written.file, written.size, s.replica.HardState(), s.replica.EntriesAfter(index))
	}
	if errors.Is(err, journal.ErrFailed) {
		return err
	}
	if err != nil {
		s.snapshots.retryLogBytes = s.disk.journal.Size() + s.snapshotBytes
		s.logger.Warn().Err(err).Msg("store: snapshot failed, keeping the current log")
		return nil
	}
	s.snapshots.retryLogBytes = 0
	s.replica.Compact(written.snapshot)
	return nil
}

// installSnapshot replaces the state by a snapshot of the leader and discards a local snapshot that is being written.
func (s *Store) installSnapshot(ctx context.Context, snapshot replica.Snapshot) error {
	s.waitForSnapshot()
	if ready := s.snapshots.pending; ready != nil && ready.err == nil {
		s.disk.journal.Discard(ready.file)
	}
	s.snapshots.pending = nil
	store := func() error { return s.storeSnapshot(snapshot) }
	if err := s.retryWhileStalled(ctx, store, store); err != nil {
		return fmt.Errorf("installing snapshot %d: %w", snapshot.Index, err)
	}
	s.machineLock.Lock()
	defer s.machineLock.Unlock()
	if err := s.machine.Restore(snapshot.Body); err != nil {
		return fmt.Errorf("restoring snapshot %d: %w", snapshot.Index, err)
	}
	s.snapshots.installed++
	return nil
}

// storeSnapshot writes a snapshot and starts a new log that follows it.
func (s *Store) storeSnapshot(snapshot replica.Snapshot) error {
	written := s.writeSnapshot(snapshot)
	if written.err != nil {
		return written.err
	}
	return s.disk.rotate(written.file, written.size, s.replica.HardState(), nil)
}
