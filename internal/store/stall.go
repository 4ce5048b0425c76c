package store

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

const (
	minDiskRetryDelay = 50 * time.Millisecond
	maxDiskRetryDelay = time.Second
)

// IsDiskFault reports whether opening a store failed because the disk refused a write, which may pass.
func IsDiskFault(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EIO)
}

// errDiskStalled reports that a proposal is not taken because the disk can't be written.
var errDiskStalled = fmt.Errorf("the disk can't be written: %w", ErrBusy)

// persist writes the hard state and the entries of a Ready. While the disk can't be written, for example because it is
// full, the instance neither sends nor handles any message, as if it were frozen: it grants no vote, and its lease ends
// by time. It returns an error if the journal can't be repaired, and the error of ctx if that ends first.
func (s *Store) persist(ctx context.Context, ready replica.Ready) error {
	return s.retryWhileStalled(ctx, func() error { return s.disk.persist(ready) }, s.disk.retryPersist)
}

// retryWhileStalled calls attempt, and after a failure of the disk calls retry with increasing delays until it succeeds.
func (s *Store) retryWhileStalled(ctx context.Context, attempt, retry func() error) error {
	err := attempt()
	if err == nil || !s.canRetry(err) {
		return err
	}
	stalledAt := s.now()
	s.logger.Error().Err(err).Msg("store: the disk can't be written; this instance takes no part until it can")
	s.pending.failAll(fmt.Errorf("writing to the log: %w", ErrUnavailable))
	for delay := minDiskRetryDelay; err != nil; delay = min(2*delay, maxDiskRetryDelay) {
		if err := s.waitWhileStalled(ctx, delay); err != nil {
			return err
		}
		if err = retry(); err != nil && !s.canRetry(err) {
			return err
		}
	}
	s.logger.Info().Dur("stalled-ms", s.now().Sub(stalledAt)).Msg("store: the disk can be written again")
	return nil
}

// canRetry reports whether the cause of err may pass. A journal that failed while it was rotated stays failed.
func (s *Store) canRetry(err error) bool {
	return !errors.Is(err, journal.ErrCorrupt) && (!errors.Is(err, journal.ErrFailed) || s.disk.journal.Repairable())
}

// waitWhileStalled discards messages and answers requests for delay, or returns the error of ctx if that ends first.
func (s *Store) waitWhileStalled(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-s.links.inbox:
		case r := <-s.requests:
			r.complete(nil, errDiskStalled)
		case reply := <-s.statuses:
			reply <- s.status()
		case reply := <-s.transfers:
			reply <- errDiskStalled
		}
	}
}
