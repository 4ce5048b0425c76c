package target_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

// TestStateOfLargeDeploymentsIsSmall checks the memory of a daemon's state for 900 targets that report their load, each
// with a level that lists 100 workspaces.
func TestStateOfLargeDeploymentsIsSmall(t *testing.T) {
	const targets, workspaces, limit = 900, 100, 8 << 20
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	table := target.NewTable()
	var changes []target.Change
	for i := range targets {
		changes = append(changes, target.Change{Target: announced(fmt.Sprint("t", i), fmt.Sprint("s", i%97), 1, target.Ready)})
	}
	if err := table.Apply(1, 0, 1, true, changes); err != nil {
		t.Fatal(err)
	}
	changes = nil
	c := target.NewChooser(table)
	for i := range targets {
		level := priority.Level{Priority: 3, Share: 0.5, ValidUntil: start.Add(time.Hour)}
		for workspace := range workspaces {
			level.Workspaces = append(level.Workspaces, priority.WorkspaceShare{Workspace: priority.WorkspaceHash(workspace), Share: 0.5})
		}
		c.Answered(start, fmt.Sprint("t", i), target.Observation{
			Kind: target.OK, Latency: time.Millisecond, Level: level,
			Load: load.State{InFlight: 1, Slots: 8, ServiceTime: time.Millisecond, Slowness: 1},
		})
	}
	used := heap() - before
	t.Logf("%d bytes", used)
	if used > limit {
		t.Errorf("%d bytes, want at most %d", used, limit)
	}
	runtime.KeepAlive(c)
}
