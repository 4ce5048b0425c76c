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

// TestTraces runs the fault scenarios in testdata/traces and compares their outcomes.
func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/traces", func(t *testing.T, path string) {
		var sim *simulation
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "cluster" {
				var size int
				d.ScanArgs(t, "size", &size)
				sim = newSimulation(t, traceSeed, size, clockSkew)
				return ""
			}
			return sim.execute(t, d)
		})
	})
}

func (sim *simulation) execute(t *testing.T, d *datadriven.TestData) string {
	nodes := sim.namedNodes(d)
	switch d.Cmd {
	case "run":
		var timeouts int
		d.ScanArgs(t, "timeouts", &timeouts)
		sim.run(time.Duration(timeouts) * electionTimeout)
	case "propose":
		return sim.proposeMany(t, d)
	case "isolate":
		sim.isolate(nodes[0], true)
	case "cut":
		sim.cutLinks[link{nodes[0].name, nodes[1].name}] = true
	case "heal":
		clear(sim.cutLinks)
	case "crash":
		nodes[0].crash()
	case "start":
		nodes[0].start()
	case "freeze":
		nodes[0].frozen = true
	case "thaw":
		nodes[0].frozen = false
	case "lose-disk":
		nodes[0].crash()
		nodes[0].disk = disk{}
	case "new":
		n := sim.addNode(d.CmdArgs[0].Key, clockSkew)
		n.join = true
		n.start()
	case "transfer":
		return outcome(nodes[0].replica.TransferLeadership(nodes[0].now()))
	case "add", "promote", "remove":
		return sim.change(d)
	case "status":
		return sim.status()
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	return ""
}

// namedNodes returns the nodes that the arguments name. The name "leader" stands for the holder of the lease.
func (sim *simulation) namedNodes(d *datadriven.TestData) []*node {
	var nodes []*node
	for _, arg := range d.CmdArgs {
		switch {
		case len(arg.Vals) > 0 || d.Cmd == "new" || d.Cmd == "add":
		case arg.Key == "leader":
			nodes = append(nodes, sim.leader())
		default:
			nodes = append(nodes, sim.node(arg.Key))
		}
	}
	return nodes
}

func (sim *simulation) proposeMany(t *testing.T, d *datadriven.TestData) string {
	n := sim.leader()
	if named := sim.namedNodes(d); len(named) > 0 {
		n = named[0]
	}
	count := 1
	d.MaybeScanArgs(t, "count", &count)
	var err error
	for range count {
		_, err = sim.propose(n)
		sim.advance()
	}
	return outcome(err)
}

func (sim *simulation) change(d *datadriven.TestData) string {
	leader := sim.leader()
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

// status returns a line for each node with its phase, its lease, its number of applied commands and its view of the
// members.
func (sim *simulation) status() string {
	var out strings.Builder
	for _, n := range sim.nodes {
		if n.replica == nil {
			fmt.Fprintf(&out, "%s: down\n", n.name)
			continue
		}
		status := n.replica.Status(n.now())
		var members []string
		for _, member := range status.Members {
			at := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.id == member.ID })
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
			n.name, phase, n.replica.HoldsLease(n.now()), len(n.commands), strings.Join(members, ","))
	}
	return out.String()
}
