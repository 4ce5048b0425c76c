package replica

import (
	"fmt"
	"time"
)

// stepOtherGeneration takes a message from before or after a forced recovery, and reports whether it was that.
//
// A replica of the older side stops for good; one of the newer side tells the sender so.
func (r *Replica) stepOtherGeneration(now time.Time, m Message) bool {
	own := r.hard
	related := m.Cluster != own.Cluster && m.Cluster != 0 && m.Lineage.originOf(m.Cluster) == own.origin()
	if !related {
		return false
	}
	switch {
	case m.Lineage.Generation > own.Lineage.Generation:
		r.follow(now, r.hard.Term, 0)
		r.hard.Superseded = m.Lineage.Generation
	case m.Lineage.Generation < own.Lineage.Generation:
		r.answer(m, Superseded{})
	}
	return true
}

// Superseded returns ErrSuperseded once the replica has heard of a newer generation; it is given up for good then.
func (r *Replica) Superseded() error {
	if r.hard.Superseded == 0 {
		return nil
	}
	return supersededBy(r.hard.Lineage.Generation, r.hard.Superseded)
}

func supersededBy(own, newer uint64) error {
	return fmt.Errorf("generation %d was replaced by generation %d through a forced recovery: empty the data folder to join that: %w",
		own, newer, ErrSuperseded)
}
