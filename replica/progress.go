package replica

import "time"

// progress is the leader's view of the replication to one other member.
type progress struct {
	match uint64
	next  uint64
	// probing limits replication to one append at a time until the member accepts one.
	probing bool
	paused  bool
	// inFlight holds the last index of each unanswered append, oldest first.
	inFlight []uint64
	// snapshotTransfer is set while a snapshot is being sent.
	snapshotTransfer *snapshotTransfer
	trackedSince     time.Time
	lastContactAt    time.Time
	// leaseStart is when the latest round of heartbeats that the member has answered was sent.
	leaseStart time.Time
}

// snapshotTransfer is a snapshot that is being sent to a member in pieces.
type snapshotTransfer struct {
	snapshot       Snapshot
	offset         uint64
	awaitingAnswer bool
}

func newProgress(now time.Time, next uint64) *progress {
	return &progress{next: next, probing: true, trackedSince: now, lastContactAt: now}
}

// startProbing discards the unanswered appends and continues one append at a time after the last known match.
func (p *progress) startProbing() {
	p.probing = true
	p.paused = false
	p.inFlight = nil
	p.next = p.match + 1
}

// recordMatch records that the member's log matches up to index, and reports whether that is further than before.
func (p *progress) recordMatch(index uint64) bool {
	advanced := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.paused = false
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	return advanced
}

// recordRejection moves next back after a rejected append. It ignores an outdated rejection and then returns false.
func (p *progress) recordRejection(index, hint uint64) bool {
	if index <= p.match || p.snapshotTransfer != nil {
		return false
	}
	if p.probing && index != p.next-1 {
		return false
	}
	if !p.probing {
		p.startProbing()
		return true
	}
	p.next = max(p.match+1, min(index, hint+1))
	p.paused = false
	return true
}

// isBlocked reports whether the leader must wait for an answer before it sends another append.
func (p *progress) isBlocked() bool {
	return p.paused || len(p.inFlight) >= maxInFlightAppends
}
