package claim

import "time"

type entryState uint8

const (
	entryRunning entryState = iota + 1
	entryReleased
	entryFinished
)

// entry is one key of the book. Times are in nanoseconds since the Unix epoch; expiresAt is 0 for a key without
// a time.
type entry struct {
	key       Key
	attempt   string
	hash      [32]byte
	claimedAt int64
	expiresAt int64
	sequence  uint64
	outcome   *storedOutcome
	state     entryState
	dropped   bool
}

type storedOutcome struct {
	Outcome
	sequence uint64
}

func (e *entry) take(at time.Time, attempt string, hash [32]byte) {
	e.attempt = attempt
	e.hash = hash
	e.claimedAt = at.UnixNano()
	e.state = entryRunning
}

func (e *entry) timed() bool {
	return e.expiresAt != 0
}
