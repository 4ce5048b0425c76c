package store_test

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sapphirespread.example/internal/store"
)

const settleTime = 10 * time.Second

// recordingMachine records all applied commands in order.
type recordingMachine struct {
	commands      []string
	times         []time.Time
	snapshotDelay time.Duration
}

func (m *recordingMachine) Apply(at time.Time, _ uint64, command []byte) []byte {
	m.commands = append(m.commands, string(command))
	m.times = append(m.times, at)
	return []byte(strconv.Itoa(len(m.commands)))
}

func (m *recordingMachine) Snapshot() ([]byte, error) {
	time.Sleep(m.snapshotDelay)
	return []byte(strings.Join(m.commands, " ")), nil
}

func (m *recordingMachine) Restore(snapshot []byte) error {
	m.commands = strings.Fields(string(snapshot))
	return nil
}

// instance is a store that can be stopped and restarted with the same data folder.
type instance struct {
	*store.Store
	name    string
	address netip.AddrPort
	folder  string
	machine *recordingMachine
}

type cluster struct {
	t         *testing.T
	network   *network
	members   []store.Member
	opts      []store.Option
	instances []*instance
	voters    int
}

func newCluster(t *testing.T, size int, opts ...store.Option) *cluster {
	t.Helper()
	return newClusterOfVoters(t, size, 0, opts...)
}

// newClusterOfVoters starts a cluster with an open membership of voters, or one that only operators change if voters is 0.
func newClusterOfVoters(t *testing.T, size, voters int, opts ...store.Option) *cluster {
	t.Helper()
	c := &cluster{t: t, network: newNetwork(), opts: opts, voters: voters}
	for i := range size {
		name := string(rune('a' + i))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+i))
		c.members = append(c.members, store.Member{Name: name, Address: address})
	}
	for _, member := range c.members {
		inst := &instance{name: member.Name, address: member.Address, folder: t.TempDir()}
		c.instances = append(c.instances, inst)
		c.start(inst, false)
	}
	return c
}

func (c *cluster) start(inst *instance, join bool) {
	c.t.Helper()
	inst.machine = &recordingMachine{}
	settings := store.Settings{
		Name: inst.name, DataFolder: inst.folder, Members: c.members, Address: inst.address, Join: join, Voters: c.voters,
		ElectionTimeout: 300 * time.Millisecond, Heartbeat: 50 * time.Millisecond,
	}
	opened, err := store.OpenWithTransport(settings, inst.machine, testTransport{network: c.network, address: inst.address}, append(slices.Clone(c.opts), store.WithClock(time.Now))...)
	if err != nil {
		c.t.Fatal(err)
	}
	inst.Store = opened
	// A test that fails midway must leave no goroutine in its synctest bubble: that panics and hides the other results.
	c.t.Cleanup(func() { _ = opened.Close() })
}

func (c *cluster) stop() {
	for _, inst := range c.instances {
		if err := inst.Close(); err != nil {
			c.t.Error(err)
		}
	}
}

// waitFor waits until condition returns true, at most settleTime on the clock of the synctest bubble.
func (c *cluster) waitFor(what string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		synctest.Wait()
		if condition() {
			return
		}
	}
	c.t.Fatalf("timed out waiting for %s", what)
}

func (c *cluster) leader() *instance {
	c.t.Helper()
	var leader *instance
	c.waitFor("a leader with a lease", func() bool {
		index := slices.IndexFunc(c.instances, func(inst *instance) bool { return inst.HoldsLease(time.Now()) })
		if index >= 0 {
			leader = c.instances[index]
		}
		return index >= 0
	})
	return leader
}

// propose proposes the command to the leader until it is accepted.
func (c *cluster) propose(command string) {
	c.t.Helper()
	c.waitFor("the commit of "+command, func() bool {
		_, err := c.leader().Propose(context.Background(), []byte(command))
		if errors.Is(err, store.ErrUnavailable) {
			c.t.Fatalf("proposing %s: %v", command, err)
		}
		return err == nil
	})
}

func (c *cluster) waitForCommands(commands ...string) {
	c.t.Helper()
	for _, inst := range c.instances {
		c.waitFor("all commands at "+inst.name, func() bool {
			equal := false
			inst.Read(func() { equal = slices.Equal(inst.machine.commands, commands) })
			return equal
		})
	}
}

func TestOneMemberKeepsCommandsOverRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, store.WithSnapshotBytes(1))
		var commands []string
		for i := range 30 {
			commands = append(commands, "c"+strconv.Itoa(i))
			c.propose(commands[i])
			if i%7 == 0 {
				c.stop()
				c.start(c.instances[0], false)
			}
		}
		c.waitForCommands(commands...)
		if !slices.IsSortedFunc(c.instances[0].machine.times, time.Time.Compare) {
			t.Error("the times of the log entries decreased")
		}
		c.stop()
	})
}

func TestThreeMembersFormAClusterAndReplicate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.propose("one")
		c.propose("two")
		c.waitForCommands("one", "two")
		if err := c.leader().Transfer(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.propose("three")
		c.waitForCommands("one", "two", "three")
		c.stop()
	})
}

// TestRestartedMembersElectInOneRound restarts all members at the same time, as after a power loss. The first member
// must campaign within two election timeouts, although no leader has sent a heartbeat. The bound does not apply if two
// members campaign in the same tick and split the votes, because the election then takes another term.
func TestRestartedMembersElectInOneRound(t *testing.T) {
	const bound = 2*300*time.Millisecond + 50*time.Millisecond // two election timeouts and a heartbeat
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 5)
			c.propose("one")
			before := c.leader().Status().Term
			c.stop()
			for _, inst := range c.instances {
				c.start(inst, false)
			}
			began := time.Now()
			term := c.leader().Status().Term
			if took := time.Since(began); took > bound && term == before+1 {
				t.Errorf("the leader of term %d was elected after %s, want at most %s", term, took, bound)
			}
			c.stop()
		})
	}
}
