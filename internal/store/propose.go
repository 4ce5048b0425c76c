package store

import (
	"context"
	"fmt"
	"time"
)

// Propose returns the result of a command once it is committed and applied by this leader.
// ErrUnavailable means that the outcome is unknown; any other error that the command is never applied.
func (s *Store) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, fmt.Errorf("proposing %d bytes, at most %d are taken: %w", len(command), MaxCommandBytes, ErrTooLarge)
	}
	return s.submit(ctx, func(now time.Time) (index, term uint64, err error) {
		return s.replica.Propose(now, command)
	})
}

// AddLearner adds the announced empty instance with a name; it fails as replica.Replica.AddLearner does.
func (s *Store) AddLearner(ctx context.Context, name string) error {
	_, err := s.submit(ctx, func(now time.Time) (index, term uint64, err error) {
		return s.replica.AddLearner(now, name)
	})
	return err
}

// Promote makes a learner that has caught up a voter; it fails as replica.Replica.Promote does.
func (s *Store) Promote(ctx context.Context, name string) error {
	_, err := s.submit(ctx, func(now time.Time) (index, term uint64, err error) {
		return s.replica.Promote(now, name)
	})
	return err
}

// Remove takes a member out of the cluster; it fails as replica.Replica.Remove does.
func (s *Store) Remove(ctx context.Context, name string) error {
	_, err := s.submit(ctx, func(now time.Time) (index, term uint64, err error) {
		return s.replica.Remove(now, name)
	})
	return err
}

// Status returns the instance's view of the cluster, or the zero Status once the store has stopped.
func (s *Store) Status() Status {
	reply := make(chan Status, 1)
	select {
	case s.statuses <- reply:
		return <-reply
	case <-s.done:
		return Status{}
	}
}

func (s *Store) submit(ctx context.Context, extend func(time.Time) (index, term uint64, err error)) ([]byte, error) {
	if !s.view.Load().leading {
		return nil, ErrNotLeader
	}
	r := newRequest(extend)
	select {
	case s.requests <- r:
	case <-s.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting to propose: %v: %w", ctx.Err(), ErrBusy)
	}
	select {
	case a := <-r.answer:
		return a.result, a.err
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting for the commit: %v: %w", ctx.Err(), ErrUnavailable)
	case <-s.done:
		return nil, fmt.Errorf("waiting for the commit: the store has stopped: %w", ErrUnavailable)
	}
}
