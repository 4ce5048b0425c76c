package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/configuration"
)

// TestDeepOverloadIsRefusedAtTheEntry overloads charges, which bookings calls. It checks that the entry then refuses
// bookings, that no refused booking has run, and that refusals cost no tokens: there are fewer tokens than refusals.
func TestDeepOverloadIsRefusedAtTheEntry(t *testing.T) {
	const wantedRefusals, rate = 3000, 300
	f := newFleet(t)
	set := baseSet()
	set.Limits = append(set.Limits, configuration.Limit{Name: "tight", Rate: rate, Burst: rate})
	set.Workspaces[0].Limit = "tight"
	f.publish(set)
	f.backendOf("charges-1", "charges", 2, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Millisecond) })
	var ran sync.Map
	var bookings *backendServer
	bookings = f.backend("bookings-1", "bookings", func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Idempotency-Key"), true)
		charge, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+bookings.daemon.SubcallsAddress().String()+"/charges", nil)
		charge.Header.Set("Sapphirespread-Call-Token", r.Header.Get("Sapphirespread-Call-Token"))
		w.WriteHeader(send(charge).status)
	})
	entry, _, _ := f.daemon("entry")
	f.eventually("a booking", func() bool {
		return ask(entry, http.MethodPost, "/bookings", "club", "court 3", "Idempotency-Key", "first").status == http.StatusOK
	})
	var refused atomic.Int64
	started := time.Now()
	var callers sync.WaitGroup
	for caller := range 12 { // fewer than the limit that bookings-1 starts from
		callers.Go(func() {
			for i := 0; refused.Load() < wantedRefusals && !t.Failed() && time.Since(started) < testBound; i++ {
				id := fmt.Sprint(caller, "-", i)
				got := ask(entry, http.MethodPost, "/bookings", "club", "court 3", "Idempotency-Key", id)
				if got.refusal() == "rate-exceeded" {
					t.Errorf("no token is left after %d bookings were refused", refused.Load())
				}
				if got.refusal() != "overloaded" {
					continue
				}
				refused.Add(1)
				if _, run := ran.Load(id); run || got.header.Get("Sapphirespread-Run-State") != "not-run" {
					t.Errorf("booking %s was refused and ran: %v, state %s", id, run, got.header.Get("Sapphirespread-Run-State"))
				}
			}
		})
	}
	callers.Wait()
	if refused.Load() < wantedRefusals {
		t.Errorf("%d bookings refused at the entry, want %d\n%s", refused.Load(), wantedRefusals, f.logs.String())
	}
}
