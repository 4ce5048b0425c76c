package control

import (
	"context"
	"time"

	"sapphirespread.example/internal/store"
)

// openRetryDelay is the time between attempts to open a data folder whose disk can't be written.
const openRetryDelay = 500 * time.Millisecond

// openStore opens the data folder. While its disk can't be written, it tries again until ctx ends, and then returns nil.
func (c *Control) openStore(ctx context.Context) (*store.Store, error) {
	logged := false
	logBytes := c.settings.Resources.Plan().Log
	for {
		opened, err := store.Open(c.storeSettings(), c.state, c.pool, c.peers, store.WithLogger(c.logger), store.WithSnapshotBytes(logBytes), store.WithRetainedBytes(logBytes))
		if err == nil || !store.IsDiskFault(err) {
			return opened, err
		}
		if !logged {
			c.logger.Error().Err(err).Msg("control: the data folder can't be opened; trying again until its disk can be written")
			logged = true
		}
		select {
		case <-time.After(openRetryDelay):
		case <-ctx.Done():
			return nil, nil
		}
	}
}
