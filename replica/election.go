package replica

import "time"

// campaign starts a pre-vote or an election. A non-voter only sends pre-vote requests and ignores the votes. The leader
// learns the non-voter's address from them, and a non-voter of an older generation learns that it is superseded.
func (r *Replica) campaign(now time.Time, preVote, transfer bool) {
	if !r.Members().isVoter(r.self.ID) {
		if preVote {
			r.requestVotes(r.hardState.Term+1, true, false)
		}
		return
	}
	r.leader = 0
	r.votes = map[ID]bool{r.self.ID: true}
	term := r.hardState.Term + 1
	r.phase = PreCandidate
	if !preVote {
		r.phase = Candidate
		r.hardState.Term = term
		r.hardState.Vote = r.self.ID
	}
	r.requestVotes(term, preVote, transfer)
	r.countVotes(now)
}

// requestVotes sends a vote request to all other voters, and also to a voter's configured address if that differs from
// its last known one.
func (r *Replica) requestVotes(term uint64, preVote, transfer bool) {
	request := VoteRequest{PreVote: preVote, Transfer: transfer, LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm()}
	for _, member := range r.Members() {
		if member.Role == Voter && member.ID != r.self.ID {
			r.send(member.ID, term, request)
			if address, differs := r.configuredAddress(member); differs {
				r.sendTo(address, Message{To: member.ID, Term: term, Body: request})
			}
		}
	}
}

// countVotes ends the pre-vote or the election once a quorum has granted or refused it.
func (r *Replica) countVotes(now time.Time) {
	granted, refused := 0, 0
	for _, member := range r.Members() {
		vote, voted := r.votes[member.ID]
		switch {
		case member.Role != Voter || !voted:
		case vote:
			granted++
		default:
			refused++
		}
	}
	quorum := r.Members().Quorum()
	switch {
	case refused >= quorum:
		r.becomeFollower(now, r.hardState.Term, 0)
	case granted < quorum:
	case r.phase == PreCandidate:
		r.campaign(now, false, false)
	default:
		r.becomeLeader(now)
	}
}

// stepVoteRequest grants or refuses a vote. While a leader may hold a lease, it only forwards pre-votes, and answers
// only requests of a leadership transfer.
func (r *Replica) stepVoteRequest(now time.Time, m Message, request VoteRequest) {
	if r.leaderMayHoldLease(now) && !request.Transfer {
		r.forwardPreVote(m, request)
		return
	}
	if m.Term < r.hardState.Term {
		r.reply(m, VoteAnswer{PreVote: request.PreVote})
		return
	}
	upToDate := r.log.upToDate(request.LastIndex, request.LastTerm)
	if request.PreVote {
		r.replyPreVote(m, upToDate && m.Term > r.hardState.Term)
		return
	}
	if m.Term > r.hardState.Term {
		r.becomeFollower(now, m.Term, 0)
	}
	granted := upToDate && (r.hardState.Vote == 0 || r.hardState.Vote == m.From)
	if granted {
		r.hardState.Vote = m.From
		r.resetElectionTimer(now)
	}
	r.reply(m, VoteAnswer{Granted: granted})
}

// forwardPreVote forwards a pre-vote request to the leader. Its sender has lost contact with the leader, which learns
// the sender's current address from the request.
func (r *Replica) forwardPreVote(m Message, request VoteRequest) {
	leader, known := r.Members().FindByID(r.leader)
	if !request.PreVote || !known || r.phase != Follower || m.From == r.leader {
		return
	}
	m.To = leader.ID
	r.messages = append(r.messages, Outbound{Address: r.addressOf(leader), Message: m})
}

// replyPreVote replies with the requested term if the pre-vote is granted, and with the current term otherwise.
func (r *Replica) replyPreVote(m Message, granted bool) {
	term := r.hardState.Term
	if granted {
		term = m.Term
	}
	r.sendTo(m.ReplyTo, Message{To: m.From, Term: term, Body: VoteAnswer{PreVote: true, Granted: granted}})
}

// leaderMayHoldLease reports whether a leader may still hold a lease that relies on an answer of this replica.
func (r *Replica) leaderMayHoldLease(now time.Time) bool {
	return r.phase == Leader || now.Before(r.leaderContactAt.Add(r.electionTimeout))
}

func (r *Replica) stepVoteAnswer(now time.Time, m Message, answer VoteAnswer) {
	if answer.PreVote && answer.Granted {
		if r.phase == PreCandidate && m.Term == r.hardState.Term+1 {
			r.votes[m.From] = true
			r.countVotes(now)
		}
		return
	}
	if m.Term > r.hardState.Term {
		r.becomeFollower(now, m.Term, 0)
		return
	}
	expected := Candidate
	if answer.PreVote {
		expected = PreCandidate
	}
	if m.Term == r.hardState.Term && r.phase == expected {
		r.votes[m.From] = answer.Granted
		r.countVotes(now)
	}
}

// stepCampaignNow starts an election without a pre-vote when the leader transfers its leadership to this replica.
func (r *Replica) stepCampaignNow(now time.Time, m Message) {
	if m.Term == r.hardState.Term && r.phase == Follower && r.leader == m.From {
		r.campaign(now, false, true)
	}
}
