package replica

// incomingSnapshot is a partly received snapshot.
type incomingSnapshot struct {
	snapshot Snapshot
	leader   ID
	term     uint64
}

// stepSnapshotPiece adds a piece to the incoming snapshot and installs the snapshot once it is complete. A snapshot
// that the log already covers is acknowledged but not installed, and the log is kept.
func (r *Replica) stepSnapshotPiece(m Message, piece SnapshotPiece) {
	snapshot := piece.Snapshot
	if term, held := r.log.termAt(snapshot.Index); held && term == snapshot.Term {
		r.commitIndex = max(r.commitIndex, snapshot.Index)
	}
	if snapshot.Index <= r.commitIndex {
		r.incoming = nil
		r.reply(m, AppendAnswer{Index: r.commitIndex, Round: piece.Round})
		return
	}
	next, complete := r.assemble(m, piece)
	if !complete {
		r.reply(m, SnapshotAnswer{Index: snapshot.Index, Next: next, Round: piece.Round})
		return
	}
	r.installSnapshot(r.incoming.snapshot)
	r.reply(m, AppendAnswer{Index: snapshot.Index, Round: piece.Round})
}

// assemble adds a piece to the incoming snapshot, and returns the offset of the next piece and whether the snapshot is
// complete.
func (r *Replica) assemble(m Message, piece SnapshotPiece) (next uint64, complete bool) {
	if piece.Offset == 0 && !r.continuesIncoming(m, piece) {
		r.incoming = &incomingSnapshot{snapshot: piece.Snapshot, leader: m.From, term: m.Term}
		r.incoming.snapshot.Body = append([]byte(nil), piece.Snapshot.Body...)
	} else if r.continuesIncoming(m, piece) && piece.Offset == uint64(len(r.incoming.snapshot.Body)) {
		r.incoming.snapshot.Body = append(r.incoming.snapshot.Body, piece.Snapshot.Body...)
	}
	if !r.continuesIncoming(m, piece) {
		return 0, false
	}
	next = uint64(len(r.incoming.snapshot.Body))
	return next, next == piece.Total
}

// continuesIncoming reports whether a piece belongs to the snapshot that is being received.
func (r *Replica) continuesIncoming(m Message, piece SnapshotPiece) bool {
	return r.incoming != nil && r.incoming.leader == m.From && r.incoming.term == m.Term &&
		r.incoming.snapshot.Index == piece.Snapshot.Index
}

// installSnapshot replaces the whole log by a snapshot.
func (r *Replica) installSnapshot(snapshot Snapshot) {
	r.incoming = nil
	r.snapshotToInstall = &snapshot
	r.snapshot = snapshot
	r.lastEntryAt = snapshot.At
	r.log.reset(snapshot.Index, snapshot.Term)
	r.configurations = configurations{{index: snapshot.Index, members: snapshot.Members}}
	r.persistedIndex = snapshot.Index
	r.commitIndex = snapshot.Index
	r.appliedIndex = snapshot.Index
}
