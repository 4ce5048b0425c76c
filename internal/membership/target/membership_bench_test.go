package target_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/priority"
)

const (
	hopDelay        = 1500 * time.Microsecond // between failure domains
	heartbeatPeriod = time.Second
	sparseDegree    = 8
	rowHeaderBytes  = 16 // a process and its logical time in a view
)

// changeCost is the cost of propagating one membership change to all members.
type changeCost struct {
	messages, bytes int
	convergence     time.Duration
	idleBytes       int // per second, over all members, without any change
}

// BenchmarkMembership compares deltas of the control leader with the exchange of views between members, for one target
// that starts to drain and for one that fails silently.
func BenchmarkMembership(b *testing.B) {
	protocols := []struct {
		name string
		cost func(members int, lost bool) changeCost
	}{{"deltas", deltaCost}, {"views-of-all", fullMeshCost}, {"views-of-eight", sparseMeshCost}}
	for _, protocol := range protocols {
		for _, members := range []int{10, 50, 100, 940} {
			for _, event := range []string{"drain", "loss"} {
				b.Run(fmt.Sprintf("%s/%s/%d", protocol.name, event, members), func(b *testing.B) {
					var c changeCost
					for b.Loop() {
						c = protocol.cost(members, event == "loss")
					}
					b.ReportMetric(float64(c.messages), "messages")
					b.ReportMetric(float64(c.bytes), "bytes")
					b.ReportMetric(float64(c.convergence)/float64(time.Millisecond), "ms-until-known")
					b.ReportMetric(float64(c.idleBytes), "idle-bytes/s")
				})
			}
		}
	}
}

func announceMessage(t target.Target) *peerpb.Announce {
	return &peerpb.Announce{
		Target: t.Name, Service: t.Service, FailureDomain: t.FailureDomain, PeerAddress: t.Peer.String(),
		Incarnation: t.Incarnation, Slots: int32(t.Slots), State: string(t.State), Daemon: t.Daemon,
	}
}

// deltaCost measures deltas from a registry to tables that all call the service of the changed target.
func deltaCost(members int, lost bool) changeCost {
	registry := target.NewRegistry()
	tables := make([]*target.Table, members)
	for i := range tables {
		tables[i] = target.NewTable()
		registry.Announce(start, announced(fmt.Sprint("t", i), "wind", 1, target.Ready))
	}
	distribute := func() (messages, bytes int) {
		for _, table := range tables {
			_, version := table.Version()
			changes, to, whole := registry.Delta(version, []string{"wind"})
			if err := table.Apply(1, version, to, whole, changes); err != nil || len(changes) == 0 {
				continue
			}
			m := &peerpb.MembershipDelta{Epoch: 1, From: version, To: to, Whole: whole}
			for _, change := range changes {
				m.Changes = append(m.Changes, &peerpb.MembershipChange{Target: announceMessage(change.Target), Removed: change.Removed})
			}
			messages++
			bytes += proto.Size(m)
		}
		return messages, bytes
	}
	distribute()
	heartbeat := proto.Size(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Announce{Announce: announceMessage(announced("t0", "wind", 1, target.Ready))}})
	var c changeCost
	c.idleBytes = members * heartbeat
	if !lost {
		registry.Announce(start, announced("t0", "wind", 1, target.Draining))
		c.messages, c.bytes = distribute()
		c.messages++
		c.bytes += heartbeat
		c.convergence = 2 * hopDelay
		return c
	}
	expiry := start.Add(3*heartbeatPeriod + time.Millisecond)
	for i := 1; i < members; i++ {
		registry.Announce(expiry, announced(fmt.Sprint("t", i), "wind", 1, target.Ready))
	}
	registry.Expire(expiry)
	c.messages, c.bytes = distribute()
	c.convergence = expiry.Sub(start) + hopDelay
	return c
}

func fullMeshCost(members int, lost bool) changeCost {
	return viewCost(members, lost, func(i int) []int {
		var neighbours []int
		for j := range members {
			if j != i {
				neighbours = append(neighbours, j)
			}
		}
		return neighbours
	})
}

func sparseMeshCost(members int, lost bool) changeCost {
	return viewCost(members, lost, func(i int) []int {
		var neighbours []int
		for k := 1; k <= sparseDegree/2; k++ {
			step := k * k * k // long steps reach all members in few rounds
			neighbours = append(neighbours, (i+step)%members, (i-step%members+members)%members)
		}
		return neighbours
	})
}

