package store

import (
	"context"
	"fmt"
)

// Transfer transfers the leadership to another voter and returns after this instance has lost the leadership.
// It returns replica.ErrNoSuccessor if no voter can take over.
func (s *Store) Transfer(ctx context.Context) error {
	reply := make(chan error, 1)
	select {
	case s.transfers <- reply:
	case <-s.done:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("asking for a transfer: %v: %w", ctx.Err(), ErrUnavailable)
	}
	if err := <-reply; err != nil {
		return err
	}
	poll := s.settings.Heartbeat / 2
	for s.view.Load().leading {
		sleep(ctx, poll)
		if ctx.Err() != nil {
			return fmt.Errorf("waiting for a successor: %v: %w", ctx.Err(), ErrUnavailable)
		}
	}
	return nil
}
