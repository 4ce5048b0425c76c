package claim

import "time"

// clockAllowance is how far a caller's clock may be ahead of the log's for its lost claims to be recognized.
const clockAllowance = time.Minute

// doubt tells which keys may have been won in entries that a forced recovery has lost.
type doubt struct {
	// timedUntil is the latest time of such keys that carry one.
	timedUntil time.Time
	// untimedUntil is when resends of such keys without a time are no longer expected.
	untimedUntil time.Time
}

// Recover tells that claims before at may have been lost. A key that may be one of them is never won: it is answered
// as finished with an unknown outcome. Keys without a time can't be told apart; all that the book does not hold are
// answered so for the retention, or not at all with runUntimed.
func (b *Book) Recover(at time.Time, runUntimed bool) {
	at = b.advance(at)
	b.doubt.timedUntil = at.Add(clockAllowance)
	if !runUntimed {
		b.doubt.untimedUntil = at.Add(b.retention)
	}
}

// inDoubt reports whether a key that the book holds no claim of may have been won by a lost one.
func (b *Book) inDoubt(at time.Time, k Key) bool {
	if keyTime, timed := k.Time(); timed && !keyTime.After(at.Add(b.margin)) {
		return !keyTime.After(b.doubt.timedUntil)
	}
	return at.Before(b.doubt.untimedUntil)
}

func encodeDoubtTime(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func decodeDoubtTime(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}
