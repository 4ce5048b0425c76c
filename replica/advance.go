package replica

import (
	"math"
	"time"
)

const maxCommittedBytes = 4 << 20

// Ready returns what must be done next.
func (r *Replica) Ready() Ready {
	if r.phase == Leader {
		r.replicateAll()
	}
	ready := Ready{
		Prompt:   r.prompt,
		Snapshot: r.installed,
		Entries:  r.log.from(r.stable+1, r.log.last(), math.MaxInt),
		Messages: r.messages,
	}
	if !r.applyPaused {
		ready.Committed = r.log.from(r.applied+1, min(r.commit, r.stable), maxCommittedBytes)
	}
	if r.hard != r.hardSaved {
		hard := r.hard
		ready.HardState = &hard
		ready.Messages = append(ready.Prompt, ready.Messages...)
		ready.Prompt = nil
	}
	r.prompt = nil
	r.messages = nil
	return ready
}

// PauseApply keeps committed entries back while the state machine is read at length; all else goes on.
func (r *Replica) PauseApply(paused bool) {
	r.applyPaused = paused
}

// Advance tells that all of a Ready has been done; there must have been no Step, Tick or Propose since.
func (r *Replica) Advance(now time.Time, ready Ready) {
	if ready.HardState != nil {
		r.hardSaved = *ready.HardState
	}
	r.installed = nil
	r.stable = r.log.last()
	if n := len(ready.Committed); n > 0 {
		r.applied = ready.Committed[n-1].Index
	}
	if r.phase == Leader {
		r.advanceCommit(now)
	}
}
