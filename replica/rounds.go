package replica

import "time"

// rounds remembers when the newest rounds of heartbeats were sent.
type rounds struct {
	latest uint64
	sentAt [roundsKept]time.Time
}

func (r *rounds) start(now time.Time) {
	r.latest++
	r.sentAt[r.latest%roundsKept] = now
}

// sent returns when a round was sent, or false where that is no longer known.
func (r *rounds) sent(round uint64) (time.Time, bool) {
	if round == 0 || round > r.latest || r.latest-round >= roundsKept {
		return time.Time{}, false
	}
	return r.sentAt[round%roundsKept], true
}
