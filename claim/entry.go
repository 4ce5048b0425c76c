package claim

import "time"

type entryState uint8

const (
	entryRunning entryState = iota + 1
	entryReleased
	entryFinished
)

// entry is the claim of one key. Times are in nanoseconds since the Unix epoch. expiresAt is 0 for an untimed key.
type entry struct {
	key         Key
	attempt     string
	requestHash [32]byte
	claimedAt   int64
	expiresAt   int64
	sequence    uint64
	outcome     *storedOutcome
	state       entryState
	removed     bool
}

type storedOutcome struct {
	Outcome
	sequence uint64
}

func (e *entry) assign(at time.Time, attempt string, requestHash [32]byte) {
	e.attempt = attempt
	e.requestHash = requestHash
	e.claimedAt = at.UnixNano()
	e.state = entryRunning
}

func (e *entry) timed() bool {
	return e.expiresAt != 0
}
