package replica

import "time"

// TransferLeadership starts to transfer the leadership to the active voter with the most advanced log. From then on
// this leader refuses proposals. TransferLeadership fails with ErrNotLeader or ErrNoSuccessor.
func (r *Replica) TransferLeadership(now time.Time) error {
	if r.phase != Leader {
		return ErrNotLeader
	}
	if r.leadership.successor != 0 {
		return nil
	}
	successor := ID(0)
	for _, member := range r.Members() {
		if member.Role != Voter || member.ID == r.self.ID || !r.isActive(now, member.ID, 1) {
			continue
		}
		if successor == 0 || r.matchIndex(member.ID) > r.matchIndex(successor) {
			successor = member.ID
		}
	}
	if successor == 0 {
		return ErrNoSuccessor
	}
	r.leadership.successor = successor
	r.leadership.transferStartedAt = now
	r.advanceTransfer(now)
	return nil
}

// advanceTransfer releases the lease and tells the successor to campaign once its log is complete. The leader never
// holds the lease again in this term.
func (r *Replica) advanceTransfer(now time.Time) {
	successor := r.leadership.successor
	if successor == 0 || r.leadership.leaseReleased {
		return
	}
	p, isMember := r.leadership.progress[successor]
	if !isMember {
		r.becomeFollower(now, r.hardState.Term, 0)
		return
	}
	if p.match == r.log.lastIndex() {
		r.leadership.leaseReleased = true
		r.send(successor, r.hardState.Term, CampaignNow{})
	}
}

func (r *Replica) transferOverdue(now time.Time) bool {
	return r.leadership.successor != 0 && !now.Before(r.leadership.transferStartedAt.Add(r.electionTimeout))
}
