package replica

import (
	"slices"
	"time"
)

// LeaseUntil returns when the lease of this replica ends or has ended, or false if it holds none. Until then no other
// replica can become leader, and this one may answer reads.
//
// The lease starts when the leader sent the latest heartbeat that a quorum has answered. Voters refuse to elect
// another leader for an election timeout after they received that heartbeat, which is later.
func (r *Replica) LeaseUntil(now time.Time) (time.Time, bool) {
	if r.phase != Leader || r.leadership.leaseReleased || r.appliedIndex < r.leadership.firstIndex {
		return time.Time{}, false
	}
	start, ok := r.quorumSentAt(now)
	if !ok {
		return time.Time{}, false
	}
	margin := time.Duration(float64(r.electionTimeout) * ClockRateMargin)
	return start.Add(r.electionTimeout - margin), true
}

// quorumSentAt returns when the latest heartbeat that a quorum of voters has answered was sent, or false if there is
// none.
func (r *Replica) quorumSentAt(now time.Time) (time.Time, bool) {
	var sentTimes []time.Time
	for _, member := range r.Members() {
		if member.Role != Voter {
			continue
		}
		if member.ID == r.self.ID {
			sentTimes = append(sentTimes, now)
		} else if p := r.leadership.progress[member.ID]; !p.leaseStart.IsZero() {
			sentTimes = append(sentTimes, p.leaseStart)
		}
	}
	quorum := r.Members().Quorum()
	if len(sentTimes) < quorum {
		return time.Time{}, false
	}
	slices.SortFunc(sentTimes, func(a, b time.Time) int { return b.Compare(a) })
	return sentTimes[quorum-1], true
}

// HoldsLease reports whether this replica holds the leader lease at now, and so may answer reads.
func (r *Replica) HoldsLease(now time.Time) bool {
	until, ok := r.LeaseUntil(now)
	return ok && now.Before(until)
}

// recordContact records an answer of a member and the time when the answered round of heartbeats was sent.
func (r *Replica) recordContact(now time.Time, p *progress, round uint64) {
	p.lastContactAt = now
	if sentAt, known := r.leadership.rounds.timeSent(round); known && sentAt.After(p.leaseStart) {
		p.leaseStart = sentAt
	}
}
