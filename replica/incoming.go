package replica

// incoming is a snapshot of which not all pieces have arrived.
type incoming struct {
	snapshot Snapshot
	leader   ID
	term     uint64
}

func (r *Replica) stepSnapshotPiece(m Message, piece SnapshotPiece) {
	snapshot := piece.Snapshot
	if term, held := r.log.term(snapshot.Index); held && term == snapshot.Term {
		r.commit = max(r.commit, snapshot.Index)
	}
	if snapshot.Index <= r.commit {
		r.installing = nil
		r.answer(m, AppendAnswer{Index: r.commit, Round: piece.Round})
		return
	}
	next, whole := r.assemble(m, piece)
	if !whole {
		r.answer(m, SnapshotAnswer{Index: snapshot.Index, Next: next, Round: piece.Round})
		return
	}
	r.install(r.installing.snapshot)
	r.answer(m, AppendAnswer{Index: snapshot.Index, Round: piece.Round})
}

// assemble takes a piece and returns the offset of the next one.
func (r *Replica) assemble(m Message, piece SnapshotPiece) (next uint64, whole bool) {
	if piece.Offset == 0 && !r.assembles(m, piece) {
		r.installing = &incoming{snapshot: piece.Snapshot, leader: m.From, term: m.Term}
		r.installing.snapshot.Body = append([]byte(nil), piece.Snapshot.Body...)
	} else if r.assembles(m, piece) && piece.Offset == uint64(len(r.installing.snapshot.Body)) {
		r.installing.snapshot.Body = append(r.installing.snapshot.Body, piece.Snapshot.Body...)
	}
	if !r.assembles(m, piece) {
		return 0, false
	}
	next = uint64(len(r.installing.snapshot.Body))
	return next, next == piece.Total
}

func (r *Replica) assembles(m Message, piece SnapshotPiece) bool {
	return r.installing != nil && r.installing.leader == m.From && r.installing.term == m.Term &&
		r.installing.snapshot.Index == piece.Snapshot.Index
}

func (r *Replica) install(snapshot Snapshot) {
	r.installing = nil
	r.installed = &snapshot
	r.snapshot = snapshot
	r.lastAt = snapshot.At
	r.log.reset(snapshot.Index, snapshot.Term)
	r.configurations = configurations{{index: snapshot.Index, members: snapshot.Members}}
	r.stable = snapshot.Index
	r.commit = snapshot.Index
	r.applied = snapshot.Index
}
