package replica

import (
	"fmt"
	"time"
)

// stepOtherGeneration handles a message of another cluster with the same origin, and reports whether it was one. The
// clusters are generations separated by a forced recovery: a replica of the older generation stops for good, and one of
// the newer generation answers with Superseded. Messages between clusters of the same generation are ignored.
func (r *Replica) stepOtherGeneration(now time.Time, m Message) bool {
	own := r.hardState
	related := m.Cluster != own.Cluster && m.Cluster != 0 && m.Lineage.originOf(m.Cluster) == own.originCluster()
	if !related {
		return false
	}
	switch {
	case m.Lineage.Generation > own.Lineage.Generation:
		r.becomeFollower(now, r.hardState.Term, 0)
		r.hardState.SupersededBy = m.Lineage.Generation
	case m.Lineage.Generation < own.Lineage.Generation:
		r.reply(m, Superseded{})
	}
	return true
}

// SupersededError returns ErrSuperseded if the replica has stopped for good because it received a message of a newer
// generation, and nil otherwise.
func (r *Replica) SupersededError() error {
	if r.hardState.SupersededBy == 0 {
		return nil
	}
	return supersededError(r.hardState.Lineage.Generation, r.hardState.SupersededBy)
}

func supersededError(own, newer uint64) error {
	return fmt.Errorf("generation %d was replaced by generation %d in a forced recovery; empty the data folder to join it: %w",
		own, newer, ErrSuperseded)
}
