package replica

import "time"

// Step takes a message that arrived at now.
func (r *Replica) Step(now time.Time, m Message) {
	if r.hard.Superseded != 0 || r.stepUnaddressed(now, m) || r.stepOtherGeneration(now, m) {
		return
	}
	if m.To != r.self.ID || !r.admits(m) {
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
	if m.Term < r.hard.Term {
		r.refuseOldTerm(m)
		return
	}
	r.stepCurrentTerm(now, m)
}

// admits reports whether a message belongs to this replica's cluster; an empty replica enters that of a leader.
func (r *Replica) admits(m Message) bool {
	if m.Cluster == 0 {
		return false
	}
	if r.hard.Cluster != 0 {
		return m.Cluster == r.hard.Cluster
	}
	switch m.Body.(type) {
	case Append, SnapshotPiece, Heartbeat:
		r.hard.Cluster = m.Cluster
		r.hard.Lineage = m.Lineage
		return true
	default:
		return false
	}
}

func (r *Replica) refuseOldTerm(m Message) {
	switch m.Body.(type) {
	case Append, SnapshotPiece, Heartbeat:
		r.answer(m, AppendAnswer{Rejected: true})
	}
}

func (r *Replica) stepCurrentTerm(now time.Time, m Message) {
	switch body := m.Body.(type) {
	case Append:
		r.hearLeader(now, m)
		r.stepAppend(m, body)
	case Heartbeat:
		r.hearLeader(now, m)
		r.answer(m, HeartbeatAnswer(body))
	case SnapshotPiece:
		r.hearLeader(now, m)
		r.stepSnapshotPiece(m, body)
	case CampaignNow:
		r.stepCampaignNow(now, m)
	default:
		r.stepAnswer(now, m)
	}
}

func (r *Replica) hearLeader(now time.Time, m Message) {
	if m.Term > r.hard.Term || r.phase != Follower || r.leader != m.From {
		r.follow(now, m.Term, m.From)
	}
	r.heard(now)
}

func (r *Replica) stepAnswer(now time.Time, m Message) {
	if m.Term > r.hard.Term {
		r.follow(now, m.Term, 0)
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

// answer replies to the sender, which may be no member that this replica knows yet.
func (r *Replica) answer(m Message, body Body) {
	r.sendTo(m.ReplyTo, Message{To: m.From, Term: r.hard.Term, Body: body})
}

// Tick acts on the passing of time; it is called at least once a heartbeat interval.
func (r *Replica) Tick(now time.Time) {
	if r.hard.Superseded != 0 {
		return
	}
	if r.hard.Cluster == 0 {
		r.tickEmpty(now)
		return
	}
	if r.phase == Leader {
		r.tickLeader(now)
		return
	}
	if !now.Before(r.electionAt) {
		r.deferElection(now)
		r.campaign(now, true, false)
		if r.openSize > 0 || len(r.Members()) == 0 {
			r.announceAgain()
		}
	}
}
