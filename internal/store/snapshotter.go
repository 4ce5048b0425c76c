package store

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

// snapshotter writes one snapshot at a time beside the loop.
type snapshotter struct {
	// taken receives once the machine's state has been read.
	taken   chan struct{}
	written chan writtenSnapshot
	writing bool
	ready   *writtenSnapshot
	// retryAt is the length of the log at which a failed snapshot is tried again.
	retryAt  int64
	installs uint64
}

type writtenSnapshot struct {
	snapshot replica.Snapshot
	file     *journal.StagedSnapshot
	size     int64
	err      error
}

func newSnapshotter() snapshotter {
	return snapshotter{taken: make(chan struct{}, 1), written: make(chan writtenSnapshot, 1)}
}

func (s *snapshotter) arrived(written writtenSnapshot) {
	s.writing = false
	s.ready = &written
}

// compact puts a written snapshot in force, or starts to write one where the log has grown long.
func (s *Store) compact() error {
	if written := s.snapshots.ready; written != nil {
		s.snapshots.ready = nil
		return s.rotate(*written)
	}
	length := s.disk.journal.Size()
	if s.snapshots.writing || length < max(s.snapshotBytes, s.snapshots.retryAt, 2*s.disk.snapshot) {
		return nil
	}
	s.startSnapshot()
	return nil
}

// startSnapshot reads and writes the state beside the loop; commands wait to be applied while it is read.
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
	s.snapshots.taken <- struct{}{}
	if err != nil {
		return writtenSnapshot{err: fmt.Errorf("taking snapshot %d: %w", snapshot.Index, err)}
	}
	snapshot.Body = body
	return s.write(snapshot)
}

// finishSnapshot waits for a snapshot that is being taken or written.
func (s *Store) finishSnapshot() {
	if s.snapshots.writing {
		s.snapshotArrived(<-s.snapshots.written)
	}
}

func (s *Store) snapshotArrived(written writtenSnapshot) {
	s.snapshots.arrived(written)
	select {
	case <-s.snapshots.taken:
	default:
	}
	s.replica.SetApplyPaused(false)
}

func (s *Store) write(snapshot replica.Snapshot) writtenSnapshot {
	encoded, err := proto.Marshal(replica.EncodeSnapshot(snapshot))
	if err != nil {
		return writtenSnapshot{err: err}
	}
	file, err := s.disk.journal.WriteSnapshot(encoded)
	return writtenSnapshot{snapshot: snapshot, file: file, size: int64(len(encoded)), err: err}
}

// rotate keeps the old log where the snapshot could not be written, and tries again when that has grown.
func (s *Store) rotate(written writtenSnapshot) error {
	err := written.err
	if err == nil {
		index := written.snapshot.Index
		err = s.disk.rotate(written.file, written.size, s.replica.HardState(), s.replica.EntriesAfter(index))
	}
	if errors.Is(err, journal.ErrFailed) {
		return err
	}
	if err != nil {
		s.snapshots.retryAt = s.disk.journal.Size() + s.snapshotBytes
		s.logger.Warn().Err(err).Msg("store: snapshot failed, the log grows on")
		return nil
	}
	s.snapshots.retryAt = 0
	s.replica.Compact(written.snapshot)
	return nil
}

// install replaces the state by a leader's snapshot; one being written here is dropped.
func (s *Store) install(snapshot replica.Snapshot) error {
	s.finishSnapshot()
	if ready := s.snapshots.ready; ready != nil && ready.err == nil {
		s.disk.journal.Discard(ready.file)
	}
	s.snapshots.ready = nil
	written := s.write(snapshot)
	if written.err != nil {
		return fmt.Errorf("installing snapshot %d: %w", snapshot.Index, written.err)
	}
	if err := s.disk.rotate(written.file, written.size, s.replica.HardState(), nil); err != nil {
		return fmt.Errorf("installing snapshot %d: %w", snapshot.Index, err)
	}
	s.machineLock.Lock()
	defer s.machineLock.Unlock()
	if err := s.machine.Restore(snapshot.Body); err != nil {
		return fmt.Errorf("restoring snapshot %d: %w", snapshot.Index, err)
	}
	s.snapshots.installs++
	return nil
}
