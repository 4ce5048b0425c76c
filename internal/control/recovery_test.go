package control_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

// watchedDaemon is a daemon process whose readiness and revision are polled.
type watchedDaemon struct {
	*process
	revision atomic.Uint64
	ready    atomic.Bool
	reverted atomic.Bool
}

func (c *cluster) startWatchedDaemon() *watchedDaemon {
	c.t.Helper()
	d := &watchedDaemon{process: &process{name: "daemon-1", operators: c.ports.free(c.t), folder: c.t.TempDir()}}
	var control []string
	for _, instance := range c.instances {
		control = append(control, fmt.Sprintf("%q", instance.peerRelay.listener.Addr()))
	}
	d.settings = filepath.Join(d.folder, "daemon.toml")
	text := fmt.Sprintf("name = \"daemon-1\"\ncluster = \"test\"\nfailure-domain = \"east\"\ncallers-listen = %q\npeer-listen = %q\n"+
		"subcalls-listen = %q\noperators-listen = %q\ncontrol = [%s]\n",
		c.ports.free(c.t), c.ports.free(c.t), c.ports.free(c.t), d.operators, strings.Join(control, ", "))
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.startCommand("daemon", d.process)
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(func() {
		cancel()
		c.kill(d.process)
	})
	go d.watch(ctx)
	return d
}

// watch polls the metrics of the daemon until ctx ends and records whether its revision has ever decreased.
func (d *watchedDaemon) watch(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(10 * time.Millisecond) {
		var read struct {
			Daemon struct {
				Readiness struct {
					Ready    bool   `json:"ready"`
					Revision uint64 `json:"revision"`
				} `json:"readiness"`
			} `json:"daemon"`
		}
		response, err := http.Get("http://" + d.operators.String() + "/metrics")
		if err != nil {
			continue
		}
		err = json.NewDecoder(response.Body).Decode(&read)
		_ = response.Body.Close()
		if err != nil {
			continue
		}
		if previous := d.revision.Swap(read.Daemon.Readiness.Revision); read.Daemon.Readiness.Revision < previous {
			d.reverted.Store(true)
		}
		d.ready.Store(read.Daemon.Readiness.Ready)
	}
}

func (instance *process) dataFolder() string { return filepath.Join(instance.folder, "data") }

// runRecover runs the control recover command on a stopped instance and returns its output.
func (c *cluster) runRecover(instance *process, flags ...string) (string, error) {
	args := append(append([]string{"control", "recover"}, flags...), instance.settings)
	out, err := exec.Command(c.binary, args...).CombinedOutput()
	return string(out), err
}

// expectRefused starts an instance twice on a data folder from before the recovery and checks that it stops with
// replica.superseded each time.
func (c *cluster) expectRefused(instance *process, folder string) {
	c.t.Helper()
	c.copyFolder(folder, instance.dataFolder())
	for _, when := range []string{"once it reaches a member", "at its next start"} {
		c.start(instance)
		done := make(chan error, 1)
		go func() { done <- instance.command.Wait() }()
		select {
		case err := <-done:
			if err == nil || !strings.Contains(instance.log.String(), "replica.superseded") {
				c.t.Fatalf("%s, %s: %v\n%s", instance.name, when, err, instance.log)
			}
		case <-time.After(processBound):
			c.t.Fatalf("%s keeps running %s", instance.name, when)
		}
	}
	c.removeDataFolder(instance)
}

func (c *cluster) removeDataFolder(instance *process) {
	if err := os.RemoveAll(instance.dataFolder()); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) copyFolder(from, to string) {
	c.t.Helper()
	if err := os.RemoveAll(to); err != nil {
		c.t.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		c.t.Fatal(err)
	}
}

// join starts an instance on an empty data folder and makes it a voter.
func (c *cluster) join(instance *process) {
	c.t.Helper()
	c.start(instance)
	address := netip.MustParseAddrPort(instance.peerRelay.listener.Addr().String())
	c.eventually(instance.name+" to be added", func(ctx context.Context) bool {
		return c.client.AddMember(ctx, operator.NewMember{Name: instance.name, Address: address}) == nil
	})
	c.eventually(instance.name+" to vote", func(ctx context.Context) bool {
		return c.client.PromoteMember(ctx, instance.name) == nil
	})
}

