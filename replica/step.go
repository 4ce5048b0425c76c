package replica

import "time"

// Step handles a message that arrived at now.
func (r *Replica) Step(now time.Time, m Message) {
	if r.hardState.SupersededBy != 0 || r.stepFormation(now, m) || r.stepOtherGeneration(now, m) {
		return
	}
	if m.To != r.self.ID || !r.acceptCluster(m) {
		return
	}
	r.learnAddress(m)
	switch body := m.Body.(type) {
	case VoteRequest:
		r.stepVoteRequest(now, m, body)
		return
	case VoteAnswer:
		r.stepVoteAnswer(now, m, body)
		return
	}
	if m.Term < r.hardState.Term {
		r.rejectStaleTerm(m)
		return
	}
	r.stepCurrentTerm(now, m)
}

// acceptCluster reports whether a message belongs to this replica's cluster. An empty replica joins the cluster of the
// first leader that contacts it.
func (r *Replica) acceptCluster(m Message) bool {
	if m.Cluster == 0 {
		return false
	}
	if r.hardState.Cluster != 0 {
		return m.Cluster == r.hardState.Cluster
	}
	switch m.Body.(type) {
	case Append, SnapshotPiece, Heartbeat:
		r.hardState.Cluster = m.Cluster
		r.hardState.Lineage = m.Lineage
		return true
	default:
		return false
	}
}

// rejectStaleTerm replies to a leader of an older term, which steps down when it receives the newer term.
func (r *Replica) rejectStaleTerm(m Message) {
	switch m.Body.(type) {
	case Append, SnapshotPiece, Heartbeat:
		r.reply(m, AppendAnswer{Rejected: true})
	}
}

// stepCurrentTerm handles messages of the current or a newer term.
func (r *Replica) stepCurrentTerm(now time.Time, m Message) {
	switch body := m.Body.(type) {
	case Append:
		r.acceptLeader(now, m)
		r.stepAppend(m, body)
	case Heartbeat:
		r.acceptLeader(now, m)
		r.reply(m, HeartbeatAnswer(body))
	case SnapshotPiece:
		r.acceptLeader(now, m)
		r.stepSnapshotPiece(m, body)
	case CampaignNow:
		r.stepCampaignNow(now, m)
	default:
		r.stepAnswer(now, m)
	}
}

// acceptLeader follows the sender of a message that only a leader sends.
func (r *Replica) acceptLeader(now time.Time, m Message) {
	if m.Term > r.hardState.Term || r.phase != Follower || r.leader != m.From {
		r.becomeFollower(now, m.Term, m.From)
	}
	r.recordLeaderContact(now)
}

func (r *Replica) stepAnswer(now time.Time, m Message) {
	if m.Term > r.hardState.Term {
		r.becomeFollower(now, m.Term, 0)
		return
	}
	if r.phase != Leader {
		return
	}
	switch body := m.Body.(type) {
	case AppendAnswer:
		r.stepAppendAnswer(now, m.From, body)
	case HeartbeatAnswer:
		r.stepHeartbeatAnswer(now, m.From, body)
	case SnapshotAnswer:
		r.stepSnapshotAnswer(now, m.From, body)
	}
}

// reply sends a message to the sender of m at its reply address, because the sender may be a member that this replica
// doesn't know yet.
func (r *Replica) reply(m Message, body Body) {
	r.sendTo(m.ReplyTo, Message{To: m.From, Term: r.hardState.Term, Body: body})
}

// Tick founds or joins a cluster, sends heartbeats and starts elections when they are due at now. The caller must call
// it at least once a heartbeat interval.
func (r *Replica) Tick(now time.Time) {
	if r.hardState.SupersededBy != 0 {
		return
	}
	if r.hardState.Cluster == 0 {
		r.tickWithoutCluster(now)
		return
	}
	if r.phase == Leader {
		r.tickLeader(now)
		return
	}
	if !now.Before(r.electionDeadline) {
		r.resetElectionTimer(now)
		r.campaign(now, true, false)
		if r.openMembershipSize > 0 || len(r.Members()) == 0 {
			r.announce()
		}
	}
}
