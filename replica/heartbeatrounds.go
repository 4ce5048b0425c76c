package replica

import "time"

// heartbeatRounds records when the latest rounds of heartbeats were sent.
type heartbeatRounds struct {
	latest uint64
	sentAt [retainedRounds]time.Time
}

func (r *heartbeatRounds) start(now time.Time) {
	r.latest++
	r.sentAt[r.latest%retainedRounds] = now
}

// timeSent returns when a round was sent, or false if the round is unknown or too old.
func (r *heartbeatRounds) timeSent(round uint64) (time.Time, bool) {
	if round == 0 || round > r.latest || r.latest-round >= retainedRounds {
		return time.Time{}, false
	}
	return r.sentAt[round%retainedRounds], true
}
