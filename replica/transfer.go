package replica

import "time"

// Transfer hands the leadership to the most advanced active voter; proposals are refused from now on.
// It fails with ErrNotLeader or ErrNoSuccessor.
func (r *Replica) Transfer(now time.Time) error {
	if r.phase != Leader {
		return ErrNotLeader
	}
	if r.leading.successor != 0 {
		return nil
	}
	best := ID(0)
	for _, member := range r.Members() {
		if member.Role != Voter || member.ID == r.self.ID || !r.active(now, member.ID, 1) {
			continue
		}
		if best == 0 || r.matchOf(member.ID) > r.matchOf(best) {
			best = member.ID
		}
	}
	if best == 0 {
		return ErrNoSuccessor
	}
	r.leading.successor = best
	r.leading.transferAt = now
	r.succeed(now)
	return nil
}

// succeed gives up the lease for good and asks the successor to campaign once its log is whole.
func (r *Replica) succeed(now time.Time) {
	successor := r.leading.successor
	if successor == 0 || r.leading.abdicated {
		return
	}
	p, member := r.leading.progress[successor]
	if !member {
		r.follow(now, r.hard.Term, 0)
		return
	}
	if p.match == r.log.last() {
		r.leading.abdicated = true
		r.send(successor, r.hard.Term, CampaignNow{})
	}
}

func (r *Replica) transferOverdue(now time.Time) bool {
	return r.leading.successor != 0 && !now.Before(r.leading.transferAt.Add(r.electionTimeout))
}
