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

// failingFolder fails all syncs of its files once it is broken, and creates no new log while it is full.
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

func (c *cluster) isolate(one *instance, cut bool) {
	for _, other := range c.instances {
		if other != one {
			c.network.setCut(one.address, other.address, cut)
			c.network.setCut(other.address, one.address, cut)
		}
	}
}

func (c *cluster) others(one *instance) []*instance {
	return slices.DeleteFunc(slices.Clone(c.instances), func(other *instance) bool { return other == one })
}

func (c *cluster) proposeNumbered(commands []string, count int) []string {
	for range count {
		commands = append(commands, "c"+strconv.Itoa(len(commands)))
		c.propose(commands[len(commands)-1])
	}
	return commands
}

// waitForVoters waits until the leader counts all instances by their current ids as voters.
func (c *cluster) waitForVoters() {
	c.t.Helper()
	c.wait("all instances to vote", func() bool {
		var ids []replica.ID
		for _, member := range c.leader().Status().Members {
			if member.Role == replica.Voter {
				ids = append(ids, member.ID)
			}
		}
		for _, one := range c.instances {
			if !slices.Contains(ids, one.Status().ID) {
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
		if isolated.Lease(time.Now()) {
			t.Error("the isolated leader kept its lease")
		}
		commands = c.proposeNumbered(commands, 3)
		c.isolate(isolated, false)
		c.waitForAll(commands...)
		c.stop()
	})
}

func TestLostFoldersAndLongAbsencesLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, store.WithSnapshotBytes(2048),
			store.WithReplicaOptions(replica.WithRetainedEntries(4), replica.WithPieceBytes(100)))
		var commands []string
		for round, one := range []*instance{c.instances[2], c.instances[1], c.instances[0], c.instances[2]} {
			commands = c.proposeNumbered(commands, 5)
			c.waitForVoters()
			if err := one.Close(); err != nil {
				t.Fatal(err)
			}
			running := c.others(one)
			all := c.instances
			c.instances = running
			commands = c.proposeNumbered(commands, 200)
			c.instances = all
			if round < 3 {
				one.folder = t.TempDir()
			}
			c.start(one, false)
			c.waitForVoters()
		}
		c.waitForAll(commands...)
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
			t.Errorf("stopped with %v", err)
		}
		if _, err := failing.Propose(context.Background(), []byte("x")); !errors.Is(err, store.ErrNotLeader) {
			t.Errorf("proposing at a stopped instance: %v", err)
		}
		c.instances = c.others(failing)
		c.waitForAll(commands...)
		c.stop()
	})
}

func TestConcurrentProposalsAreAppliedOnceEach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const proposers, each = 16, 20
		c := newCluster(t, 3)
		leader := c.leader()
		c.propose("first")
		var results sync.Map
		var running sync.WaitGroup
		for p := range proposers {
			running.Go(func() {
				for i := range each {
					result, err := leader.Propose(context.Background(), []byte(strconv.Itoa(p*each+i)))
					if _, twice := results.LoadOrStore(string(result), p); err != nil || twice {
						t.Errorf("result %s: twice %t, %v", result, twice, err)
					}
				}
			})
		}
		running.Wait()
		leader.Read(func() {
			sorted := slices.Sorted(slices.Values(leader.words.list))
			if len(sorted) != proposers*each+1 || len(slices.Compact(sorted)) != len(leader.words.list) {
				t.Errorf("%d commands applied", len(leader.words.list))
			}
		})
		c.stop()
	})
}

func TestOpenRefusesWhatIsWrong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.propose("one")
		if _, err := c.instances[0].Propose(context.Background(), make([]byte, store.MaxCommandBytes+1)); !errors.Is(err, store.ErrTooLarge) {
			t.Errorf("large command: %v", err)
		}
		member := c.members[0]
		other := store.Member{Name: "other", Address: member.Address}
		open := func(settings store.Settings) error {
			settings.DataFolder = c.instances[0].folder
			_, err := store.OpenOver(settings, &words{}, port{network: c.network, address: member.Address})
			return err
		}
		if err := open(store.Settings{Name: "a", Members: c.members}); !errors.Is(err, journal.ErrLocked) {
			t.Errorf("folder in use: %v", err)
		}
		c.stop()
		if err := open(store.Settings{Name: "other", Members: []store.Member{other}}); !errors.Is(err, store.ErrOtherInstance) {
			t.Errorf("folder of another instance: %v", err)
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
				t.Errorf("%s was accepted", name)
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
		leader.Read(func() { leader.words.delay = 5 * time.Second })
		began := time.Now()
		commands = c.proposeNumbered(commands, 50)
		if took := time.Since(began); took < 5*time.Second {
			t.Fatalf("no snapshot was taken within %s", took)
		}
		if leader.Term() != term || !leader.Lease(time.Now()) {
			t.Errorf("term %d after %d, lease %t", leader.Term(), term, leader.Lease(time.Now()))
		}
		c.waitForAll(commands...)
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
			t.Errorf("with a full disk: files %v, %v", names, err)
		}
		before := c.instances[0].Status().SnapshotIndex
		fsys.full.Store(false)
		commands = c.proposeNumbered(commands, 100)
		c.wait("a snapshot", func() bool { return c.instances[0].Status().SnapshotIndex > before })
		c.waitForAll(commands...)
		c.stop()
	})
}
