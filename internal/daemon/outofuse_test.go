package daemon_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/internal/membership/evacuation"
)

// order takes a failure domain out of use or back into use.
func (f *fleet) order(domain string, out bool) {
	f.t.Helper()
	f.eventually("an order to be committed", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return f.control.OrderFailureDomain(ctx, evacuation.Order{Domain: domain, Out: out}) == nil
	})
}

// domainsState is the state of the failure domains in the metrics of a daemon.
type domainsState struct {
	OutOfUse []string `json:"out-of-use"`
	Refuses  bool     `json:"refuses"`
}

// awaitDomains waits until a condition holds for the failure domains at the daemon.
func (f *fleet) awaitDomains(d *daemon.Daemon, holds func(domainsState) bool) {
	f.t.Helper()
	f.eventually("the failure domains out of use at a daemon", func() bool {
		response, err := http.Get("http://" + d.OperatorsAddress().String() + "/metrics")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		var metrics struct {
			Daemon struct {
				Domains domainsState `json:"failure-domains"`
			} `json:"daemon"`
		}
		return json.NewDecoder(response.Body).Decode(&metrics) == nil && holds(metrics.Daemon.Domains)
	})
}

// awaitOutOfUse waits until exactly these failure domains are out of use at the daemon.
func (f *fleet) awaitOutOfUse(d *daemon.Daemon, domains ...string) {
	f.t.Helper()
	f.awaitDomains(d, func(s domainsState) bool { return slices.Equal(s.OutOfUse, domains) })
}

// awaitRefusing waits until the daemon refuses calls since its own failure domain is out of use.
func (f *fleet) awaitRefusing(d *daemon.Daemon) {
	f.t.Helper()
	f.awaitDomains(d, func(s domainsState) bool { return s.Refuses })
}

// countingBackend starts a backend server in a failure domain, which counts its runs.
func (f *fleet) countingBackend(name, domain string) (*backendServer, *atomic.Int64) {
	f.t.Helper()
	runs := &atomic.Int64{}
	f.domain = domain
	return f.backend(name, "courts", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		_, _ = io.WriteString(w, name)
	}), runs
}

