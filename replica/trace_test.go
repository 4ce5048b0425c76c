package replica_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/replica"
)

const traceSeed = 4

// TestTraces replays the recorded faults of testdata against their stated outcomes.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/traces", func(t *testing.T, path string) {
		var w *world
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "cluster" {
				var size int
				d.ScanArgs(t, "size", &size)
				w = newWorld(t, traceSeed, size, clockSkew)
				return ""
			}
			return w.command(t, d)
		})
	})
}

func (w *world) command(t *testing.T, d *datadriven.TestData) string {
	names := w.named(d)
	switch d.Cmd {
	case "run":
		var timeouts int
		d.ScanArgs(t, "timeouts", &timeouts)
		w.run(time.Duration(timeouts) * electionTimeout)
	case "propose":
		return w.proposeMany(t, d)
	case "isolate":
		w.isolate(names[0], true)
	case "cut":
		w.cuts[direction{names[0].name, names[1].name}] = true
	case "heal":
		clear(w.cuts)
	case "crash":
		names[0].crash()
	case "start":
		names[0].start()
	case "freeze":
		names[0].frozen = true
	case "thaw":
		names[0].frozen = false
	case "lose-disk":
		names[0].crash()
		names[0].disk = disk{}
	case "new":
		n := w.addNode(d.CmdArgs[0].Key, clockSkew)
		n.join = true
		n.start()
	case "transfer":
		return outcome(names[0].replica.Transfer(names[0].now()))
	case "add", "promote", "remove":
		return w.change(d)
	case "status":
		return w.status()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// named returns the nodes that the arguments name; "leader" is the holder of the lease.
func (w *world) named(d *datadriven.TestData) []*node {
	var named []*node
	for _, arg := range d.CmdArgs {
		switch {
		case len(arg.Vals) > 0 || d.Cmd == "new" || d.Cmd == "add":
		case arg.Key == "leader":
			named = append(named, w.leader())
		default:
			named = append(named, w.node(arg.Key))
		}
	}
	return named
}

func (w *world) proposeMany(t *testing.T, d *datadriven.TestData) string {
	n := w.leader()
	if named := w.named(d); len(named) > 0 {
		n = named[0]
	}
	count := 1
	d.MaybeScanArgs(t, "count", &count)
	var err error
	for range count {
		_, err = w.propose(n)
		w.step()
	}
	return outcome(err)
}

func (w *world) change(d *datadriven.TestData) string {
	leader := w.leader()
	name := d.CmdArgs[0].Key
	changes := map[string]func(time.Time, string) (uint64, uint64, error){
		"add": leader.replica.AddLearner, "promote": leader.replica.Promote, "remove": leader.replica.Remove,
	}
	_, _, err := changes[d.Cmd](leader.now(), name)
	leader.settle()
	return outcome(err)
}

func outcome(err error) string {
	if err != nil {
		return err.Error() + "\n"
	}
	return "done\n"
}

// status prints one line a node: phase, lease, count of applied commands and the members that it knows.
func (w *world) status() string {
	var out strings.Builder
	for _, n := range w.nodes {
		if n.replica == nil {
			fmt.Fprintf(&out, "%s: down\n", n.name)
			continue
		}
		status := n.replica.Status(n.now())
		var members []string
		for _, member := range status.Members {
			at := slices.IndexFunc(w.nodes, func(n *node) bool { return n.id == member.ID })
			if at < 0 {
				members = append(members, member.Name+"=lost-"+string(member.Role))
			} else {
				members = append(members, member.Name+"="+string(member.Role))
			}
		}
		phase := string(status.Phase)
		if phase == string(replica.PreCandidate) || phase == string(replica.Candidate) {
			phase = "no-leader"
		}
		fmt.Fprintf(&out, "%s: %s lease=%t commands=%d members=%s\n",
			n.name, phase, n.replica.Lease(n.now()), len(n.words), strings.Join(members, ","))
	}
	return out.String()
}
