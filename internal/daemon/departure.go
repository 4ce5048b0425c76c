package daemon

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/membership/departure"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
)

const (
	// departureTimeout leaves time for the acknowledgement, which a backend server awaits for a second.
	departureTimeout = 800 * time.Millisecond
	// departureRetryPeriod is the pause before a departure is sent again, to another leader perhaps.
	departureRetryPeriod = 50 * time.Millisecond
)

// Deregister withdraws the announcement of the process of name that started at startedAt, zero if unknown, and records the
// departure at control, so that a restart of this daemon doesn't bring the process back into use. It returns an error if
// the departure was not recorded in time.
func (d *Daemon) Deregister(ctx context.Context, name string, startedAt time.Time) error {
	if !validName(name) || startsInFuture(startedAt) {
		return nil // no such process
	}
	d.withdraw(name, startedAt)
	leaving, pending := d.backend.departure()
	if leaving.Target != name {
		// Control may know the process from an earlier run of this daemon.
		return d.recordDeparture(ctx, departure.Departure{Target: name, StartedAt: startedAt, Phase: departure.Left})
	}
	if !pending {
		return nil
	}
	return d.recordDeparture(ctx, leaving)
}

// RecordDeparture records at control that the backend server drains or has left, if it does, so that a restart of this
// daemon doesn't forget it. It returns an error if the departure was not recorded in time.
func (d *Daemon) RecordDeparture(ctx context.Context) error {
	leaving, pending := d.backend.departure()
	if !pending {
		return nil
	}
	return d.recordDeparture(ctx, leaving)
}

func (d *Daemon) recordDeparture(ctx context.Context, leaving departure.Departure) error {
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	for !d.link.recordDeparture(ctx, leaving) {
		if !sleep(ctx, departureRetryPeriod) {
			d.logger.Warn().Str("target", leaving.Target).Msg("daemon: departure not recorded in time")
			return errorx.TimeoutElapsed.New("recording the departure of %q: no answer of control", leaving.Target)
		}
	}
	d.backend.setRecorded(leaving)
	d.logger.Info().Str("target", leaving.Target).Bool("left", leaving.Phase == departure.Left).Msg("daemon: departure recorded")
	return nil
}

// recordDeparture asks control to record a departure and reports whether it has.
func (l *link) recordDeparture(ctx context.Context, leaving departure.Departure) bool {
	if l.currentLeader() == "" {
		return false
	}
	encoded := message.EncodeDeparture(leaving)
	encoded.Id = l.lastID.Add(1)
	_, err := l.roundTrip(ctx, encoded.GetId(), &peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Departure{Departure: encoded}})
	return err == nil
}
