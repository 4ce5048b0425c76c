package replica

func (r *Replica) stepAppend(m Message, message Append) {
	r.installing = nil
	if message.PreviousIndex < r.commit {
		r.answer(m, AppendAnswer{Index: r.commit, Round: message.Round})
		return
	}
	term, held := r.log.term(message.PreviousIndex)
	if !held || term != message.PreviousTerm {
		r.answer(m, AppendAnswer{
			Rejected: true,
			Index:    message.PreviousIndex,
			Hint:     r.log.match(message.PreviousIndex-1, message.PreviousTerm),
			Round:    message.Round,
		})
		return
	}
	r.takeEntries(message.Entries)
	last := message.PreviousIndex + uint64(len(message.Entries))
	r.commit = max(r.commit, min(message.Commit, last))
	r.answer(m, AppendAnswer{Index: last, Round: message.Round})
}

// takeEntries appends what is missing; entries that differ from the leader's are dropped first.
func (r *Replica) takeEntries(entries []Entry) {
	for i, entry := range entries {
		term, held := r.log.term(entry.Index)
		if held && term == entry.Term {
			continue
		}
		if held {
			r.truncate(entry.Index - 1)
		}
		r.append(entries[i:]...)
		return
	}
}
