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
	freshness     = 3 * time.Second
	samplePeriod  = 20 * time.Millisecond
	publishPeriod = 30 * time.Millisecond
)

// attachedDaemon is a daemon as a process, with what is seen of it from outside.
type attachedDaemon struct {
	name                         string
	callers, subcalls, operators netip.AddrPort
	log                          *bytes.Buffer
	revision                     atomic.Uint64
	mu                           sync.Mutex
	served                       map[string]time.Time
	refused                      map[string]string
}

// attachment is three control instances with two daemons, a stand-in behind each, and operators who publish all the while.
type attachment struct {
	*processes
	daemons []*attachedDaemon
	client  *http.Client
	mu      sync.Mutex
	set     configuration.Set
	running sync.WaitGroup
	done    chan struct{}
}

func startAttachment(t *testing.T) *attachment {
	t.Helper()
	a := &attachment{processes: startThree(t), client: &http.Client{Timeout: 2 * time.Second}, done: make(chan struct{})}
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
		a.running.Wait()
	})
	return a
}

// repeat calls step again and again until the end of the test.
func (a *attachment) repeat(period time.Duration, step func()) {
	a.running.Go(func() {
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

func (a *attachment) startDaemon(name string) *attachedDaemon {
	d := &attachedDaemon{
		name: name, callers: a.ports.free(a.t), subcalls: a.ports.free(a.t), operators: a.ports.free(a.t),
		log: &bytes.Buffer{}, served: make(map[string]time.Time), refused: make(map[string]string),
	}
	var doors []string
	for _, one := range a.all {
		doors = append(doors, fmt.Sprintf("%q", one.door.listener.Addr()))
	}
	path := filepath.Join(a.t.TempDir(), "daemon.toml")
	text := fmt.Sprintf("name = %q\ncluster = \"test\"\nfailure-domain = \"east\"\ncallers-listen = %q\npeer-listen = %q\nsubcalls-listen = %q\n"+
		"operators-listen = %q\ncontrol = [%s]\nfreshness = %q\n",
		name, d.callers, a.ports.free(a.t), d.subcalls, d.operators, strings.Join(doors, ", "), freshness)
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

// sampleRevision reads the revision in force at a daemon, which must never fall.
func (a *attachment) sampleRevision(d *attachedDaemon) {
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
	now := metrics.Daemon.Readiness.Revision
	if before := d.revision.Swap(now); now < before {
		a.t.Errorf("%s: revision %d in force after %d", d.name, now, before)
	}
}

// sampleKeys sends a request with each key and notes when the last one that was served had been sent.
func (a *attachment) sampleKeys(d *attachedDaemon) {
	a.mu.Lock()
	keys := make([]string, 0, len(a.set.Keys))
	for _, one := range a.set.Keys {
		keys = append(keys, one.Name)
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

// lastServed returns when the last served request with the key was sent, and how the last one was refused, if it was.
func (d *attachedDaemon) lastServed(name string) (time.Time, string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.served[name], d.refused[name]
}

func (a *attachment) announce(d *attachedDaemon, address string) {
	said := fmt.Sprintf(`{"name":"standin-of-%s","service":"courts","address":%q,"slots":64,"state":"ready"}`, d.name, address)
	request, _ := http.NewRequest(http.MethodPut, "http://"+d.subcalls.String()+"/announce/v1/target", strings.NewReader(said))
	if response, err := a.client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}

func secretOf(name string) string { return "secret-of-" + name + "-0123456789abcdef" }

// change publishes a change and returns the revision that was accepted, and when.
func (a *attachment) change(apply func(*configuration.Set)) (uint64, time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	apply(&a.set)
	if err := a.publishSet(a.set); err != nil {
		a.t.Error(err)
	}
	return a.revision, time.Now()
}

func (a *attachment) addKey(name string) {
	a.change(func(set *configuration.Set) {
		set.Keys = append(set.Keys, configuration.Key{Name: name, Workspace: "club", Hash: key.Hash(secretOf(name))})
	})
}

func (a *attachment) withdrawKey(name string) (uint64, time.Time) {
	return a.change(func(set *configuration.Set) {
		for i := range set.Keys {
			set.Keys[i].Withdrawn = set.Keys[i].Withdrawn || set.Keys[i].Name == name
		}
	})
}

// onAll waits until all daemons hold what is asked.
func (a *attachment) onAll(what string, holds func(*attachedDaemon) bool) {
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
	a.t.Fatalf("waited at all daemons for: %s", what)
}

// confine makes the daemons reach one instance only, until they are set free.
func (a *attachment) confine(to *process) {
	for _, other := range a.all {
		other.door.setRefusing(other != to)
	}
}

func (a *attachment) setFree() {
	for _, one := range a.all {
		one.door.setRefusing(false)
	}
}

// attachTo makes the daemons attach to one instance and waits for a revision from there.
func (a *attachment) attachTo(one *process) {
	a.t.Helper()
	a.confine(one)
	revision, _ := a.change(func(*configuration.Set) {})
	a.onAll("a revision through "+one.name, func(d *attachedDaemon) bool { return d.revision.Load() >= revision })
}

// settle stops publishing until all instances and daemons have the last revision, each accepted publication is there
// once and in order, and the daemons serve the key that is kept.
func (a *attachment) settle() {
	a.t.Helper()
	a.paused(func() {
		a.waitForAll()
		a.check()
		a.onAll("the last revision", func(d *attachedDaemon) bool { return d.revision.Load() == a.revision })
	})
	now := time.Now()
	a.onAll("requests served", func(d *attachedDaemon) bool {
		sent, _ := d.lastServed("kept")
		return sent.After(now)
	})
}

// paused runs step while nobody else publishes.
func (a *attachment) paused(step func()) {
	a.t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	step()
}
