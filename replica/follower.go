package replica

// stepAppend appends the leader's entries if the previous entry matches, and otherwise replies with a hint at the
// highest index that may match.
func (r *Replica) stepAppend(m Message, message Append) {
	r.incoming = nil
	if message.PreviousIndex < r.commitIndex {
		r.reply(m, AppendAnswer{Index: r.commitIndex, Round: message.Round})
		return
	}
	term, held := r.log.termAt(message.PreviousIndex)
	if !held || term != message.PreviousTerm {
		r.reply(m, AppendAnswer{
			Rejected: true,
			Index:    message.PreviousIndex,
			Hint:     r.log.findConflictByTerm(message.PreviousIndex-1, message.PreviousTerm),
			Round:    message.Round,
		})
		return
	}
	r.mergeEntries(message.Entries)
	last := message.PreviousIndex + uint64(len(message.Entries))
	r.commitIndex = max(r.commitIndex, min(message.Commit, last))
	r.reply(m, AppendAnswer{Index: last, Round: message.Round})
}

// mergeEntries appends the entries that the log lacks. It first removes the log's entries from the first conflict on.
func (r *Replica) mergeEntries(entries []Entry) {
	for i, entry := range entries {
		term, held := r.log.termAt(entry.Index)
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
