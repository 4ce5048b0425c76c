package daemon_test

import (
	"net/http"
	"testing"
	"time"
)

// TestLongRunAfterABodyIsNotCancelled guards against a request that ends as cancelled because the time limit for reading
// its body went on after the whole body was read.
func TestLongRunAfterABodyIsNotCancelled(t *testing.T) {
	const runTime = 1500 * time.Millisecond // longer than the time limit for a stalled body, 1 s
	f := newFleet(t)
	f.publish(baseSet())
	f.backend("courts-1", "courts", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/courts/slow" {
			time.Sleep(runTime)
		}
		echo(w, r)
	})
	entry, _, _ := f.daemon("entry")
	f.eventually("an answer", func() bool {
		return ask(entry, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK
	})
	if got := ask(entry, http.MethodPost, "/courts/slow", "club", "body"); got.status != http.StatusOK {
		t.Errorf("%d %q %v", got.status, got.body, got.err)
	}
}