// TestCallersKeepBeingServedWhileADomainLeavesAndReturns keeps callers calling while the failure domain of their daemon is
// taken out of use and back. None is refused, and none reaches the backend server there once the order is in force.
func TestCallersKeepBeingServedWhileADomainLeavesAndReturns(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	leaving, runs := f.countingBackend("courts-1", "domain-1")
	other, _ := f.countingBackend("courts-2", "domain-2")
	for _, from := range []*daemon.Daemon{leaving.daemon, other.daemon} {
		f.eventually("both backend servers to be known", func() bool { return ask(from, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK })
	}
	f.eventually("the own failure domain to be used", func() bool { return ask(leaving.daemon, http.MethodGet, "/courts/1", "club", "").body == "courts-1" })
	ctx, stop := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var refused atomic.Int64
	for i := range 8 {
		from := []*daemon.Daemon{leaving.daemon, other.daemon}[i%2]
		callers.Go(func() {
			for ctx.Err() == nil {
				if got := ask(from, http.MethodGet, "/courts/1", "club", ""); got.status != http.StatusOK {
					refused.Add(1)
				}
			}
		})
	}
	f.order("domain-1", true)
	f.awaitOutOfUse(leaving.daemon, "domain-1")
	f.awaitOutOfUse(other.daemon, "domain-1")
	// Runs that had begun end within the time of a call.
	time.Sleep(100 * time.Millisecond)
	before := runs.Load()
	time.Sleep(500 * time.Millisecond)
	if late := runs.Load() - before; late > 0 {
		t.Errorf("%d calls ran in the failure domain out of use", late)
	}
	f.order("domain-1", false)
	f.eventually("the failure domain to be used again", func() bool { return runs.Load() > before })
	stop()
	callers.Wait()
	if n := refused.Load(); n > 0 {
		t.Errorf("%d calls were not served", n)
	}
}

// TestCutOffDaemonLearnsOfAnOrderFromAnswers takes a failure domain out of use while a daemon has lost control. The backend
// server's own daemon refuses its call, and the report with the refusal tells it of the order.
func TestCutOffDaemonLearnsOfAnOrderFromAnswers(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	leaving, runs := f.countingBackend("courts-1", "domain-1")
	f.countingBackend("courts-2", "domain-2")
	f.domain = "domain-1"
	controlRelay := newRelay(t, f.peer)
	f.peer = addressOf(controlRelay.listener)
	cutOff, _, _ := f.daemon("entry")
	call := func() reply { return ask(cutOff, http.MethodGet, "/open/1", "", "") }
	f.eventually("a call to run in the own failure domain", func() bool { return call().body == "courts-1" })
	controlRelay.arm(freeze)
	f.order("domain-1", true)
	f.awaitRefusing(leaving.daemon)
	before := runs.Load()
	f.eventually("a call to run in the other failure domain", func() bool { return call().body == "courts-2" })
	f.awaitOutOfUse(cutOff, "domain-1")
	for range 50 {
		if got := call(); got.body != "courts-2" {
			t.Errorf("answer %d %q", got.status, got.body)
		}
	}
	if late := runs.Load() - before; late > 0 {
		t.Errorf("%d calls ran in the failure domain out of use", late)
	}
}

// TestDaemonsThatStartLateKnowTheOrder takes a failure domain out of use before any daemon runs. None of its targets is
// ever called, even by a daemon that has just attached.
func TestDaemonsThatStartLateKnowTheOrder(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	f.order("domain-1", true)
	leaving, runs := f.countingBackend("courts-1", "domain-1")
	f.countingBackend("courts-2", "domain-2")
	f.domain = "domain-1"
	entry, _, _ := f.daemon("entry")
	for _, from := range []*daemon.Daemon{leaving.daemon, entry} {
		f.eventually("an answer", func() bool { return ask(from, http.MethodGet, "/courts/1", "club", "").body == "courts-2" })
	}
	if n := runs.Load(); n > 0 {
		t.Errorf("%d calls ran in the failure domain out of use", n)
	}
}

// TestCallThatWaitsWhenItsDomainLeavesRunsElsewhere takes a failure domain out of use while a call waits there for room.
func TestCallThatWaitsWhenItsDomainLeavesRunsElsewhere(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	var held atomic.Int64
	release := make(chan struct{})
	leaving := f.backendOf("courts-1", "courts", 2, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/courts/fast" {
			held.Add(1)
			<-release
		}
		_, _ = io.WriteString(w, "courts-1")
	})
	f.eventually("an answer", func() bool {
		return ask(leaving.daemon, http.MethodGet, "/courts/fast", "club", "").status == http.StatusOK
	})
	bodies := make(chan string, 3)
	for i := range cap(bodies) {
		go func() { bodies <- ask(leaving.daemon, http.MethodGet, "/courts/held", "club", "").body }()
		f.eventually("the calls to run or wait", func() bool { return held.Load() == int64(min(i+1, 2)) })
	}
	f.eventually("the third call to wait", func() bool { return waitingCalls(leaving.daemon) == 1 })
	f.countingBackend("courts-2", "domain-2")
	f.order("domain-1", true)
	f.awaitRefusing(leaving.daemon)
	close(release)
	got := []string{<-bodies, <-bodies, <-bodies}
	slices.Sort(got)
	if !slices.Equal(got, []string{"courts-1", "courts-1", "courts-2"}) {
		t.Errorf("answers %q", got)
	}
}

// waitingCalls returns how many calls wait at the daemon's admission.
func waitingCalls(d *daemon.Daemon) int {
	response, err := http.Get("http://" + d.OperatorsAddress().String() + "/metrics")
	if err != nil {
		return -1
	}
	defer func() { _ = response.Body.Close() }()
	var metrics struct {
		Daemon struct {
			Admission struct{ Waiting int } `json:"admission"`
		} `json:"daemon"`
	}
	if json.NewDecoder(response.Body).Decode(&metrics) != nil {
		return -1
	}
	return metrics.Daemon.Admission.Waiting
}
