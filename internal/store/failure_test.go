package store_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"sapphirespread.example/internal/store"
	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

var errDisk = errors.New("disk fault")

// failingFolder is a journal folder with injected faults. All syncs fail while broken is set, no log file can be created
// while full is set, and while noSpace is set no file can be created and each write ends after half of its bytes.
type failingFolder struct {
	*journal.Folder
	broken  atomic.Bool
	full    atomic.Bool
	noSpace atomic.Bool
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
	if f.noSpace.Load() {
		return nil, syscall.ENOSPC
	}
	file, err := f.Folder.Create(name)
	return failingFile{file, f}, err
}

func (f failingFile) Write(data []byte) (int, error) {
	if !f.folder.noSpace.Load() {
		return f.File.Write(data)
	}
	n, _ := f.File.Write(data[:len(data)/2])
	return n, syscall.ENOSPC
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

// restartOnFailingFolder restarts an instance on its folder with injectable faults.
func (c *cluster) restartOnFailingFolder(inst *instance) *failingFolder {
	c.t.Helper()
	if err := inst.Close(); err != nil {
		c.t.Fatal(err)
	}
	folder, err := journal.NewFolder(inst.folder)
	if err != nil {
		c.t.Fatal(err)
	}
	failing := &failingFolder{Folder: folder}
	opts := c.opts
	c.opts = append(slices.Clone(opts), store.WithFS(failing))
	c.start(inst, false)
	c.opts = opts
	return failing
}

// newClusterOnFailingFolders returns three voters on folders with injectable faults, and the commands that they have
// applied.
func newClusterOnFailingFolders(t *testing.T) (c *cluster, folders []*failingFolder, commands []string) {
	t.Helper()
	c = newCluster(t, 3)
	commands = c.proposeNumbered(nil, 3)
	c.waitForVoters()
	for _, inst := range c.instances {
		folders = append(folders, c.restartOnFailingFolder(inst))
		c.waitForVoters()
	}
	return c, folders, commands
}

// checkRestart restarts all instances and checks that they have the commands on their disks.
func (c *cluster) checkRestart(folders []*failingFolder, commands []string) {
	c.t.Helper()
	for i, inst := range c.instances {
		if err := inst.Close(); err != nil {
			c.t.Error(err)
		}
		_ = folders[i].Close()
		c.start(inst, false)
	}
	c.waitForCommands(commands...)
	c.stop()
}

// TestInstanceWithAFailingDiskPausesAndReturns checks that an instance whose log can't be written or synced stays alive,
// holds no lease, and takes part again once the disk works. The other two go on. Before, the process ended, was started
// again and ended again for as long as the disk was full.
func TestInstanceWithAFailingDiskPausesAndReturns(t *testing.T) {
	faults := map[string]func(*failingFolder) *atomic.Bool{
		"full disk":   func(f *failingFolder) *atomic.Bool { return &f.noSpace },
		"failed sync": func(f *failingFolder) *atomic.Bool { return &f.broken },
	}
	for name, faultOf := range faults {
		for _, leads := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, leader %t", name, leads), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c, folders, commands := newClusterOnFailingFolders(t)
					at := slices.IndexFunc(c.instances, func(inst *instance) bool { return (inst == c.leader()) == leads })
					failing, fault := c.instances[at], faultOf(folders[at])
					fault.Store(true)
					if leads {
						if _, err := failing.Propose(context.Background(), []byte("c3")); !errors.Is(err, store.ErrUnavailable) {
							t.Errorf("proposing at the failing leader: %v", err)
						}
						c.waitFor("another leader", func() bool { return c.leader() != failing })
						commands = append(commands, "c3")
						if !slices.Contains(c.leader().machine.commands, "c3") {
							c.propose("c3")
						}
					}
					commands = c.proposeNumbered(commands, 3)
					time.Sleep(3 * time.Second)
					select {
					case <-failing.Done():
						t.Fatalf("the instance has stopped: %v", failing.Err())
					default:
					}
					if failing.HoldsLease(time.Now()) {
						t.Error("the failing instance holds the lease")
					}
					fault.Store(false)
					commands = c.proposeNumbered(commands, 3)
					c.waitForCommands(commands...)
					c.checkRestart(folders, commands)
				})
			})
		}
	}
}

