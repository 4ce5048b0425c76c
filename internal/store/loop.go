package store

import (
	"context"
	"fmt"
	"time"

	"sapphirespread.example/replica"
)

const maxBatch = 4096

// run takes one event and all that wait behind it, then does what the replica asks for.
func (s *Store) run(ctx context.Context) {
	defer close(s.done)
	defer s.cancel()
	defer s.beat.Stop()
	for ctx.Err() == nil {
		s.takeEvent(ctx)
		s.takeWaiting()
		if err := s.settle(ctx); err != nil {
			s.failure = fmt.Errorf("running the store: %w", err)
			s.logger.Error().Err(err).Msg("store: stopped by a failure")
			break
		}
	}
	s.view.Store(&view{term: s.view.Load().term, applied: s.view.Load().applied})
	s.notify()
	s.waiting.failAll(ErrUnavailable)
	s.finishSnapshot()
}

func (s *Store) takeEvent(ctx context.Context) {
	select {
	case <-ctx.Done():
	case m := <-s.links.inbox:
		s.replica.Step(s.now(), m)
	case r := <-s.requests:
		s.takeRequest(r)
	case reply := <-s.statuses:
		reply <- s.status()
	case reply := <-s.transfers:
		reply <- s.replica.TransferLeadership(s.now())
	case <-s.snapshots.taken:
		s.replica.SetApplyPaused(false)
	case written := <-s.snapshots.written:
		s.snapshotArrived(written)
	case <-s.beat.C:
		s.takeMessages()
		s.replica.Tick(s.now())
	}
}

func (s *Store) takeWaiting() {
	s.takeMessages()
	for range maxBatch {
		select {
		case r := <-s.requests:
			s.takeRequest(r)
		default:
			return
		}
	}
}

func (s *Store) takeMessages() {
	for range maxBatch {
		select {
		case m := <-s.links.inbox:
			s.replica.Step(s.now(), m)
		default:
			return
		}
	}
}

func (s *Store) takeRequest(r *request) {
	index, term, err := r.extend(s.now())
	if err != nil {
		r.finish(nil, err)
		return
	}
	s.waiting.add(index, term, r)
}

// settle persists, sends and applies until the replica asks for nothing more.
func (s *Store) settle(ctx context.Context) error {
	for {
		s.publish(s.now())
		ready := s.replica.Ready()
		if ready.Empty() {
			if err := s.replica.SupersededError(); err != nil {
				return err
			}
			return s.compact()
		}
		if err := s.handle(ctx, ready); err != nil {
			return err
		}
		s.replica.Advance(s.now(), ready)
	}
}

func (s *Store) handle(ctx context.Context, ready replica.Ready) error {
	s.links.send(ctx, ready.Immediate)
	if ready.Snapshot != nil {
		if err := s.install(*ready.Snapshot); err != nil {
			return err
		}
	}
	if err := s.disk.persist(ready); err != nil {
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
		s.waiting.applied(entry.Index, entry.Term, results[i])
	}
}

// publish shows the replica's state to other goroutines before any message that follows from it is sent.
func (s *Store) publish(now time.Time) {
	leader, known := s.replica.Leader()
	until, leased := s.replica.LeaseUntil(now)
	previous := s.view.Load()
	next := &view{
		leader:     leader,
		known:      known,
		leading:    s.replica.Phase() == replica.Leader,
		leased:     leased,
		leaseUntil: until,
		term:       s.replica.HardState().Term,
		cluster:    s.replica.HardState().Cluster,
		generation: s.replica.HardState().Lineage.Generation,
		applied:    s.replica.Applied(),
		members:    s.replica.Members(),
		snapshots:  s.snapshots.installs,
	}
	s.view.Store(next)
	if previous.leading && (!next.leading || next.term != previous.term) {
		s.waiting.failAll(fmt.Errorf("losing the leadership of term %d: %w", previous.term, ErrUnavailable))
	}
	if previous.leading != next.leading {
		s.logger.Info().Bool("leading", next.leading).Uint64("term", next.term).Msg("store: leadership changed")
	}
	if !next.sameTo(previous) {
		s.notify()
	}
}

func (s *Store) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

func (s *Store) status() Status {
	return Status{
		Status:        s.replica.Status(s.now()),
		LogBytes:      s.disk.journal.Size(),
		SnapshotBytes: s.disk.snapshot,
	}
}
