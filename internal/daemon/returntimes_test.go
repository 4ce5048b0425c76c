package daemon_test

import (
	"net/http"
	"testing"
	"time"
)

// TestRefusalOfAWaitingCallArrivesOnASlowPath checks that a call which waits at a distant target until its deadline is
// refused as not run. The refusal used to leave 10 ms before the deadline, so that on a slower path the caller learned
// nothing of its outcome.
func TestRefusalOfAWaitingCallArrivesOnASlowPath(t *testing.T) {
	const (
		deadline = 2 * time.Second
		oneWay   = 60 * time.Millisecond
		limit    = 2 // calls that the target runs side by side with one announced slot
	)
	f := newFleet(t)
	set := baseSet()
	set.Routes[0].Deadline = deadline
	f.publish(set)
	f.relayed = true
	held, release := make(chan struct{}, limit), make(chan struct{})
	f.backendOf("courts-1", "courts", 1, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.RawQuery == "hold" {
			held <- struct{}{}
			<-release
		}
	})
	defer close(release)
	path := f.relay
	f.relayed = false
	entry, _, _ := f.daemon("entry")
	f.eventually("an answer", func() bool {
		return ask(entry, http.MethodGet, "/courts/7", "club", "").status == http.StatusOK
	})
	path.setDelay(oneWay)
	for range 10 {
		ask(entry, http.MethodGet, "/courts/7", "club", "")
	}
	for range limit {
		go ask(entry, http.MethodGet, "/open/7?hold", "", "")
	}
	for range limit {
		<-held
	}
	got := ask(entry, http.MethodGet, "/courts/7", "club", "")
	if got.refusal() != "deadline-unreachable" || got.header.Get(headerRunState) != "not-run" {
		t.Errorf("%d %s %s, want a refusal that says not run: %s", got.status, got.refusal(), got.header.Get(headerRunState), got.body)
	}
}
