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

const leaseMargin = 500 * time.Millisecond

// attachedFault is a fault of the instance to which the daemons are attached. begin runs before a key is withdrawn,
// afterWithdrawal once the withdrawal is accepted, and end after the freshness lease from before it has expired.
// Confined daemons cannot attach to another instance.
type attachedFault struct {
	name            string
	ofLeader        bool
	confined        bool
	begin           func(a *attachedCluster, instance *process)
	afterWithdrawal func(a *attachedCluster, instance *process)
	end             func(a *attachedCluster, instance *process)
}

func attachedFaults() []attachedFault {
	isolate := func(a *attachedCluster, instance *process) { a.isolate(instance, true) }
	heal := func(a *attachedCluster, instance *process) { a.isolate(instance, false) }
	freeze := func(a *attachedCluster, instance *process) { a.signal(instance, syscall.SIGSTOP) }
	resume := func(a *attachedCluster, instance *process) { a.signal(instance, syscall.SIGCONT) }
	kill := func(a *attachedCluster, instance *process) { a.kill(instance) }
	start := func(a *attachedCluster, instance *process) { a.start(instance) }
	nothing := func(*attachedCluster, *process) {}
	loseDataFolder := func(a *attachedCluster, instance *process) {
		a.kill(instance)
		if err := os.RemoveAll(filepath.Join(instance.folder, "data")); err != nil {
			a.t.Error(err)
		}
	}
	freezeAndIsolate := func(a *attachedCluster, instance *process) {
		freeze(a, instance)
		isolate(a, instance)
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
		{"data folder of a follower lost", false, false, loseDataFolder, nothing, start},
		{"data folder of the leader lost", true, false, loseDataFolder, nothing, start},
	}
}

// TestDaemonsKeepWhatWasAccepted injects faults into the control instance to which two daemons are attached, under
// continuous publishing, and makes the daemons reattach to it immediately after the fault. The revision in force at a
// daemon must never decrease, all daemons must receive every accepted publication, and no request with a withdrawn key
// may be served if it was sent more than the freshness lease after the withdrawal was accepted.
func TestDaemonsKeepWhatWasAccepted(t *testing.T) {
	a := startAttachedCluster(t)
	a.settle()
	for i, fault := range attachedFaults() {
		a.injectFault(t, fault, fmt.Sprintf("doomed-%d", i))
	}
	for range 2 {
		a.loseResponse(t)
	}
}

// injectFault runs one fault around the withdrawal of the key keyName and checks that daemons refuse the key in time.
func (a *attachedCluster) injectFault(t *testing.T, fault attachedFault, keyName string) {
	t.Helper()
	leader, others := a.leaderAndFollowers()
	instance := others[0]
	if fault.ofLeader {
		instance = leader
	}
	a.attachTo(instance)
	a.addKey(keyName)
	a.awaitAllDaemons(keyName+" served", func(d *attachedDaemon) bool {
		sent, _ := d.lastServed(keyName)
		return !sent.IsZero()
	})
	if !fault.confined {
		a.allowAll()
	}
	fault.begin(a, instance)
	started := time.Now()
	revision, accepted := a.withdrawKey(keyName)
	fault.afterWithdrawal(a, instance)
	if !fault.confined {
		a.awaitAllDaemons("the withdrawal in force", func(d *attachedDaemon) bool { return d.revision.Load() >= revision })
		t.Logf("%s: accepted after %s, in force after %s more", fault.name, accepted.Sub(started), time.Since(accepted))
	}
	time.Sleep(time.Until(accepted.Add(freshnessLease + leaseMargin)))
	a.allowOnly(instance)
	fault.end(a, instance)
	a.attachTo(instance)
	a.allowAll()
	a.settle()
	for _, d := range a.daemons {
		sent, refused := d.lastServed(keyName)
		if bound := accepted.Add(freshnessLease); sent.After(bound) {
			t.Errorf("%s: %s served a request with a withdrawn key, sent %s after the lease expired", fault.name, d.name, sent.Sub(bound))
		}
		if refused != "key-withdrawn" {
			t.Errorf("%s: %s refused the withdrawn key with %q", fault.name, d.name, refused)
		}
	}
}

// loseResponse kills the leader after a publication is in force at the daemons but before the client reads the
// response. Resending the publication to the next leader must return the original result, even after another
// publication.
func (a *attachedCluster) loseResponse(t *testing.T) {
	t.Helper()
	leader, _ := a.leaderAndFollowers()
	listener, address := a.ports.reserve(t)
	muted := newRelay(listener, leader.operators)
	muted.muted = true
	defer muted.close()
	a.withoutPublishing(func() { a.publishWithoutResponse(t, leader, muted, address) })
	a.start(leader)
	a.settle()
}

// publishWithoutResponse publishes through the muted relay, kills the leader once the publication is in force, and
// checks that resending it returns the original result.
func (a *attachedCluster) publishWithoutResponse(t *testing.T, leader *process, muted *relay, address netip.AddrPort) {
	t.Helper()
	a.set.Limits[0].Burst++
	id := fmt.Sprintf("publication-%d", len(a.accepted))
	publish := configuration.PublishRequest{ID: id, Base: a.revision, Author: "test", Set: a.set}
	publish.Set.Limits = slices.Clone(a.set.Limits)
	publishErr := make(chan error, 1)
	go func() {
		client := operator.NewClient([]netip.AddrPort{address}, operator.WithRetryTimeout(0), operator.WithRequestTimeout(processBound))
		_, err := client.Publish(context.Background(), publish)
		publishErr <- err
	}()
	a.awaitAllDaemons("the publication in force", func(d *attachedDaemon) bool { return d.revision.Load() > a.revision })
	inForce := a.daemons[0].revision.Load()
	a.kill(leader)
	muted.close()
	if err := <-publishErr; err == nil {
		t.Error("the client received the response")
	}
	a.accepted = append(a.accepted, id)
	a.revision = inForce
	for range 2 {
		result, err := a.cluster.client.Publish(context.Background(), publish)
		if err != nil || result.Kind != configuration.Accepted || result.Revision != inForce {
			t.Errorf("resent publication: %+v, %v; want accepted revision %d", result, err, inForce)
		}
		a.set.Limits[0].Burst++
		if err := a.publishSet(a.set); err != nil {
			t.Error(err)
		}
	}
}
