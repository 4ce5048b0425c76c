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

// watchedDaemon is a daemon process whose revision is watched.
type watchedDaemon struct {
	*process
	revision atomic.Uint64
	ready    atomic.Bool
	reverted atomic.Bool
}

func (p *processes) startWatchedDaemon() *watchedDaemon {
	p.t.Helper()
	d := &watchedDaemon{process: &process{name: "daemon-1", operators: p.ports.free(p.t), folder: p.t.TempDir()}}
	var control []string
	for _, one := range p.all {
		control = append(control, fmt.Sprintf("%q", one.relay.listener.Addr()))
	}
	d.settings = filepath.Join(d.folder, "daemon.toml")
	text := fmt.Sprintf("name = \"daemon-1\"\ncluster = \"test\"\nfailure-domain = \"east\"\ncallers-listen = %q\npeer-listen = %q\n"+
		"subcalls-listen = %q\noperators-listen = %q\ncontrol = [%s]\n",
		p.ports.free(p.t), p.ports.free(p.t), p.ports.free(p.t), d.operators, strings.Join(control, ", "))
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.startAs("daemon", d.process)
	ctx, cancel := context.WithCancel(context.Background())
	p.t.Cleanup(func() {
		cancel()
		p.kill(d.process)
	})
	go d.watch(ctx)
	return d
}

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

func (one *process) data() string { return filepath.Join(one.folder, "data") }

// recover runs the command and returns what it said.
func (p *processes) recover(one *process, flags ...string) (string, error) {
	args := append(append([]string{"control", "recover"}, flags...), one.settings)
	out, err := exec.Command(p.binary, args...).CombinedOutput()
	return string(out), err
}

// expectRefused starts an instance on a folder from before the recovery and waits until it stops with a clear error.
func (p *processes) expectRefused(one *process, folder string) {
	p.t.Helper()
	p.copyFolder(folder, one.data())
	for _, when := range []string{"once it reaches a member", "at its next start"} {
		p.start(one)
		done := make(chan error, 1)
		go func() { done <- one.command.Wait() }()
		select {
		case err := <-done:
			if err == nil || !strings.Contains(one.log.String(), "replica.superseded") {
				p.t.Fatalf("%s, %s: %v\n%s", one.name, when, err, one.log)
			}
		case <-time.After(processBound):
			p.t.Fatalf("%s goes on %s", one.name, when)
		}
	}
	p.replaceFolder(one)
}

func (p *processes) replaceFolder(one *process) {
	if err := os.RemoveAll(one.data()); err != nil {
		p.t.Fatal(err)
	}
}

func (p *processes) copyFolder(from, to string) {
	p.t.Helper()
	if err := os.RemoveAll(to); err != nil {
		p.t.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		p.t.Fatal(err)
	}
}

// join starts an instance on an empty folder and makes it a voter.
func (p *processes) join(one *process) {
	p.t.Helper()
	p.start(one)
	address := netip.MustParseAddrPort(one.relay.listener.Addr().String())
	p.eventually(one.name+" to be added", func(ctx context.Context) bool {
		return p.client.AddMember(ctx, operator.NewMember{Name: one.name, Address: address}) == nil
	})
	p.eventually(one.name+" to vote", func(ctx context.Context) bool {
		return p.client.PromoteMember(ctx, one.name) == nil
	})
}

// loseMajority publishes what the survivor never hears of, kills all and returns it and the others, whose folders
// are moved to copies.
func (p *processes) loseMajority(d *watchedDaemon, lostPublications int) (survivor *process, lost []*process, copies []string) {
	p.t.Helper()
	leader, others := p.split()
	survivor, lost = others[0], []*process{leader, others[1]}
	if out, err := p.recover(survivor, "--confirm"); err == nil || !strings.Contains(out, "journal.locked") {
		p.t.Fatalf("recovering a running instance: %v\n%s", err, out)
	}
	survivor.relay.setCut(true)
	kept := p.accepted
	p.publish(lostPublications)
	p.eventually("the daemon to hold what is lost later", func(context.Context) bool { return d.revision.Load() == p.revision })
	p.accepted = kept
	p.kill(survivor)
	if out, err := p.recover(survivor, "--confirm"); err == nil || !strings.Contains(out, "still answers") {
		p.t.Fatalf("recovering while the others run: %v\n%s", err, out)
	}
	for _, one := range lost {
		p.kill(one)
	}
	survivor.relay.setCut(false)
	for _, one := range lost {
		copied := filepath.Join(p.t.TempDir(), "old")
		p.copyFolder(one.data(), copied)
		p.replaceFolder(one)
		copies = append(copies, copied)
	}
	return survivor, lost, copies
}

func TestForcedRecoveryAfterTheMajorityIsLost(t *testing.T) {
	p := startThree(t)
	p.publish(3)
	p.waitForAll()
	daemon := p.startWatchedDaemon()
	p.eventually("the daemon to be ready", func(context.Context) bool { return daemon.ready.Load() })
	survivor, lost, copies := p.loseMajority(daemon, 2)

	before := filesOf(t, survivor.data())
	out, err := p.recover(survivor)
	if err != nil || !strings.Contains(out, "Nothing was changed") || filesOf(t, survivor.data()) != before {
		t.Fatalf("dry run: %v\n%s", err, out)
	}
	if out, err := p.recover(survivor, "--confirm"); err != nil || !strings.Contains(out, "revision 3 and 0 claims") {
		t.Fatalf("recovering: %v\n%s", err, out)
	}
	recovered := filesOf(t, survivor.data())
	if out, err := p.recover(survivor, "--confirm"); err == nil || !strings.Contains(out, "needs no recovery") || filesOf(t, survivor.data()) != recovered {
		t.Fatalf("recovering again: %v\n%s", err, out)
	}

	p.start(survivor)
	p.revision = configuration.GenerationRevisionSpan
	p.check()
	p.publish(2)
	p.eventually("the daemon to take the new generation", func(context.Context) bool {
		return daemon.ready.Load() && daemon.revision.Load() == p.revision
	})
	for i, one := range lost {
		p.expectRefused(one, copies[i])
		p.join(one)
	}
	p.publish(2)
	p.waitForAll()
	p.kill(lost[0])
	p.expectRefused(lost[0], copies[0])
	p.start(lost[0])
	p.waitForAll()

	p.kill(survivor)
	p.publish(2)
	p.eventually("the daemon to follow the new members", func(context.Context) bool { return daemon.revision.Load() == p.revision })
	p.start(survivor)
	p.waitForAll()
	if daemon.reverted.Load() {
		t.Error("the daemon went back to a lower revision")
	}
}

// filesOf returns the contents of all files of a folder as one text.
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
