package replica

import (
	"math"
	"time"
)

const maxCommittedBytesPerReady = 4 << 20

// Ready returns the work that the caller must do before the next call of Step, Tick or Propose.
func (r *Replica) Ready() Ready {
	if r.phase == Leader {
		r.replicateAll()
	}
	ready := Ready{
		Immediate: r.immediate,
		Snapshot:  r.snapshotToInstall,
		Entries:   r.log.entriesFrom(r.persistedIndex+1, r.log.lastIndex(), math.MaxInt),
		Messages:  r.messages,
	}
	if !r.applyPaused {
		ready.Committed = r.log.entriesFrom(r.appliedIndex+1, min(r.commitIndex, r.persistedIndex), maxCommittedBytesPerReady)
	}
	if r.hardState != r.persistedHardState {
		hard := r.hardState
		ready.HardState = &hard
		ready.Messages = append(ready.Immediate, ready.Messages...)
		ready.Immediate = nil
	}
	r.immediate = nil
	r.messages = nil
	return ready
}

// SetApplyPaused sets whether Ready withholds committed entries, so that the state machine doesn't change during a long
// read. Elections, replication and leases continue.
func (r *Replica) SetApplyPaused(paused bool) {
	r.applyPaused = paused
}

// Advance confirms that all work of a Ready is done. The caller must not call Step, Tick or Propose between Ready and
// Advance.
func (r *Replica) Advance(now time.Time, ready Ready) {
	if ready.HardState != nil {
		r.persistedHardState = *ready.HardState
	}
	r.snapshotToInstall = nil
	r.persistedIndex = r.log.lastIndex()
	if n := len(ready.Committed); n > 0 {
		r.appliedIndex = ready.Committed[n-1].Index
	}
	if r.phase == Leader {
		r.advanceCommit(now)
	}
}