// viewCost simulates flooding of changed rows in rounds of one hop delay. In each round a process sends its neighbours
// the rows that it has received since the previous round.
func viewCost(members int, lost bool, neighboursOf func(int) []int) changeCost {
	rowBytes := rowHeaderBytes + (members+7)/8
	neighbours := make([][]int, members)
	unsent := make([]map[int]bool, members) // rows that a process has received and not forwarded
	known := make([]map[int]bool, members)
	for i := range members {
		neighbours[i] = neighboursOf(i)
		unsent[i], known[i] = make(map[int]bool), make(map[int]bool)
	}
	var c changeCost
	for _, to := range neighbours {
		c.idleBytes += len(to) * rowHeaderBytes
	}
	changed := []int{0}
	if lost {
		changed = neighbours[0] // each neighbour sees its connection close and changes its row
		c.convergence = 3 * heartbeatPeriod
	}
	for _, row := range changed {
		unsent[row][row], known[row][row] = true, true
	}
	for busy := true; busy; {
		busy = false
		received := make([]map[int]bool, members)
		for i := range members {
			if len(unsent[i]) == 0 {
				continue
			}
			busy = true
			for _, j := range neighbours[i] {
				if lost && j == 0 {
					continue
				}
				c.messages++
				c.bytes += rowHeaderBytes + len(unsent[i])*rowBytes
				for row := range unsent[i] {
					if !known[j][row] {
						if received[j] == nil {
							received[j] = make(map[int]bool)
						}
						received[j][row] = true
					}
				}
			}
		}
		if busy {
			c.convergence += hopDelay
		}
		for i := range members {
			unsent[i] = received[i]
			for row := range received[i] {
				known[i][row] = true
			}
		}
	}
	c.convergence -= hopDelay // the last round changed nothing
	return c
}

// BenchmarkChoose measures the choice among the ten targets of a service.
func BenchmarkChoose(b *testing.B) {
	_, c := largeTable(b)
	for i := range 9 {
		c.Answered(start, fmt.Sprint("t", 97*i), target.Observation{Kind: target.OK, Latency: time.Millisecond})
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		random := uint64(1)
		for pb.Next() {
			random = random*6364136223846793005 + 1442695040888963407
			if _, ok, _ := c.Choose(start, random, "s0", priority.Origin{RootHash: random, Priority: 0}, nil); !ok {
				b.Error("no target")
			}
		}
	})
}

// BenchmarkCall measures the choice of a target and the recording of the call and its answer.
func BenchmarkCall(b *testing.B) {
	_, c := largeTable(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		random := uint64(1)
		for pb.Next() {
			random = random*6364136223846793005 + 1442695040888963407
			choice, _, _ := c.Choose(start, random, "s0", priority.Origin{RootHash: random, Priority: 0}, nil)
			c.Sent(start, choice.Target.Name)
			c.Answered(start, choice.Target.Name, target.Observation{Kind: target.OK, Latency: time.Millisecond})
		}
	})
}

// BenchmarkChooseOf measures the choice among the targets of services of several sizes.
func BenchmarkChooseOf(b *testing.B) {
	for _, size := range []int{5, 20, 80} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			_, c := newTableAndChooser(b, make([]string, size)...)
			b.ReportAllocs()
			for b.Loop() {
				c.Choose(start, 12345, "wind", priority.Origin{RootHash: 1, Priority: 0}, nil)
			}
		})
	}
}

// BenchmarkChooseAmongReporting measures the choice among 100 targets of three failure domains that report their load.
func BenchmarkChooseAmongReporting(b *testing.B) {
	domains := make([]string, 100)
	for i := range domains {
		domains[i] = []string{"east", "north", "west"}[i%3]
	}
	_, c := newTableAndChooser(b, domains...)
	state := load.State{InFlight: 20, Slots: 84, ServiceTime: 90 * time.Millisecond, Slowness: 1.2}
	now := start
	for range 2 {
		for i := range domains {
			c.Answered(now, fmt.Sprint("t", i), target.Observation{Kind: target.OK, Latency: time.Millisecond, Load: state})
		}
		now = now.Add(500 * time.Millisecond)
	}
	random := uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		random = random*6364136223846793005 + 1442695040888963407
		c.Choose(now, random, "wind", priority.Origin{RootHash: 1, Priority: 0}, nil)
	}
}

// BenchmarkTable measures applying a full delta to a table and reports the table's memory.
func BenchmarkTable(b *testing.B) {
	for _, targets := range []int{97, 470, 940} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			changes := manyChanges(targets)
			for b.Loop() {
				if err := target.NewTable().Apply(1, 0, 1, true, changes); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(tableBytes(b, targets), "table-bytes")
		})
	}
}

// BenchmarkRegistry measures one second of a leader's work: a heartbeat of every target and one expiry run.
func BenchmarkRegistry(b *testing.B) {
	for _, targets := range []int{97, 470, 940} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			registry, changes, now := target.NewRegistry(), manyChanges(targets), start
			for b.Loop() {
				now = now.Add(time.Second)
				for _, change := range changes {
					registry.Announce(now, change.Target)
				}
				registry.Expire(now)
			}
		})
	}
}

func tableBytes(b *testing.B, targets int) float64 {
	const tableCount = 20
	tables := make([]*target.Table, tableCount)
	changes := manyChanges(targets)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range tables {
		tables[i] = target.NewTable()
		if err := tables[i].Apply(1, 0, 1, true, changes); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(tables)
	runtime.KeepAlive(changes)
	return float64(after.HeapAlloc-before.HeapAlloc) / tableCount
}

func manyChanges(targets int) []target.Change {
	changes := make([]target.Change, targets)
	for i := range changes {
		changes[i].Target = announced(fmt.Sprint("t", i), fmt.Sprint("s", i%97), 1, target.Ready)
	}
	return changes
}

func largeTable(b *testing.B) (*target.Table, *target.Chooser) {
	table := target.NewTable()
	if err := table.Apply(1, 0, 1, true, manyChanges(940)); err != nil {
		b.Fatal(err)
	}
	return table, target.NewChooser(table, target.WithFailureDomain("east"))
}
