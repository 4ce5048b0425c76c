package store

import (
	"context"
	"fmt"
	"time"

	"sapphirespread.example/replica"
)

const maxBatchEvents = 4096

// run is the event loop. Each iteration handles one event and the queued requests and messages, and then processes the
// resulting work of the replica.
func (s *Store) run(ctx context.Context) {
	defer close(s.done)
	defer s.cancel()
	defer s.ticker.Stop()
	for ctx.Err() == nil {
		s.handleEvent(ctx)
		s.handleQueuedEvents()
		if err := s.processReady(ctx); err != nil && ctx.Err() == nil {
			s.failure = fmt.Errorf("running the store: %w", err)
			s.logger.Error().Err(err).Msg("store: stopped by a failure")
			break
		}
	}
	s.view.Store(&view{term: s.view.Load().term, applied: s.view.Load().applied})
	s.notifyChanged()
	s.pending.failAll(ErrUnavailable)
	s.waitForSnapshot()
}

func (s *Store) handleEvent(ctx context.Context) {
	select {
	case <-ctx.Done():
	case m := <-s.links.inbox:
		s.replica.Step(s.now(), m)
	case r := <-s.requests:
		s.handleRequest(r)
	case reply := <-s.statuses:
		reply <- s.status()
	case reply := <-s.transfers:
		reply <- s.replica.TransferLeadership(s.now())
	case <-s.snapshots.stateRead:
		s.replica.SetApplyPaused(false)
	case written := <-s.snapshots.written:
		s.handleWrittenSnapshot(written)
	case <-s.ticker.C:
		s.handleQueuedMessages()
		s.replica.Tick(s.now())
	}
}

func (s *Store) handleQueuedEvents() {
	s.handleQueuedMessages()
	for range maxBatchEvents {
		select {
		case r := <-s.requests:
			s.handleRequest(r)
		default:
			return
		}
	}
}

func (s *Store) handleQueuedMessages() {
	for range maxBatchEvents {
		select {
		case m := <-s.links.inbox:
			s.replica.Step(s.now(), m)
		default:
			return
		}
	}
}

func (s *Store) handleRequest(r *request) {
	index, term, err := r.appendEntry(s.now())
	if err != nil {
		r.complete(nil, err)
		return
	}
	s.pending.add(index, term, r)
}

// processReady persists entries, sends messages and applies commands until the replica has no more work, and then
// compacts the log.
func (s *Store) processReady(ctx context.Context) error {
	for {
		s.publishView(s.now())
		ready := s.replica.Ready()
		if ready.Empty() {
			if err := s.replica.SupersededError(); err != nil {
				return err
			}
			return s.compactLog()
		}
		if err := s.handleReady(ctx, ready); err != nil {
			return err
		}
		s.replica.Advance(s.now(), ready)
	}
}

func (s *Store) handleReady(ctx context.Context, ready replica.Ready) error {
	s.links.send(ctx, ready.Immediate)
	if ready.Snapshot != nil {
		if err := s.installSnapshot(ctx, *ready.Snapshot); err != nil {
			return err
		}
	}
	if err := s.persist(ctx, ready); err != nil {
		return err
	}
	s.links.send(ctx, ready.Messages)
	s.apply(ready.Committed)
	return nil
}

func (s *Store) apply(entries []replica.Entry) {
	if len(entries) == 0 {
		return
	}
	results := make([][]byte, len(entries))
	s.machineLock.Lock()
	for i, entry := range entries {
		if entry.Kind == replica.CommandEntry {
			results[i] = s.machine.Apply(entry.At, entry.Index, entry.Command)
		}
	}
	s.machineLock.Unlock()
	for i, entry := range entries {
		s.pending.resolve(entry.Index, entry.Term, results[i])
	}
}

// publishView updates the view that other goroutines read. It runs before the messages that result from the new state
// are sent.
func (s *Store) publishView(now time.Time) {
	leader, known := s.replica.Leader()
	leaseUntil, leased := s.replica.LeaseUntil(now)
	previous := s.view.Load()
	next := &view{
		leader:             leader,
		leaderKnown:        known,
		leading:            s.replica.Phase() == replica.Leader,
		hasLease:           leased,
		leaseUntil:         leaseUntil,
		term:               s.replica.HardState().Term,
		cluster:            s.replica.HardState().Cluster,
		generation:         s.replica.HardState().Lineage.Generation,
		applied:            s.replica.Applied(),
		members:            s.replica.Members(),
		installedSnapshots: s.snapshots.installed,
		heldBytes:          s.replica.HeldBytes(),
	}
	s.view.Store(next)
	if previous.leading && (!next.leading || next.term != previous.term) {
		s.pending.failAll(fmt.Errorf("losing the leadership of term %d: %w", previous.term, ErrUnavailable))
	}
	if previous.leading != next.leading {
		s.logger.Info().Bool("leading", next.leading).Uint64("term", next.term).Msg("store: leadership changed")
	}
	if !next.equivalentTo(previous) {
		s.notifyChanged()
	}
}

func (s *Store) notifyChanged() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Store) status() Status {
	return Status{
		Status:        s.replica.Status(s.now()),
		LogBytes:      s.disk.journal.Size(),
		SnapshotBytes: s.disk.snapshotBytes,
	}
}
