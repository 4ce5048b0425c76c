package replica

import "time"

// campaign asks for votes, or first whether they would be given. One that does not vote asks only that, in vain,
// so that a leader learns where it is and one of an older generation is told.
func (r *Replica) campaign(now time.Time, preVote, transfer bool) {
	if !r.Members().votes(r.self.ID) {
		if preVote {
			r.requestVotes(r.hard.Term+1, true, false)
		}
		return
	}
	r.leader = 0
	r.votes = map[ID]bool{r.self.ID: true}
	term := r.hard.Term + 1
	r.phase = PreCandidate
	if !preVote {
		r.phase = Candidate
		r.hard.Term = term
		r.hard.Vote = r.self.ID
	}
	r.requestVotes(term, preVote, transfer)
	r.countVotes(now)
}

func (r *Replica) requestVotes(term uint64, preVote, transfer bool) {
	request := VoteRequest{PreVote: preVote, Transfer: transfer, LastIndex: r.log.last(), LastTerm: r.log.lastTerm()}
	for _, member := range r.Members() {
		if member.Role == Voter && member.ID != r.self.ID {
			r.send(member.ID, term, request)
			if address, other := r.configuredAddress(member); other {
				r.sendTo(address, Message{To: member.ID, Term: term, Body: request})
			}
		}
	}
}

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
		r.follow(now, r.hard.Term, 0)
	case granted < quorum:
	case r.phase == PreCandidate:
		r.campaign(now, false, false)
	default:
		r.lead(now)
	}
}

func (r *Replica) stepVoteRequest(now time.Time, m Message, request VoteRequest) {
	if r.keepsLeader(now) && !request.Transfer {
		r.tellLeader(m, request)
		return
	}
	if m.Term < r.hard.Term {
		r.answer(m, VoteAnswer{PreVote: request.PreVote})
		return
	}
	upToDate := r.log.upToDate(request.LastIndex, request.LastTerm)
	if request.PreVote {
		r.answerPreVote(m, upToDate && m.Term > r.hard.Term)
		return
	}
	if m.Term > r.hard.Term {
		r.follow(now, m.Term, 0)
	}
	granted := upToDate && (r.hard.Vote == 0 || r.hard.Vote == m.From)
	if granted {
		r.hard.Vote = m.From
		r.deferElection(now)
	}
	r.answer(m, VoteAnswer{Granted: granted})
}

// tellLeader passes on the question of a member that does not hear the leader, so that the leader learns where it is.
func (r *Replica) tellLeader(m Message, request VoteRequest) {
	leader, known := r.Members().Find(r.leader)
	if !request.PreVote || !known || r.phase != Follower || m.From == r.leader {
		return
	}
	m.To = leader.ID
	r.messages = append(r.messages, Outbound{Address: r.addressOf(leader), Message: m})
}

// answerPreVote carries the asked term where the vote would be given, and the own term otherwise.
func (r *Replica) answerPreVote(m Message, granted bool) {
	term := r.hard.Term
	if granted {
		term = m.Term
	}
	r.sendTo(m.ReplyTo, Message{To: m.From, Term: term, Body: VoteAnswer{PreVote: true, Granted: granted}})
}

// keepsLeader reports whether a leader may still hold a lease that this replica's answer has extended.
func (r *Replica) keepsLeader(now time.Time) bool {
	return r.phase == Leader || now.Before(r.heardAt.Add(r.electionTimeout))
}

func (r *Replica) stepVoteAnswer(now time.Time, m Message, answer VoteAnswer) {
	if answer.PreVote && answer.Granted {
		if r.phase == PreCandidate && m.Term == r.hard.Term+1 {
			r.votes[m.From] = true
			r.countVotes(now)
		}
		return
	}
	if m.Term > r.hard.Term {
		r.follow(now, m.Term, 0)
		return
	}
	expected := Candidate
	if answer.PreVote {
		expected = PreCandidate
	}
	if m.Term == r.hard.Term && r.phase == expected {
		r.votes[m.From] = answer.Granted
		r.countVotes(now)
	}
}

func (r *Replica) stepCampaignNow(now time.Time, m Message) {
	if m.Term == r.hard.Term && r.phase == Follower && r.leader == m.From {
		r.campaign(now, false, true)
	}
}
