package daemon_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/internal/daemon"
)

// Faults of a faultyServer.
const (
	faultNone = iota
	faultSlow
	faultResetBefore
	faultResetMidway
	faultEarlyAnswer
	faultCount
)

// faultyServer is a backend server that answers with a hash of the request, counts runs by request and injects its
// current fault.
type faultyServer struct {
	fault atomic.Int64
	runs  *runTable
}

// runTable counts the runs of each request across all backend servers.
type runTable struct {
	mu   sync.Mutex
	runs map[string]int
}

func (r *runTable) add(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request]++
}

func (r *runTable) count(request string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[request]
}

func (s *faultyServer) handle(w http.ResponseWriter, r *http.Request) {
	s.runs.add(r.URL.RawQuery)
	switch s.fault.Load() {
	case faultSlow:
		time.Sleep(30 * time.Millisecond)
	case faultResetBefore:
		panic(http.ErrAbortHandler)
	case faultEarlyAnswer:
		w.WriteHeader(http.StatusTeapot)
		return
	}
	content, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	answer := expectedAnswer(r.URL.RawQuery, string(content))
	if s.fault.Load() == faultResetMidway {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

// expectedAnswer returns the complete answer to a request, whose length grows with the body so that it may span several
// frames.
func expectedAnswer(request, body string) string {
	return strings.Repeat(hashOf(request+body), 1+len(body)/8)
}

// TestPromisesHoldUnderRandomFaults sends calls through two daemons to backend servers with random faults, while a key
// is repeatedly withdrawn and restored. Each complete answer must belong to its request, no request reported as not run
// may have run, and no request may exceed its attempts.
func TestPromisesHoldUnderRandomFaults(t *testing.T) {
	f := newFleet(t)
	set := baseSet()
	set.Routes[0].Deadline = 2 * time.Second
	f.publish(set)
	runs := &runTable{runs: make(map[string]int)}
	var servers []*faultyServer
	for i, service := range []string{"courts", "courts", "courts", "bookings", "bookings"} {
		server := &faultyServer{runs: runs}
		f.backend(fmt.Sprintf("%s-%d", service, i), service, server.handle)
		servers = append(servers, server)
	}
	var entries []*daemon.Daemon
	for _, name := range []string{"one", "two"} {
		d, _, _ := f.daemon(name)
		f.eventually("answers", func() bool {
			return ask(d, http.MethodPost, "/courts/1?warm", "club", "").status == http.StatusOK &&
				ask(d, http.MethodPost, "/bookings?warm", "club", "", "Idempotency-Key", "warm").status == http.StatusOK
		})
		entries = append(entries, d)
	}
	random := rand.New(rand.NewPCG(7, 11))
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() {
		for turn := 0; ; turn++ {
			select {
			case <-stop:
				return
			case <-time.After(25 * time.Millisecond):
			}
			servers[random.IntN(len(servers))].fault.Store(int64(random.IntN(faultCount)))
			if turn%20 == 10 {
				set.Keys[1].Withdrawn = !set.Keys[1].Withdrawn
				f.publish(set)
			}
		}
	})
	const callers, calls = 16, 80
	var answered, notRun, unknown atomic.Int64
	var senders sync.WaitGroup
	for caller := range callers {
		senders.Go(func() {
			for number := range calls {
				id := fmt.Sprintf("%d-%d", caller, number)
				body := strings.Repeat("b", (caller*7919+number*104729)%120_000)
				workspace := []string{"club", "federation"}[number%2]
				path := []string{"/courts/1?", "/bookings?"}[number%3/2]
				got := ask(entries[number%2], http.MethodPost, path+id, workspace, body, "Idempotency-Key", "key-"+id)
				ran := runs.count(id)
				repeatable := path == "/courts/1?"
				switch {
				case got.err == nil && got.status == http.StatusOK:
					answered.Add(1)
					if got.body != expectedAnswer(id, body) {
						t.Errorf("%s: an answer of %d bytes that is not its own", id, len(got.body))
					}
				case got.header.Get("Sapphirespread-Run-State") == "not-run":
					notRun.Add(1)
					if ran > 0 {
						t.Errorf("%s: refused with %s as not run, and ran %d times", id, got.refusal(), ran)
					}
				default:
					unknown.Add(1)
				}
				if !repeatable && ran > 1 {
					t.Errorf("%s: ran %d times", id, ran)
				}
				if extra := set.Routes[0].ExtraAttempts; ran > 1+extra {
					t.Errorf("%s: %d attempts, at most %d", id, ran, 1+extra)
				}
			}
		})
	}
	senders.Wait()
	close(stop)
	faults.Wait()
	t.Logf("%d complete answers, %d refused as not run, %d of unknown outcome", answered.Load(), notRun.Load(), unknown.Load())
	if answered.Load() == 0 || notRun.Load() == 0 || unknown.Load() == 0 {
		t.Error("the faults did not produce all outcomes")
	}
}

// TestNestedAnswersAreEachTheirOwn sends 1200 root requests from 40 concurrent callers through a service that makes a
// nested call, and checks by hash that each answer is the one of its own nested call.
func TestNestedAnswersAreEachTheirOwn(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	inner := &faultyServer{runs: &runTable{runs: make(map[string]int)}}
	for i := range 2 {
		f.backendOf(fmt.Sprintf("courts-%d", i), "courts", 512, inner.handle)
	}
	var outer *backendServer
	outer = f.backendOf("charges-1", "charges", 512, func(w http.ResponseWriter, r *http.Request) {
		nested, _ := http.NewRequestWithContext(r.Context(), http.MethodPost,
			"http://"+outer.daemon.SubcallsAddress().String()+"/courts/1?"+r.URL.RawQuery, r.Body)
		nested.Header.Set("Sapphirespread-Call-Token", r.Header.Get("Sapphirespread-Call-Token"))
		got := send(nested)
		w.WriteHeader(got.status)
		_, _ = io.WriteString(w, got.body)
	})
	entry, _, _ := f.daemon("entry")
	f.eventually("an answer", func() bool {
		return ask(entry, http.MethodPost, "/charges?warm", "club", "", "Idempotency-Key", "warm").status == http.StatusOK
	})
	const callers, calls = 40, 30
	var answered atomic.Int64
	var senders sync.WaitGroup
	for caller := range callers {
		senders.Go(func() {
			for number := range calls {
				id := fmt.Sprintf("%d-%d", caller, number)
				body := strings.Repeat("b", (caller*7919+number*104729)%20_000)
				got := ask(entry, http.MethodPost, "/charges?"+id, "club", body, "Idempotency-Key", "key-"+id)
				if got.err != nil || got.status != http.StatusOK {
					continue
				}
				answered.Add(1)
				if got.body != expectedAnswer(id, body) {
					t.Errorf("%s: an answer of %d bytes that is not its own", id, len(got.body))
				}
			}
		})
	}
	senders.Wait()
	if answered.Load() < callers*calls/2 {
		t.Errorf("%d complete answers to %d requests", answered.Load(), callers*calls)
	}
}

// TestRollingRestartCutsNoRequest restarts the instances one after another under load. Each daemon stops together with
// its backend server and both return under the same names; no request may fail with an unknown outcome.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	handler := func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}
	var instances []*backendServer
	for i := range 3 {
		instances = append(instances, f.backend(fmt.Sprintf("courts-%d", i), "courts", handler))
	}
	entry, _, _ := f.daemon("entry")
	f.eventually("an answer", func() bool {
		return ask(entry, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK
	})
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var answered atomic.Int64
	for range 8 {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				got := ask(entry, http.MethodGet, "/courts/1", "club", "")
				if got.err != nil || got.header.Get("Sapphirespread-Run-State") == "unknown" {
					t.Errorf("a request was cut: %d %s %v", got.status, got.refusal(), got.err)
				}
				if got.status == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	for _, instance := range instances {
		instance.leave()
		instance.stop()
		if err := <-instance.ended; err != nil {
			t.Errorf("Run: %v", err)
		}
		instance.ended <- nil
		f.backend(instance.name, "courts", handler)
		before := answered.Load()
		f.eventually("answers go on", func() bool { return answered.Load() > before+50 })
	}
	close(stop)
	senders.Wait()
}
