package control_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/key"
)

const (
	freshnessLease = 3 * time.Second
	samplePeriod   = 20 * time.Millisecond
	publishPeriod  = 30 * time.Millisecond
)

// attachedDaemon is a daemon process with its latest observed revision and the latest results per key.
type attachedDaemon struct {
	name                            string
	callers, nestedCalls, operators netip.AddrPort
	log                             *bytes.Buffer
	revision                        atomic.Uint64
	mu                              sync.Mutex
	served                          map[string]time.Time
	refused                         map[string]string
}

// attachedCluster is three control instances and two daemons, each with a stand-in backend server, under continuous
// publishing.
type attachedCluster struct {
	*cluster
	daemons    []*attachedDaemon
	client     *http.Client
	mu         sync.Mutex
	set        configuration.Set
	background sync.WaitGroup
	done       chan struct{}
}

// startAttachedCluster starts the cluster, its daemons, and the background publishing and sampling.
func startAttachedCluster(t *testing.T) *attachedCluster {
	t.Helper()
	a := &attachedCluster{cluster: startCluster(t), client: &http.Client{Timeout: 2 * time.Second}, done: make(chan struct{})}
	a.set = configuration.Set{
		Limits:     []configuration.Limit{{Name: "ample", Rate: 10_000, Burst: 10_000}},
		Workspaces: []configuration.Workspace{{Name: "club", Limit: "ample", Share: 1}},
		Priorities: []configuration.Priority{{Name: "high"}},
		Services:   []configuration.Service{{Name: "courts", RetryBudget: 0.1, MinimumRetriesPerSecond: 1}},
		Routes:     []configuration.Route{{Name: "courts", Path: "/courts/*", Service: "courts", Priority: "high", Deadline: time.Second, Repeatable: true}},
	}
	a.addKey("kept")
	standIn := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") }))
	t.Cleanup(standIn.Close)
	for i := range 2 {
		d := a.startDaemon(fmt.Sprintf("daemon-%d", i+1))
		a.daemons = append(a.daemons, d)
		a.repeat(samplePeriod, func() { a.sampleRevision(d) })
		a.repeat(samplePeriod, func() { a.sampleKeys(d) })
		a.repeat(300*time.Millisecond, func() { a.announce(d, standIn.Listener.Addr().String()) })
	}
	a.repeat(publishPeriod, func() { a.change(func(set *configuration.Set) { set.Limits[0].Burst++ }) })
	t.Cleanup(func() {
		close(a.done)
		a.background.Wait()
	})
	return a
}

// repeat calls step every period in the background until the test ends.
func (a *attachedCluster) repeat(period time.Duration, step func()) {
	a.background.Go(func() {
		for {
			select {
			case <-a.done:
				return
			case <-time.After(period):
				step()
			}
		}
	})
}

// startDaemon starts a daemon process that reaches the instances through their daemon relays.
func (a *attachedCluster) startDaemon(name string) *attachedDaemon {
	d := &attachedDaemon{
		name: name, callers: a.ports.free(a.t), nestedCalls: a.ports.free(a.t), operators: a.ports.free(a.t),
		log: &bytes.Buffer{}, served: make(map[string]time.Time), refused: make(map[string]string),
	}
	var controlAddresses []string
	for _, instance := range a.instances {
		controlAddresses = append(controlAddresses, fmt.Sprintf("%q", instance.daemonRelay.listener.Addr()))
	}
	path := filepath.Join(a.t.TempDir(), "daemon.toml")
	text := fmt.Sprintf("name = %q\ncluster = \"test\"\nfailure-domain = \"east\"\ncallers-listen = %q\npeer-listen = %q\nsubcalls-listen = %q\n"+
		"operators-listen = %q\ncontrol = [%s]\nfreshness = %q\n",
		name, d.callers, a.ports.free(a.t), d.nestedCalls, d.operators, strings.Join(controlAddresses, ", "), freshnessLease)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		a.t.Fatal(err)
	}
	command := exec.Command(a.binary, "daemon", path)
	command.Stderr = d.log
	if err := command.Start(); err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if a.t.Failed() {
			a.t.Logf("%s:\n%s", name, d.log)
		}
	})
	return d
}

// sampleRevision reads the revision in force at a daemon and fails the test if it has decreased.
func (a *attachedCluster) sampleRevision(d *attachedDaemon) {
	response, err := a.client.Get("http://" + d.operators.String() + "/metrics")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var metrics struct {
		Daemon struct{ Readiness struct{ Revision uint64 } }
	}
	if json.NewDecoder(response.Body).Decode(&metrics) != nil {
		return
	}
	revision := metrics.Daemon.Readiness.Revision
	if previous := d.revision.Swap(revision); revision < previous {
		a.t.Errorf("%s: revision %d in force after %d", d.name, revision, previous)
	}
}

