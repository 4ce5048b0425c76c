package target_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/priority"
)

const (
	hopDelay        = 1500 * time.Microsecond // between failure domains
	heartbeatPeriod = time.Second
	sparseDegree    = 8
	rowHeader       = 16 // bytes of a process and its logical time in a view
)

// cost is what one change of membership costs until all members know it.
type cost struct {
	messages, bytes int
	known           time.Duration
	idleBytes       int // a second, over all members, without any change
}

// BenchmarkMembership compares deltas from the control leader with an exchange of views, for one target that
// starts to drain and for one that is lost without a word.
func BenchmarkMembership(b *testing.B) {
	ways := []struct {
		name string
		cost func(members int, lost bool) cost
	}{{"deltas", deltaCost}, {"views-of-all", meshCost}, {"views-of-eight", sparseCost}}
	for _, way := range ways {
		for _, members := range []int{10, 50, 100, 940} {
			for _, event := range []string{"drain", "loss"} {
				b.Run(fmt.Sprintf("%s/%s/%d", way.name, event, members), func(b *testing.B) {
					var c cost
					for b.Loop() {
						c = way.cost(members, event == "loss")
					}
					b.ReportMetric(float64(c.messages), "messages")
					b.ReportMetric(float64(c.bytes), "bytes")
					b.ReportMetric(float64(c.known)/float64(time.Millisecond), "ms-until-known")
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

// deltaCost lets a registry tell tables that all call the service of the one that changes.
func deltaCost(members int, lost bool) cost {
	registry := target.NewRegistry()
	tables := make([]*target.Table, members)
	for i := range tables {
		tables[i] = target.NewTable()
		registry.Announce(start, announced(fmt.Sprint("t", i), "wind", 1, target.Ready))
	}
	spread := func() (messages, bytes int) {
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
	spread()
	heartbeat := proto.Size(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Announce{Announce: announceMessage(announced("t0", "wind", 1, target.Ready))}})
	var c cost
	c.idleBytes = members * heartbeat
	if !lost {
		registry.Announce(start, announced("t0", "wind", 1, target.Draining))
		c.messages, c.bytes = spread()
		c.messages++
		c.bytes += heartbeat
		c.known = 2 * hopDelay
		return c
	}
	late := start.Add(3*heartbeatPeriod + time.Millisecond)
	for i := 1; i < members; i++ {
		registry.Announce(late, announced(fmt.Sprint("t", i), "wind", 1, target.Ready))
	}
	registry.Expire(late)
	c.messages, c.bytes = spread()
	c.known = late.Sub(start) + hopDelay
	return c
}

func meshCost(members int, lost bool) cost {
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

func sparseCost(members int, lost bool) cost {
	return viewCost(members, lost, func(i int) []int {
		var neighbours []int
		for k := 1; k <= sparseDegree/2; k++ {
			step := k * k * k // reaches far with few steps
			neighbours = append(neighbours, (i+step)%members, (i-step%members+members)%members)
		}
		return neighbours
	})
}

// viewCost floods changed rows: after each change a process sends each neighbour the rows that changed
// since it last sent to it, all within one hop delay in rounds.
func viewCost(members int, lost bool, neighboursOf func(int) []int) cost {
	rowBytes := rowHeader + (members+7)/8
	neighbours := make([][]int, members)
	fresh := make([]map[int]bool, members) // rows that a process has learnt and not sent on
	knows := make([]map[int]bool, members)
	for i := range members {
		neighbours[i] = neighboursOf(i)
		fresh[i], knows[i] = make(map[int]bool), make(map[int]bool)
	}
	var c cost
	for _, to := range neighbours {
		c.idleBytes += len(to) * rowHeader
	}
	changed := []int{0}
	if lost {
		changed = neighbours[0] // each of them sees its channel close and changes its row
		c.known = 3 * heartbeatPeriod
	}
	for _, row := range changed {
		fresh[row][row], knows[row][row] = true, true
	}
	for busy := true; busy; {
		busy = false
		learnt := make([]map[int]bool, members)
		for i := range members {
			if len(fresh[i]) == 0 {
				continue
			}
			busy = true
			for _, j := range neighbours[i] {
				if lost && j == 0 {
					continue
				}
				c.messages++
				c.bytes += rowHeader + len(fresh[i])*rowBytes
				for row := range fresh[i] {
					if !knows[j][row] {
						if learnt[j] == nil {
							learnt[j] = make(map[int]bool)
						}
						learnt[j][row] = true
					}
				}
			}
		}
		if busy {
			c.known += hopDelay
		}
		for i := range members {
			fresh[i] = learnt[i]
			for row := range learnt[i] {
				knows[i][row] = true
			}
		}
	}
	c.known -= hopDelay // the last round taught nobody anything
	return c
}

// BenchmarkChoose chooses among the ten targets of a service, as a call does.
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
			if _, ok, _ := c.Choose(start, random, "s0", priority.Origin{WholeHash: random, Priority: 0}, nil); !ok {
				b.Error("no target")
			}
		}
	})
}

// BenchmarkCall chooses a target and notes the call and its answer.
func BenchmarkCall(b *testing.B) {
	_, c := largeTable(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		random := uint64(1)
		for pb.Next() {
			random = random*6364136223846793005 + 1442695040888963407
			choice, _, _ := c.Choose(start, random, "s0", priority.Origin{WholeHash: random, Priority: 0}, nil)
			c.Sent(start, choice.Target.Name)
			c.Answered(start, choice.Target.Name, target.Observation{Kind: target.OK, Latency: time.Millisecond})
		}
	})
}

// BenchmarkChooseOf chooses among the targets of services of several sizes.
func BenchmarkChooseOf(b *testing.B) {
	for _, size := range []int{5, 20, 80} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			_, c := fleet(b, make([]string, size)...)
			b.ReportAllocs()
			for b.Loop() {
				c.Choose(start, 12345, "wind", priority.Origin{WholeHash: 1, Priority: 0}, nil)
			}
		})
	}
}

// BenchmarkTable applies the whole to a table and reports the bytes that it takes.
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

// BenchmarkRegistry takes one heartbeat of every target, a second of a leader's work, and expires.
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
	const tables = 20
	held := make([]*target.Table, tables)
	changes := manyChanges(targets)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range held {
		held[i] = target.NewTable()
		if err := held[i].Apply(1, 0, 1, true, changes); err != nil {
			b.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	runtime.KeepAlive(changes)
	return float64(after.HeapAlloc-before.HeapAlloc) / tables
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