// TestClusterWithTwoFullDisksAcknowledgesNothing fills two of three disks, checks that no command is acknowledged, and
// that all instances agree again when there is room.
func TestClusterWithTwoFullDisksAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, folders, commands := newClusterOnFailingFolders(t)
		leader := c.leader()
		filled := 0
		for i, inst := range c.instances {
			if inst != leader {
				folders[i].noSpace.Store(true)
				filled++
			}
		}
		if _, err := leader.Propose(context.Background(), []byte("unknown")); err == nil {
			t.Errorf("a command was acknowledged with %d of 3 disks full", filled)
		}
		time.Sleep(2 * time.Second)
		for _, folder := range folders {
			folder.noSpace.Store(false)
		}
		c.leader()
		synctest.Wait()
		c.propose("after")
		applied := 0
		c.leader().Read(func() { applied = len(c.leader().machine.commands) })
		if applied > len(commands)+1 {
			commands = append(commands, "unknown")
		}
		commands = append(commands, "after")
		c.waitForCommands(commands...)
		c.checkRestart(folders, commands)
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

// TestClusterTakesChangesAfterDisksWereFullInTurn guards against changes that are refused or stay unanswered long after each
// disk was full for some seconds, one after another: commands are taken while one disk is full and right after the last.
func TestClusterTakesChangesAfterDisksWereFullInTurn(t *testing.T) {
	const (
		fullFor = 4500 * time.Millisecond
		pause   = 500 * time.Millisecond
		rounds  = 2
		period  = 100 * time.Millisecond // of the commands
		// bound is the time that the first users' platform leaves for an acknowledgement.
		bound = 4 * time.Second
	)
	cases := map[string]struct {
		instances, voters int
		snapshotBytes     int64
		leads             bool // whether each full disk is that of the instance that leads
	}{
		"three, in order":                  {3, 0, 16 << 20, false},
		"three, the leader's":              {3, 0, 16 << 20, true},
		"three, with snapshots":            {3, 0, 64, false},
		"three, the leader's, snapshots":   {3, 0, 64, true},
		"open of five, in order":           {5, 3, 16 << 20, false},
		"open of five, the leader's":       {5, 3, 16 << 20, true},
		"open of five, with snapshots":     {5, 3, 64, false},
		"open, the leader's, snapshots":    {5, 3, 64, true},
		"open of three, with snapshots":    {3, 3, 64, false},
		"all of five vote, the leader's":   {5, 5, 64, true},
		"all of five vote, with snapshots": {5, 5, 64, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newClusterOfVoters(t, c.instances, c.voters, store.WithSnapshotBytes(c.snapshotBytes))
				defer cl.stop()
				cl.proposeNumbered(nil, 1)
				var folders []*failingFolder
				for _, inst := range cl.instances {
					cl.waitForVoterCount(cmp.Or(c.voters, c.instances))
					folders = append(folders, cl.restartOnFailingFolder(inst))
				}
				cl.waitForVoterCount(cmp.Or(c.voters, c.instances))
				taken := 1
				// taking proposes commands for a while and checks that none waits longer than bound.
				taking := func(length time.Duration) {
					for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(period) {
						if !cl.takes("d"+strconv.Itoa(taken), bound) {
							t.Fatalf("command %d was not taken within %s: %s", taken, bound, cl.describe())
						}
						taken++
					}
				}
				for i := range rounds * c.instances {
					at := i % c.instances
					if c.leads {
						at = slices.Index(cl.instances, cl.leader())
					}
					folders[at].noSpace.Store(true)
					taking(fullFor)
					folders[at].noSpace.Store(false)
					taking(pause)
				}
				taking(5 * time.Second)
				for _, inst := range cl.instances {
					select {
					case <-inst.Done():
						t.Errorf("%s has stopped: %v", inst.name, inst.Err())
					default:
					}
					cl.waitFor("all commands at "+inst.name, func() bool {
						count := 0
						inst.Read(func() { count = len(inst.machine.commands) })
						return count >= taken
					})
				}
			})
		})
	}
}

// waitForVoterCount waits until so many members vote in the view of the leader, as after the formation.
func (c *cluster) waitForVoterCount(count int) {
	c.t.Helper()
	c.waitFor("the members to vote", func() bool {
		voters := 0
		for _, member := range c.leader().Status().Members {
			if member.Role == replica.Voter {
				voters++
			}
		}
		return voters >= count
	})
}

// takes proposes a command to whichever instance leads until it is taken, and reports whether that was within bound.
func (c *cluster) takes(command string, bound time.Duration) bool {
	for began := time.Now(); time.Since(began) < bound; time.Sleep(20 * time.Millisecond) {
		for _, inst := range c.instances {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			_, err := inst.Propose(ctx, []byte(command))
			cancel()
			if err == nil {
				return true
			}
		}
	}
	return false
}

// describe returns the status of each instance.
func (c *cluster) describe() string {
	var text strings.Builder
	for _, inst := range c.instances {
		_, _ = fmt.Fprintf(&text, "\n%s: %+v", inst.name, inst.Status())
	}
	return text.String()
}
