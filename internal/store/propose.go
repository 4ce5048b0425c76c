package store

import (
	"context"
	"fmt"
	"time"
)

// Propose proposes a command and returns its result after this leader has committed and applied it.
// ErrUnavailable means that the outcome is unknown. Any other error means that the command is never applied.
func (s *Store) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, fmt.Errorf("proposing %d bytes, at most %d are taken: %w", len(command), MaxCommandBytes, ErrTooLarge)
	}
	return s.submit(ctx, func(now time.Time) (index, term uint64, err error) {
		return s.replica.Propose(now, command)
	})
}

// AddLearner adds the announced empty instance with the given name and returns the errors of
// replica.Replica.AddLearner.
func (s *Store) AddLearner(ctx context.Context, name string) error {
	_, err := s.submit(ctx, func(now time.Time) (index, term uint64, err error) {
		return s.replica.AddLearner(now, name)
	})
	return err
}

// Promote makes a learner that has caught up a voter and returns the errors of replica.Replica.Promote.
func (s *Store) Promote(ctx context.Context, name string) error {
	_, err := s.submit(ctx, func(now time.Time) (index, term uint64, err error) {
		return s.replica.Promote(now, name)
	})
	return err
}

// Remove removes a member from the cluster and returns the errors of replica.Replica.Remove.
func (s *Store) Remove(ctx context.Context, name string) error {
	_, err := s.submit(ctx, func(now time.Time) (index, term uint64, err error) {
		return s.replica.Remove(now, name)
	})
	return err
}

// Status returns the current status of the instance, or the zero Status after the store has stopped.
func (s *Store) Status() Status {
	reply := make(chan Status, 1)
	select {
	case s.statuses <- reply:
		return <-reply
	case <-s.done:
		return Status{}
	}
}

func (s *Store) submit(ctx context.Context, appendEntry func(time.Time) (index, term uint64, err error)) ([]byte, error) {
	if !s.view.Load().leading {
		return nil, ErrNotLeader
	}
	r := newRequest(appendEntry)
	select {
	case s.requests <- r:
	case <-s.done:
		return nil, ErrStopped
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting to propose: %v: %w", ctx.Err(), ErrBusy)
	}
	select {
	case response := <-r.response:
		return response.result, response.err
	case <-ctx.Done():
		return nil, fmt.Errorf("waiting for the commit: %v: %w", ctx.Err(), ErrUnavailable)
	case <-s.done:
		return nil, fmt.Errorf("waiting for the commit: the store has stopped: %w", ErrUnavailable)
	}
}
