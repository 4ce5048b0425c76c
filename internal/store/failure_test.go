package store_test

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sapphirespread.example/internal/store"
	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

var errDisk = errors.New("disk fault")

// failingFolder is a journal folder with injected faults. All syncs fail while broken is set, and no log file can be
// created while full is set.
type failingFolder struct {
	*journal.Folder
	broken atomic.Bool
	full   atomic.Bool
}

type failingFile struct {
	journal.File
	folder *failingFolder
}

func (f *failingFolder) Append(name string) (journal.File, error) {
	file, err := f.Folder.Append(name)
	return failingFile{file, f}, err
}

func (f *failingFolder) Create(name string) (journal.File, error) {
	if f.full.Load() && strings.HasPrefix(name, "log-") {
		return nil, errDisk
	}
	file, err := f.Folder.Create(name)
	return failingFile{file, f}, err
}

func (f failingFile) Sync() error {
	if f.folder.broken.Load() {
		return errDisk
	}
	return f.File.Sync()
}

func (c *cluster) isolate(inst *instance, cut bool) {
	for _, other := range c.instances {
		if other != inst {
			c.network.setCut(inst.address, other.address, cut)
			c.network.setCut(other.address, inst.address, cut)
		}
	}
}

func (c *cluster) others(inst *instance) []*instance {
	return slices.DeleteFunc(slices.Clone(c.instances), func(other *instance) bool { return other == inst })
}

func (c *cluster) proposeNumbered(commands []string, count int) []string {
	for range count {
		commands = append(commands, "c"+strconv.Itoa(len(commands)))
		c.propose(commands[len(commands)-1])
	}
	return commands
}

// waitForVoters waits until all instances, by their current replica IDs, are voters in the view of the leader.
func (c *cluster) waitForVoters() {
	c.t.Helper()
	c.waitFor("all instances to vote", func() bool {
		var ids []replica.ID
		for _, member := range c.leader().Status().Members {
			if member.Role == replica.Voter {
				ids = append(ids, member.ID)
			}
		}
		for _, inst := range c.instances {
			if !slices.Contains(ids, inst.Status().ID) {
				return false
			}
		}
		return true
	})
}

func TestIsolatedLeaderLosesItsLeaseAndRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		commands := c.proposeNumbered(nil, 3)
		c.waitForVoters()
		isolated := c.leader()
		c.isolate(isolated, true)
		if _, err := isolated.Propose(context.Background(), []byte("lost")); !errors.Is(err, store.ErrUnavailable) {
			t.Errorf("proposing at the isolated leader: %v", err)
		}
		if isolated.HoldsLease(time.Now()) {
			t.Error("the isolated leader kept its lease")
		}
		commands = c.proposeNumbered(commands, 3)
		c.isolate(isolated, false)
		c.waitForCommands(commands...)
		c.stop()
	})
}

func TestLostFoldersAndLongAbsencesLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, store.WithSnapshotBytes(2048),
			store.WithReplicaOptions(replica.WithRetainedEntries(4), replica.WithPieceBytes(100)))
		var commands []string
		for round, inst := range []*instance{c.instances[2], c.instances[1], c.instances[0], c.instances[2]} {
			commands = c.proposeNumbered(commands, 5)
			c.waitForVoters()
			if err := inst.Close(); err != nil {
				t.Fatal(err)
			}
			running := c.others(inst)
			all := c.instances
			c.instances = running
			commands = c.proposeNumbered(commands, 200)
			c.instances = all
			if round < 3 {
				inst.folder = t.TempDir()
			}
			c.start(inst, false)
			c.waitForVoters()
		}
		c.waitForCommands(commands...)
		c.stop()
	})
}

func TestFailedSyncStopsTheInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		commands := c.proposeNumbered(nil, 3)
		c.waitForVoters()
		failing := c.instances[0]
		if err := failing.Close(); err != nil {
			t.Fatal(err)
		}
		folder, err := journal.NewFolder(failing.folder)
		if err != nil {
			t.Fatal(err)
		}
		broken := &failingFolder{Folder: folder}
		c.opts = []store.Option{store.WithFS(broken)}
		c.start(failing, false)
		broken.broken.Store(true)
		commands = c.proposeNumbered(commands, 3)
		if err := failing.Err(); !errors.Is(err, journal.ErrFailed) {
			t.Errorf("the store stopped with %v, want a failed journal", err)
		}
		if _, err := failing.Propose(context.Background(), []byte("x")); !errors.Is(err, store.ErrNotLeader) {
			t.Errorf("proposing at a stopped instance: %v", err)
		}
		c.instances = c.others(failing)
		c.waitForCommands(commands...)
		c.stop()
	})
}

func TestConcurrentProposalsAreAppliedOnceEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const proposers, commandsPerProposer = 16, 20
		c := newCluster(t, 3)
		leader := c.leader()
		c.propose("first")
		var results sync.Map
		var running sync.WaitGroup
		for p := range proposers {
			running.Go(func() {
				for i := range commandsPerProposer {
					result, err := leader.Propose(context.Background(), []byte(strconv.Itoa(p*commandsPerProposer+i)))
					if _, duplicate := results.LoadOrStore(string(result), p); err != nil || duplicate {
						t.Errorf("result %s: duplicate %t, error %v", result, duplicate, err)
					}
				}
			})
		}
		running.Wait()
		leader.Read(func() {
			sorted := slices.Sorted(slices.Values(leader.machine.commands))
			if len(sorted) != proposers*commandsPerProposer+1 || len(slices.Compact(sorted)) != len(leader.machine.commands) {
				t.Errorf("%d commands were applied, want each of them once", len(leader.machine.commands))
			}
		})
		c.stop()
	})
}

func TestInvalidArgumentsAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.propose("one")
		if _, err := c.instances[0].Propose(context.Background(), make([]byte, store.MaxCommandBytes+1)); !errors.Is(err, store.ErrTooLarge) {
			t.Errorf("proposing a command that is too large: %v", err)
		}
		member := c.members[0]
		other := store.Member{Name: "other", Address: member.Address}
		open := func(settings store.Settings) error {
			settings.DataFolder = c.instances[0].folder
			_, err := store.OpenWithTransport(settings, &recordingMachine{}, testTransport{network: c.network, address: member.Address})
			return err
		}
		if err := open(store.Settings{Name: "a", Members: c.members}); !errors.Is(err, journal.ErrLocked) {
			t.Errorf("opening a folder in use: %v", err)
		}
		c.stop()
		if err := open(store.Settings{Name: "other", Members: []store.Member{other}}); !errors.Is(err, store.ErrOtherInstance) {
			t.Errorf("opening the folder of another instance: %v", err)
		}
		for name, settings := range map[string]store.Settings{
			"no name":          {Members: c.members},
			"not a member":     {Name: "b", Members: c.members},
			"no address":       {Name: "b", Members: c.members, Join: true},
			"same address":     {Name: "a", Members: []store.Member{member, other}},
			"short timeout":    {Name: "a", Members: c.members, ElectionTimeout: time.Second, Heartbeat: time.Second},
			"negative timeout": {Name: "a", Members: c.members, ElectionTimeout: -time.Second},
		} {
			if err := open(settings); err == nil {
				t.Errorf("settings with %s were accepted", name)
			}
		}
	})
}

func TestSlowSnapshotKeepsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, store.WithSnapshotBytes(1024))
		commands := c.proposeNumbered(nil, 1)
		c.waitForVoters()
		leader := c.leader()
		term := leader.Term()
		leader.Read(func() { leader.machine.snapshotDelay = 5 * time.Second })
		began := time.Now()
		commands = c.proposeNumbered(commands, 50)
		if took := time.Since(began); took < 5*time.Second {
			t.Fatalf("no snapshot was taken within %s", took)
		}
		if leader.Term() != term || !leader.HoldsLease(time.Now()) {
			t.Errorf("term %d, was %d before the snapshot; lease %t", leader.Term(), term, leader.HoldsLease(time.Now()))
		}
		c.waitForCommands(commands...)
		c.stop()
	})
}

func TestFullDiskDelaysSnapshotsAndLeavesNoFiles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		folder, err := journal.NewFolder(t.TempDir())
		if err != nil {
			t.Fatal(err)
		}
		fsys := &failingFolder{Folder: folder}
		c := newCluster(t, 1, store.WithFS(fsys), store.WithSnapshotBytes(512))
		c.propose("first")
		fsys.full.Store(true)
		commands := c.proposeNumbered([]string{"first"}, 50)
		synctest.Wait()
		if names, err := folder.List(); err != nil || len(names) != 2 {
			t.Errorf("the full disk has the files %v, want 2: %v", names, err)
		}
		before := c.instances[0].Status().SnapshotIndex
		fsys.full.Store(false)
		commands = c.proposeNumbered(commands, 100)
		c.waitFor("a snapshot", func() bool { return c.instances[0].Status().SnapshotIndex > before })
		c.waitForCommands(commands...)
		c.stop()
	})
}
