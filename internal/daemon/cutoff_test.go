package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestWithdrawnKeyStopsInACutOffRegion withdraws a key while a daemon is partitioned from control and its caller keeps
// one connection open. Nothing may run after the freshness lease expires, and the key is refused once the partition
// heals.
func TestWithdrawnKeyStopsInACutOffRegion(t *testing.T) {
	f := newFleet(t)
	set := baseSet()
	f.publish(set)
	var runs atomic.Int64
	control := f.peer
	controlRelay := newRelay(t, control)
	f.peer = addressOf(controlRelay.listener)
	partitioned := f.backend("courts-1", "courts", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	connections := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			connections++
		}
	}}
	ask := func() reply {
		request, _ := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet,
			"http://"+partitioned.daemon.CallersAddress().String()+"/courts/1", nil)
		request.Header.Set("Authorization", "Bearer "+secretOf("club"))
		return send(request)
	}
	f.eventually("an answer", func() bool { return ask().status == http.StatusOK })
	controlRelay.arm(freeze)
	set.Keys[0].Withdrawn = true
	f.publish(set)
	time.Sleep(testFreshness)
	before := runs.Load()
	for range 20 {
		if got := ask(); got.refusal() != "configuration-stale" || got.header.Get(headerRunState) != "not-run" {
			t.Errorf("after the lease: %d %s", got.status, got.refusal())
		}
	}
	if ran := runs.Load() - before; ran > 0 {
		t.Errorf("%d ran after the lease", ran)
	}
	controlRelay.reset()
	f.eventually("the partitioned daemon refuses the withdrawn key", func() bool { return ask().refusal() == "key-withdrawn" })
	if connections != 1 {
		t.Errorf("the caller used %d connections", connections)
	}
}

// TestCrashingRequestIsBoundedWhileTheLeaderIsLost kills or freezes the leader shortly before or after a request
// crashes its first backend server. The caller keeps resending the request to one daemon; it may crash at most two
// servers.
func TestCrashingRequestIsBoundedWhileTheLeaderIsLost(t *testing.T) {
	cases := []struct {
		name          string
		before, after func(*cluster)
	}{
		{"before the crash", func(c *cluster) { c.leader().kill() }, nil},
		{"frozen before the crash", func(c *cluster) {
			frozen := c.leader()
			frozen.signal(syscall.SIGSTOP)
			c.t.Cleanup(func() { frozen.signal(syscall.SIGCONT) })
		}, nil},
		{"after the crash", nil, func(c *cluster) { c.leader().kill() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cluster := newClusterOf(t, 3, baseSet())
			var crashes atomic.Int64
			for i := range 4 {
				name := fmt.Sprintf("courts-%d", i)
				d := cluster.daemon(name)
				d.crash = d.serveSlots(name, "courts", testSlots, func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/courts/poison" {
						crashes.Add(1)
						d.crash()
					}
					_, _ = io.WriteString(w, "fine")
				})
			}
			entry := cluster.daemon("entry")
			get := func(path string) reply {
				request, _ := http.NewRequest(http.MethodGet, "http://"+entry.callers.String()+path, strings.NewReader(""))
				request.Header.Set("Authorization", "Bearer "+secretOf("club"))
				request.Close = true
				return send(request)
			}
			eventually(t, "an answer", func() bool { return get("/courts/fine").status == http.StatusOK })
			if c.before != nil {
				c.before(cluster)
			}
			get("/courts/poison")
			if c.after != nil {
				c.after(cluster)
			}
			eventually(t, "the request is quarantined", func() bool {
				return get("/courts/poison").refusal() == "quarantined" && get("/courts/fine").status == http.StatusOK
			})
			for range 20 {
				get("/courts/poison")
				time.Sleep(50 * time.Millisecond)
			}
			if crashed := crashes.Load(); crashed > 2 || crashed == 0 {
				t.Errorf("%d backend servers crashed by one request", crashed)
			}
		})
	}
}
