package daemon_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestEntryRefusesWhatNearlyAlwaysFails makes a backend server fail all requests for a while, as it does if a nested
// call that it needs fails. It checks that the entry refuses most of them as not run, logs the throttling, and serves
// all requests again afterwards.
func TestEntryRefusesWhatNearlyAlwaysFails(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	var failing atomic.Bool
	var runs atomic.Int64
	f.backend("courts-1", "courts", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		if failing.Load() {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	entry, _, _ := f.daemon("entry")
	call := func() reply { return ask(entry, http.MethodGet, "/courts/1", "club", "") }
	f.eventually("an answer", func() bool { return call().status == http.StatusOK })

	failing.Store(true)
	f.eventually("the entry to refuse", func() bool { return call().refusal() == "overloaded" })
	ran, refused := runs.Load(), int64(0)
	const requests = 400
	for range requests {
		got := call()
		if got.refusal() != "overloaded" {
			continue
		}
		refused++
		if got.header.Get(headerRunState) != "not-run" {
			t.Errorf("refused with run state %q", got.header.Get(headerRunState))
		}
	}
	if ran = runs.Load() - ran; ran+refused < requests || refused < requests/2 {
		t.Errorf("%d of %d requests refused, %d ran", refused, requests, ran)
	}
	failing.Store(false)
	f.eventually("all to be served again", func() bool {
		for range 20 {
			if call().status != http.StatusOK {
				return false
			}
			time.Sleep(5 * time.Millisecond)
		}
		return true
	})
	for _, line := range []string{"are refused, as nearly all fail", "are let through again"} {
		f.eventually("the log line that requests "+line, func() bool { return call().status > 0 && strings.Contains(f.logs.String(), line) })
	}
}
