package replica

import (
	"net/netip"
	"slices"
	"time"
)

func (r *Replica) heartbeatAll(now time.Time) {
	r.leading.rounds.start(now)
	r.leading.heartbeatAt = now.Add(r.heartbeat)
	for _, member := range r.Members() {
		if p, ok := r.leading.progress[member.ID]; ok {
			r.heartbeatOne(member, p)
			r.seek(now, member)
		}
	}
}

// heartbeatOne sends at least one message, and again what may have been lost.
func (r *Replica) heartbeatOne(member Member, p *progress) {
	p.paused = false
	if p.transfer != nil {
		r.sendPrompt(member, Heartbeat{Round: r.leading.rounds.latest})
		p.transfer.waiting = false
	}
	before := len(r.prompt)
	r.replicateTo(member, p)
	if len(r.prompt) == before {
		r.sendAppend(member, p, nil)
	}
}

// replicateAll sends what the window of each member allows.
func (r *Replica) replicateAll() {
	for _, member := range r.Members() {
		if p, ok := r.leading.progress[member.ID]; ok {
			r.replicateTo(member, p)
		}
	}
}

func (r *Replica) replicateTo(member Member, p *progress) {
	if p.transfer == nil && p.next <= r.log.baseIndex {
		p.transfer = &transfer{snapshot: r.snapshot}
	}
	if p.transfer != nil {
		r.sendPiece(member, p.transfer)
		return
	}
	for !p.full() && p.next <= r.log.last() {
		entries := r.log.from(p.next, r.log.last(), r.appendBytes)
		r.sendAppend(member, p, entries)
		if p.probing {
			p.paused = true
			return
		}
		p.next += uint64(len(entries))
		p.inFlight = append(p.inFlight, p.next-1)
	}
}

func (r *Replica) sendAppend(member Member, p *progress, entries []Entry) {
	previous := p.next - 1
	term, held := r.log.term(previous)
	if !held {
		return
	}
	r.sendPrompt(member, Append{
		PreviousIndex: previous,
		PreviousTerm:  term,
		Entries:       entries,
		Commit:        r.commit,
		Round:         r.leading.rounds.latest,
	})
}

func (r *Replica) sendPiece(member Member, t *transfer) {
	if t.waiting {
		return
	}
	t.waiting = true
	total := uint64(len(t.snapshot.Body))
	end := min(t.offset+uint64(r.pieceBytes), total)
	piece := t.snapshot
	piece.Body = t.snapshot.Body[t.offset:end]
	r.sendPrompt(member, SnapshotPiece{Snapshot: piece, Offset: t.offset, Total: total, Round: r.leading.rounds.latest})
}

func (r *Replica) sendPrompt(member Member, body Body) {
	r.sendPromptTo(r.addressOf(member), member, body)
}

func (r *Replica) sendPromptTo(address netip.AddrPort, member Member, body Body) {
	r.prompt = append(r.prompt, Outbound{Address: address, Message: Message{
		From: r.self.ID, To: member.ID, ReplyTo: r.self.Address,
		Cluster: r.hard.Cluster, Lineage: r.hard.Lineage, Term: r.hard.Term, Body: body,
	}})
}

func (r *Replica) stepAppendAnswer(now time.Time, from ID, answer AppendAnswer) {
	p, ok := r.leading.progress[from]
	if !ok {
		return
	}
	r.credit(now, p, answer.Round)
	member, _ := r.Members().Find(from)
	if answer.Rejected {
		if p.rejected(answer.Index, answer.Hint) {
			r.replicateTo(member, p)
		}
		return
	}
	if answer.Index > r.log.last() {
		return
	}
	if p.transfer != nil && answer.Index >= p.transfer.snapshot.Index {
		p.transfer = nil
	}
	if p.matched(answer.Index) {
		r.advanceCommit(now)
	}
	if r.phase == Leader {
		r.replicateTo(member, p)
		r.succeed(now)
	}
}

func (r *Replica) stepHeartbeatAnswer(now time.Time, from ID, answer HeartbeatAnswer) {
	if p, ok := r.leading.progress[from]; ok {
		r.credit(now, p, answer.Round)
	}
}

func (r *Replica) stepSnapshotAnswer(now time.Time, from ID, answer SnapshotAnswer) {
	p, ok := r.leading.progress[from]
	if !ok {
		return
	}
	r.credit(now, p, answer.Round)
	if p.transfer == nil || p.transfer.snapshot.Index != answer.Index || answer.Next > uint64(len(p.transfer.snapshot.Body)) {
		return
	}
	advanced := answer.Next > p.transfer.offset
	p.transfer.offset = answer.Next
	if !advanced {
		return
	}
	p.transfer.waiting = false
	member, _ := r.Members().Find(from)
	r.replicateTo(member, p)
}

// advanceCommit commits what a quorum of voters has persisted in this leader's term.
func (r *Replica) advanceCommit(now time.Time) {
	var matches []uint64
	for _, member := range r.Members() {
		if member.Role == Voter {
			matches = append(matches, r.matchOf(member.ID))
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.Members().Quorum()]
	term, held := r.log.term(index)
	if index <= r.commit || !held || term != r.hard.Term {
		return
	}
	r.commit = index
	if _, member := r.Members().Find(r.self.ID); !member && r.configurations.latest().index <= r.commit {
		r.heartbeatAll(now)
		r.follow(now, r.hard.Term, 0)
	}
}

func (r *Replica) matchOf(id ID) uint64 {
	if id == r.self.ID {
		return r.stable
	}
	return r.leading.progress[id].match
}
