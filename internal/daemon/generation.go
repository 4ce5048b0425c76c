package daemon

import (
	"errors"
	"fmt"

	"sapphirespread.example/internal/peer/peerpb"
)

var errOldGeneration = errors.New("leader is of a cluster that was replaced by a forced recovery")

// A generation identifies the newest control cluster that the daemon has attached to: the number of forced recoveries
// and the ID of the cluster.
type generation struct {
	number  uint64
	cluster uint64
}

// accept updates g to the cluster of a leader. It fails with errOldGeneration if that cluster has been recovered fewer
// times than the newest one seen, or equally often from another disk.
func (g *generation) accept(attached *peerpb.Attached) error {
	next := generation{number: attached.GetGeneration(), cluster: attached.GetCluster()}
	otherCluster := next.number == g.number && next.number > 0 && next.cluster != g.cluster
	if next.number < g.number || otherCluster {
		return fmt.Errorf("attaching to %s of generation %d (cluster %x) after generation %d (cluster %x): %w",
			attached.GetLeader(), next.number, next.cluster, g.number, g.cluster, errOldGeneration)
	}
	*g = next
	return nil
}
