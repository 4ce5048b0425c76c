package replica

import (
	"net/netip"
	"slices"
	"time"
)

// broadcastHeartbeat starts a new round of heartbeats to all other members.
func (r *Replica) broadcastHeartbeat(now time.Time) {
	r.leadership.rounds.start(now)
	r.leadership.nextHeartbeatAt = now.Add(r.heartbeat)
	for _, member := range r.Members() {
		if p, ok := r.leadership.progress[member.ID]; ok {
			r.heartbeatMember(member, p)
			r.probeConfiguredAddress(now, member)
		}
	}
}

// heartbeatMember sends at least one message to a member, and sends again an append or a snapshot piece that may have
// been lost.
func (r *Replica) heartbeatMember(member Member, p *progress) {
	p.paused = false
	if p.snapshotTransfer != nil {
		r.sendImmediate(member, Heartbeat{Round: r.leadership.rounds.latest})
		p.snapshotTransfer.awaitingAnswer = false
	}
	queued := len(r.immediate)
	r.replicateTo(member, p)
	if len(r.immediate) == queued {
		r.sendAppend(member, p, nil)
	}
}

// replicateAll sends the entries or snapshot pieces that the flow control of each member allows.
func (r *Replica) replicateAll() {
	for _, member := range r.Members() {
		if p, ok := r.leadership.progress[member.ID]; ok {
			r.replicateTo(member, p)
		}
	}
}

// replicateTo sends the next entries to a member, or pieces of the snapshot if the log no longer holds these entries.
func (r *Replica) replicateTo(member Member, p *progress) {
	if p.snapshotTransfer == nil && p.next <= r.log.baseIndex {
		p.snapshotTransfer = &snapshotTransfer{snapshot: r.snapshot}
	}
	if p.snapshotTransfer != nil {
		r.sendPiece(member, p.snapshotTransfer)
		return
	}
	for !p.isBlocked() && p.next <= r.log.lastIndex() {
		entries := r.log.entriesFrom(p.next, r.log.lastIndex(), r.appendMessageBytes)
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
	term, held := r.log.termAt(previous)
	if !held {
		return
	}
	r.sendImmediate(member, Append{
		PreviousIndex: previous,
		PreviousTerm:  term,
		Entries:       entries,
		Commit:        r.commitIndex,
		Round:         r.leadership.rounds.latest,
	})
}

func (r *Replica) sendPiece(member Member, t *snapshotTransfer) {
	if t.awaitingAnswer {
		return
	}
	t.awaitingAnswer = true
	total := uint64(len(t.snapshot.Body))
	end := min(t.offset+uint64(r.snapshotPieceBytes), total)
	piece := t.snapshot
	piece.Body = t.snapshot.Body[t.offset:end]
	r.sendImmediate(member, SnapshotPiece{Snapshot: piece, Offset: t.offset, Total: total, Round: r.leadership.rounds.latest})
}

// sendImmediate queues a message that may be sent before the state is persisted.
func (r *Replica) sendImmediate(member Member, body Body) {
	r.sendImmediateTo(r.addressOf(member), member, body)
}

func (r *Replica) sendImmediateTo(address netip.AddrPort, member Member, body Body) {
	r.immediate = append(r.immediate, Outbound{Address: address, Message: Message{
		From: r.self.ID, To: member.ID, ReplyTo: r.self.Address,
		Cluster: r.hardState.Cluster, Lineage: r.hardState.Lineage, Term: r.hardState.Term, Body: body,
	}})
}

func (r *Replica) stepAppendAnswer(now time.Time, from ID, answer AppendAnswer) {
	p, ok := r.leadership.progress[from]
	if !ok {
		return
	}
	r.recordContact(now, p, answer.Round)
	member, _ := r.Members().FindByID(from)
	if answer.Rejected {
		if p.recordRejection(answer.Index, answer.Hint) {
			r.replicateTo(member, p)
		}
		return
	}
	if answer.Index > r.log.lastIndex() {
		return
	}
	if p.snapshotTransfer != nil && answer.Index >= p.snapshotTransfer.snapshot.Index {
		p.snapshotTransfer = nil
	}
	if p.recordMatch(answer.Index) {
		r.advanceCommit(now)
	}
	if r.phase == Leader {
		r.replicateTo(member, p)
		r.advanceTransfer(now)
	}
}

func (r *Replica) stepHeartbeatAnswer(now time.Time, from ID, answer HeartbeatAnswer) {
	if p, ok := r.leadership.progress[from]; ok {
		r.recordContact(now, p, answer.Round)
	}
}

func (r *Replica) stepSnapshotAnswer(now time.Time, from ID, answer SnapshotAnswer) {
	p, ok := r.leadership.progress[from]
	if !ok {
		return
	}
	r.recordContact(now, p, answer.Round)
	if p.snapshotTransfer == nil || p.snapshotTransfer.snapshot.Index != answer.Index || answer.Next > uint64(len(p.snapshotTransfer.snapshot.Body)) {
		return
	}
	advanced := answer.Next > p.snapshotTransfer.offset
	p.snapshotTransfer.offset = answer.Next
	if !advanced {
		return
	}
	p.snapshotTransfer.awaitingAnswer = false
	member, _ := r.Members().FindByID(from)
	r.replicateTo(member, p)
}

// advanceCommit commits the entries that a quorum of voters has persisted, if the last of them is of the leader's term.
// A leader steps down once its own removal is committed.
func (r *Replica) advanceCommit(now time.Time) {
	var matches []uint64
	for _, member := range r.Members() {
		if member.Role == Voter {
			matches = append(matches, r.matchIndex(member.ID))
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.Members().Quorum()]
	term, held := r.log.termAt(index)
	if index <= r.commitIndex || !held || term != r.hardState.Term {
		return
	}
	r.commitIndex = index
	if _, isMember := r.Members().FindByID(r.self.ID); !isMember && r.configurations.latest().index <= r.commitIndex {
		r.broadcastHeartbeat(now)
		r.becomeFollower(now, r.hardState.Term, 0)
	}
}

// matchIndex returns the highest index up to which a member's persisted log is known to match the leader's.
func (r *Replica) matchIndex(id ID) uint64 {
	if id == r.self.ID {
		return r.persistedIndex
	}
	return r.leadership.progress[id].match
}
