package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

const afterLease = 500 * time.Millisecond

// attachedFault befalls the instance to which the daemons are attached: it begins before a key is withdrawn, goes on
// once that was accepted, and ends when the freshness lease of before has run out. Confined daemons cannot move.
type attachedFault struct {
	name     string
	ofLeader bool
	confined bool
	begin    func(a *attachment, one *process)
	goOn     func(a *attachment, one *process)
	end      func(a *attachment, one *process)
}

func attachedFaults() []attachedFault {
	isolate := func(a *attachment, one *process) { a.isolate(one, true) }
	heal := func(a *attachment, one *process) { a.isolate(one, false) }
	freeze := func(a *attachment, one *process) { a.signal(one, syscall.SIGSTOP) }
	resume := func(a *attachment, one *process) { a.signal(one, syscall.SIGCONT) }
	kill := func(a *attachment, one *process) { a.kill(one) }
	start := func(a *attachment, one *process) { a.start(one) }
	nothing := func(*attachment, *process) {}
	lose := func(a *attachment, one *process) {
		a.kill(one)
		if err := os.RemoveAll(filepath.Join(one.folder, "data")); err != nil {
			a.t.Error(err)
		}
	}
	freezeAndIsolate := func(a *attachment, one *process) {
		freeze(a, one)
		isolate(a, one)
	}
	return []attachedFault{
		{"follower isolated", false, false, isolate, nothing, heal},
		{"follower isolated with its daemons", false, true, isolate, nothing, heal},
		{"leader isolated", true, false, isolate, nothing, heal},
		{"leader killed", true, false, kill, nothing, start},
		{"next leader killed once the first is back", true, false, kill, nothing, start},
		{"leader frozen until another has accepted", true, false, freeze, resume, nothing},
		{"leader frozen for long", true, false, freeze, nothing, resume},
		{"leader frozen and resumed while isolated", true, false, freezeAndIsolate, resume, heal},
		{"data folder of a follower lost", false, false, lose, nothing, start},
		{"data folder of the leader lost", true, false, lose, nothing, start},
	}
}

// TestDaemonsKeepWhatWasAccepted brings faults on the control instance to which two daemons are attached, while
// operators publish, and then makes them go back to that one at once. The revision in force at a daemon never falls, all of them get all that was accepted, and no
// request is served with a withdrawn key that was sent later than the freshness lease after the withdrawal.
func TestDaemonsKeepWhatWasAccepted(t *testing.T) {
	a := startAttachment(t)
	a.settle()
	for i, fault := range attachedFaults() {
		a.bring(t, fault, fmt.Sprintf("doomed-%d", i))
	}
	for range 2 {
		a.loseAnswer(t)
	}
}

func (a *attachment) bring(t *testing.T, fault attachedFault, doomed string) {
	t.Helper()
	leader, others := a.split()
	one := others[0]
	if fault.ofLeader {
		one = leader
	}
	a.attachTo(one)
	a.addKey(doomed)
	a.onAll(doomed+" served", func(d *attachedDaemon) bool {
		sent, _ := d.lastServed(doomed)
		return !sent.IsZero()
	})
	if !fault.confined {
		a.setFree()
	}
	fault.begin(a, one)
	begun := time.Now()
	revision, accepted := a.withdrawKey(doomed)
	fault.goOn(a, one)
	if !fault.confined {
		a.onAll("the withdrawal in force", func(d *attachedDaemon) bool { return d.revision.Load() >= revision })
		t.Logf("%s: accepted after %s, in force after %s more", fault.name, accepted.Sub(begun), time.Since(accepted))
	}
	time.Sleep(time.Until(accepted.Add(freshness + afterLease)))
	a.confine(one)
	fault.end(a, one)
	a.attachTo(one)
	a.setFree()
	a.settle()
	for _, d := range a.daemons {
		sent, refused := d.lastServed(doomed)
		if bound := accepted.Add(freshness); sent.After(bound) {
			t.Errorf("%s: %s served a request with a withdrawn key %s after the lease", fault.name, d.name, sent.Sub(bound))
		}
		if refused != "key-withdrawn" {
			t.Errorf("%s: %s refuses with %q", fault.name, d.name, refused)
		}
	}
}

// loseAnswer kills the leader after a publication is in force at the daemons and before its answer is read. Sent
// again to the next leader it gets the answer of the first time, also after another publication.
func (a *attachment) loseAnswer(t *testing.T) {
	t.Helper()
	leader, _ := a.split()
	listener, address := a.ports.reserve(t)
	muted := newRelay(listener, leader.operators)
	muted.muted = true
	defer muted.close()
	a.paused(func() { a.publishInVain(t, leader, muted, address) })
	a.start(leader)
	a.settle()
}

func (a *attachment) publishInVain(t *testing.T, leader *process, muted *relay, address netip.AddrPort) {
	t.Helper()
	a.set.Limits[0].Burst++
	id := fmt.Sprintf("publication-%d", len(a.accepted))
	publish := configuration.PublishRequest{ID: id, Base: a.revision, Author: "test", Set: a.set}
	publish.Set.Limits = slices.Clone(a.set.Limits)
	lost := make(chan error, 1)
	go func() {
		client := operator.NewClient([]netip.AddrPort{address}, operator.WithPatience(0), operator.WithTimeout(processBound))
		_, err := client.Publish(context.Background(), publish)
		lost <- err
	}()
	a.onAll("the publication in force", func(d *attachedDaemon) bool { return d.revision.Load() > a.revision })
	inForce := a.daemons[0].revision.Load()
	a.kill(leader)
	muted.close()
	if err := <-lost; err == nil {
		t.Error("the answer was not lost")
	}
	a.accepted = append(a.accepted, id)
	a.revision = inForce
	for range 2 {
		published, err := a.processes.client.Publish(context.Background(), publish)
		if err != nil || published.Kind != configuration.Accepted || published.Revision != inForce {
			t.Errorf("resent: %+v, %v; in force was %d", published, err, inForce)
		}
		a.set.Limits[0].Burst++
		if err := a.publishSet(a.set); err != nil {
			t.Error(err)
		}
	}
}