// sampleKeys sends a request with each key and records when the last served request was sent and the last refusal.
func (a *attachedCluster) sampleKeys(d *attachedDaemon) {
	a.mu.Lock()
	keys := make([]string, 0, len(a.set.Keys))
	for _, configured := range a.set.Keys {
		keys = append(keys, configured.Name)
	}
	a.mu.Unlock()
	for _, name := range keys {
		sent := time.Now()
		request, _ := http.NewRequest(http.MethodGet, "http://"+d.callers.String()+"/courts/1", nil)
		request.Header.Set("Authorization", "Bearer "+secretOf(name))
		response, err := a.client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		d.mu.Lock()
		if response.StatusCode == http.StatusOK {
			d.served[name] = sent
		}
		d.refused[name] = response.Header.Get("Sapphirespread-Refusal")
		d.mu.Unlock()
	}
}

// lastServed returns when the last served request with the key was sent, and the refusal of the latest request, if any.
func (d *attachedDaemon) lastServed(name string) (time.Time, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.served[name], d.refused[name]
}

// announce announces the stand-in at address to the daemon.
func (a *attachedCluster) announce(d *attachedDaemon, address string) {
	body := fmt.Sprintf(`{"name":"standin-of-%s","service":"courts","address":%q,"slots":64,"state":"ready"}`, d.name, address)
	request, _ := http.NewRequest(http.MethodPut, "http://"+d.nestedCalls.String()+"/announce/v1/target", strings.NewReader(body))
	if response, err := a.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

func secretOf(name string) string { return "secret-of-" + name + "-0123456789abcdef" }

// change publishes a change and returns the accepted revision and the time of its acceptance.
func (a *attachedCluster) change(apply func(*configuration.Set)) (uint64, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	apply(&a.set)
	if err := a.publishSet(a.set); err != nil {
		a.t.Error(err)
	}
	return a.revision, time.Now()
}

func (a *attachedCluster) addKey(name string) {
	a.change(func(set *configuration.Set) {
		set.Keys = append(set.Keys, configuration.Key{Name: name, Workspace: "club", Hash: key.Hash(secretOf(name))})
	})
}

func (a *attachedCluster) withdrawKey(name string) (uint64, time.Time) {
	return a.change(func(set *configuration.Set) {
		for i := range set.Keys {
			set.Keys[i].Withdrawn = set.Keys[i].Withdrawn || set.Keys[i].Name == name
		}
	})
}

// awaitAllDaemons waits until the condition holds for all daemons.
func (a *attachedCluster) awaitAllDaemons(condition string, holds func(*attachedDaemon) bool) {
	a.t.Helper()
	for deadline := time.Now().Add(processBound); time.Now().Before(deadline); time.Sleep(samplePeriod) {
		held := true
		for _, d := range a.daemons {
			held = held && holds(d)
		}
		if held {
			return
		}
	}
	a.t.Fatalf("timed out waiting at all daemons for: %s", condition)
}

// allowOnly makes all other instances refuse the daemons, until allowAll is called.
func (a *attachedCluster) allowOnly(to *process) {
	for _, other := range a.instances {
		other.daemonRelay.setRefusing(other != to)
	}
}

// allowAll ends allowOnly.
func (a *attachedCluster) allowAll() {
	for _, instance := range a.instances {
		instance.daemonRelay.setRefusing(false)
	}
}

// attachTo makes the daemons attach to one instance and waits until they have received a revision through it.
func (a *attachedCluster) attachTo(instance *process) {
	a.t.Helper()
	a.allowOnly(instance)
	revision, _ := a.change(func(*configuration.Set) {})
	a.awaitAllDaemons("a revision through "+instance.name, func(d *attachedDaemon) bool { return d.revision.Load() >= revision })
}

// settle pauses publishing until all instances and daemons have the last revision, checks that the history holds each
// accepted publication once and in order, and waits until the daemons serve requests with the valid key.
func (a *attachedCluster) settle() {
	a.t.Helper()
	a.withoutPublishing(func() {
		a.awaitCaughtUp()
		a.checkHistory()
		a.awaitAllDaemons("the last revision", func(d *attachedDaemon) bool { return d.revision.Load() == a.revision })
	})
	now := time.Now()
	a.awaitAllDaemons("requests served", func(d *attachedDaemon) bool {
		sent, _ := d.lastServed("kept")
		return sent.After(now)
	})
}

// withoutPublishing runs step while background publishing is paused.
func (a *attachedCluster) withoutPublishing(step func()) {
	a.t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	step()
}
