package replica

import (
	"slices"
	"time"
)

// LeaseUntil returns until when no other replica can lead, and false where this one may not answer reads.
//
// The lease starts when the leader sent the heartbeat that a quorum has answered. Voters keep to the
// leader for an election timeout from when that heartbeat arrived, which is later.
func (r *Replica) LeaseUntil(now time.Time) (time.Time, bool) {
	if r.phase != Leader || r.leading.abdicated || r.applied < r.leading.firstIndex {
		return time.Time{}, false
	}
	start, ok := r.quorumAnsweredAt(now)
	if !ok {
		return time.Time{}, false
	}
	margin := time.Duration(float64(r.electionTimeout) * ClockRateMargin)
	return start.Add(r.electionTimeout - margin), true
}

// quorumAnsweredAt returns the newest time of sending that a quorum of voters has answered.
func (r *Replica) quorumAnsweredAt(now time.Time) (time.Time, bool) {
	var answered []time.Time
	for _, member := range r.Members() {
		if member.Role != Voter {
			continue
		}
		if member.ID == r.self.ID {
			answered = append(answered, now)
		} else if p := r.leading.progress[member.ID]; !p.leaseAt.IsZero() {
			answered = append(answered, p.leaseAt)
		}
	}
	quorum := r.Members().Quorum()
	if len(answered) < quorum {
		return time.Time{}, false
	}
	slices.SortFunc(answered, func(a, b time.Time) int { return b.Compare(a) })
	return answered[quorum-1], true
}

// Lease reports whether this replica may answer reads at now as the only leader.
func (r *Replica) Lease(now time.Time) bool {
	until, ok := r.LeaseUntil(now)
	return ok && now.Before(until)
}

func (r *Replica) credit(now time.Time, p *progress, round uint64) {
	p.heardAt = now
	if sentAt, known := r.leading.rounds.sent(round); known && sentAt.After(p.leaseAt) {
		p.leaseAt = sentAt
	}
}