// loseMajority makes publications that do not reach the survivor, kills all instances, and moves the data folders of
// the others to copies.
func (c *cluster) loseMajority(d *watchedDaemon, lostPublications int) (survivor *process, lost []*process, copies []string) {
	c.t.Helper()
	leader, others := c.leaderAndFollowers()
	survivor, lost = others[0], []*process{leader, others[1]}
	if out, err := c.runRecover(survivor, "--confirm"); err == nil || !strings.Contains(out, "journal.locked") {
		c.t.Fatalf("recovering a running instance: %v\n%s", err, out)
	}
	survivor.peerRelay.setStalled(true)
	kept := c.accepted
	c.publish(lostPublications)
	c.eventually("the daemon to have the publications that will be lost", func(context.Context) bool { return d.revision.Load() == c.revision })
	c.accepted = kept
	c.kill(survivor)
	if out, err := c.runRecover(survivor, "--confirm"); err == nil || !strings.Contains(out, "still answers") {
		c.t.Fatalf("recovering while the others run: %v\n%s", err, out)
	}
	for _, instance := range lost {
		c.kill(instance)
	}
	survivor.peerRelay.setStalled(false)
	for _, instance := range lost {
		copied := filepath.Join(c.t.TempDir(), "old")
		c.copyFolder(instance.dataFolder(), copied)
		c.removeDataFolder(instance)
		copies = append(copies, copied)
	}
	return survivor, lost, copies
}

// TestForcedRecoveryAfterTheMajorityIsLost recovers the one surviving instance of three. The daemon must adopt the new
// generation without its revision decreasing, and the lost instances must be refused on their old data folders and join
// again on empty ones.
func TestForcedRecoveryAfterTheMajorityIsLost(t *testing.T) {
	c := startCluster(t)
	c.publish(3)
	c.awaitCaughtUp()
	daemon := c.startWatchedDaemon()
	c.eventually("the daemon to be ready", func(context.Context) bool { return daemon.ready.Load() })
	survivor, lost, copies := c.loseMajority(daemon, 2)

	before := filesOf(t, survivor.dataFolder())
	out, err := c.runRecover(survivor)
	if err != nil || !strings.Contains(out, "Nothing was changed") || filesOf(t, survivor.dataFolder()) != before {
		t.Fatalf("dry run: %v\n%s", err, out)
	}
	if out, err := c.runRecover(survivor, "--confirm"); err != nil || !strings.Contains(out, "revision 3 and 0 claims") {
		t.Fatalf("recovering: %v\n%s", err, out)
	}
	recovered := filesOf(t, survivor.dataFolder())
	if out, err := c.runRecover(survivor, "--confirm"); err == nil || !strings.Contains(out, "needs no recovery") || filesOf(t, survivor.dataFolder()) != recovered {
		t.Fatalf("recovering again: %v\n%s", err, out)
	}

	c.start(survivor)
	c.revision = configuration.GenerationRevisionSpan
	c.checkHistory()
	c.publish(2)
	c.eventually("the daemon to adopt the new generation", func(context.Context) bool {
		return daemon.ready.Load() && daemon.revision.Load() == c.revision
	})
	for i, instance := range lost {
		c.expectRefused(instance, copies[i])
		c.join(instance)
	}
	c.publish(2)
	c.awaitCaughtUp()
	c.kill(lost[0])
	c.expectRefused(lost[0], copies[0])
	c.start(lost[0])
	c.awaitCaughtUp()

	c.kill(survivor)
	c.publish(2)
	c.eventually("the daemon to follow the new members", func(context.Context) bool { return daemon.revision.Load() == c.revision })
	c.start(survivor)
	c.awaitCaughtUp()
	if daemon.reverted.Load() {
		t.Error("the revision of the daemon decreased")
	}
}

// filesOf returns the names and contents of all files in a folder as one string.
func filesOf(t *testing.T, folder string) string {
	t.Helper()
	var all strings.Builder
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&all, "%s %x\n", entry.Name(), content)
	}
	return all.String()
}
