package daemon_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/configuration"
)

// TestBodyInChunksEndsAtTheLimitOfItsRoute checks that a body of unknown length is refused when it passes the limit of its
// route, that the backend server gets nothing beyond the limit, and that a body of just the limit is served.
func TestBodyInChunksEndsAtTheLimitOfItsRoute(t *testing.T) {
	const limit = 100 << 10
	f := newFleet(t)
	set := baseSet()
	set.Routes = append(set.Routes, configuration.Route{
		Name: "limited", Path: "/limited/*", Service: "courts", Priority: "low", Deadline: 20 * time.Second, Repeatable: true, MaxBodyBytes: limit,
	})
	f.publish(set)
	var longest atomic.Int64
	served := f.backend("courts-1", "courts", func(_ http.ResponseWriter, r *http.Request) {
		read, _ := io.Copy(io.Discard, r.Body)
		longest.Store(max(longest.Load(), read))
	})
	entry, _, _ := f.daemon("entry")
	for name, d := range map[string]*backendServer{"beside": served, "across": {daemon: entry}} {
		upload := func(bytes int) int {
			// A reader of no known type makes the body chunked.
			body := io.MultiReader(strings.NewReader(strings.Repeat("x", bytes)))
			request, _ := http.NewRequest(http.MethodPost, "http://"+d.daemon.CallersAddress().String()+"/limited/1", body)
			request.Header.Set("Authorization", "Bearer "+secretOf("club"))
			return send(request).status
		}
		f.eventually(name+": a body of just the limit", func() bool { return upload(limit) == http.StatusOK })
		if got := upload(limit + 1); got != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: a body over the limit was answered with %d", name, got)
		}
	}
	if longest.Load() > limit {
		t.Errorf("the backend server got %d bytes, the limit is %d", longest.Load(), limit)
	}
}
