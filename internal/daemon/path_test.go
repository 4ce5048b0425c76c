package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/daemon"
)

// echo answers with the request's body, and with its hash in a trailer.
func echo(w http.ResponseWriter, r *http.Request) {
	content, _ := io.ReadAll(r.Body)
	w.Header().Set("Trailer", "Body-Hash")
	_, _ = w.Write(content)
	w.Header().Set("Body-Hash", hashOf(string(content)))
}

// TestRequestIsServedBesideAndAcrossDaemons checks that bodies of all sizes and trailers pass unchanged through one
// daemon and through two.
func TestRequestIsServedBesideAndAcrossDaemons(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	served := f.backend("courts-1", "courts", echo)
	entry, _, _ := f.daemon("entry")
	for name, d := range map[string]*backendServer{"beside": served, "across": {daemon: entry}} {
		t.Run(name, func(t *testing.T) {
			f.eventually("an answer", func() bool {
				return ask(d.daemon, http.MethodGet, "/courts/7", "club", "").status == http.StatusOK
			})
			for _, size := range []int{0, 1, 70_000, 3 << 20} {
				body := strings.Repeat("x", size)
				got := ask(d.daemon, http.MethodPost, "/courts/7", "club", body)
				if got.status != http.StatusOK || got.body != body {
					t.Fatalf("size %d: status %d, %d bytes, %s, %v", size, got.status, len(got.body), got.refusal(), got.err)
				}
				if got.trailer.Get("Body-Hash") != hashOf(body) {
					t.Errorf("size %d: trailers = %v", size, got.trailer)
				}
			}
		})
	}
}

// TestKeysDecide checks that the key of a request determines its workspace, and that other requests are refused as not
// run.
func TestKeysDecide(t *testing.T) {
	f := newFleet(t)
	set := baseSet()
	set.Keys = append(set.Keys, configuration.Key{Name: "old", Workspace: "club", Hash: set.Keys[0].Hash, Withdrawn: true})
	set.Keys[0].Withdrawn = true
	set.Keys = set.Keys[:2]
	f.publish(set)
	served := f.backend("courts-1", "courts", func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprint(w, r.Header.Get("Sapphirespread-Workspace"))
	})
	f.eventually("an answer", func() bool {
		return ask(served.daemon, http.MethodGet, "/courts/1", "federation", "").status == http.StatusOK
	})
	cases := []struct {
		name, path, workspace, refusal, body string
	}{
		{"known", "/courts/1", "federation", "", "federation"},
		{"withdrawn", "/courts/1", "club", "key-withdrawn", ""},
		{"unknown", "/courts/1", "stranger", "key-unknown", ""},
		{"missing", "/courts/1", "", "key-missing", ""},
		{"open route without a key", "/open/1", "", "", ""},
		{"open route with a wrong key", "/open/1", "stranger", "", ""},
		{"no route", "/nowhere", "federation", "no-route", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := ask(served.daemon, http.MethodGet, c.path, c.workspace, "")
			if got.refusal() != c.refusal {
				t.Fatalf("refusal %q, want %q (%d %s)", got.refusal(), c.refusal, got.status, got.body)
			}
			if c.refusal == "" && got.body != c.body {
				t.Errorf("body %q, want %q", got.body, c.body)
			}
			if c.refusal != "" && got.header.Get("Sapphirespread-Run-State") != "not-run" {
				t.Errorf("run state %q", got.header.Get("Sapphirespread-Run-State"))
			}
		})
	}
}

// TestBackendServerNeverSeesAKey checks that keys don't leak to the backend server, the log, the metrics or the time
// line, whichever header carries them.
func TestBackendServerNeverSeesAKey(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	var seen atomic.Pointer[string]
	served := f.backend("courts-1", "courts", func(_ http.ResponseWriter, r *http.Request) {
		var dump bytes.Buffer
		_ = r.Write(&dump)
		text := dump.String()
		seen.Store(&text)
	})
	for _, path := range []string{"/courts/1", "/open/1"} {
		for _, headers := range [][]string{
			{"Authorization", "Bearer " + secretOf("club")},
			{"Sapphirespread-Key", secretOf("club")},
			{"Sapphirespread-Key", secretOf("club"), "Authorization", "Basic " + secretOf("club")},
			{"Sapphirespread-Workspace", secretOf("club"), "Authorization", "Bearer " + secretOf("club")},
			{"Connection", "Sapphirespread-Key", "Sapphirespread-Key", secretOf("club")},
		} {
			f.eventually("an answer", func() bool {
				return ask(served.daemon, http.MethodGet, path, "", "", headers...).status == http.StatusOK
			})
			if text := *seen.Load(); strings.Contains(text, secretOf("club")) {
				t.Errorf("%s with %v: the backend server saw\n%s", path, headers, text)
			}
		}
	}
	if got := ask(served.daemon, http.MethodGet, "/courts/1", "", "", "Authorization", "Bearer "+secretOf("nobody")); got.refusal() != "key-unknown" {
		t.Errorf("unknown key: %d %s", got.status, got.refusal())
	}
	for name, text := range map[string]string{
		"the log":       f.logs.String(),
		"the metrics":   readOperators(t, served.daemon, "/metrics"),
		"the time line": readOperators(t, served.daemon, "/operator/v1/timeline"),
	} {
		if strings.Contains(text, secretOf("club")) || strings.Contains(text, secretOf("nobody")) {
			t.Errorf("%s contains a key:\n%s", name, text)
		}
	}
}

// readOperators returns the answer of the operators' listener of d.
func readOperators(t *testing.T, d *daemon.Daemon, path string) string {
	t.Helper()
	response, err := http.Get("http://" + d.OperatorsAddress().String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || len(content) == 0 {
		t.Fatalf("%s: %d, %v, %q", path, response.StatusCode, err, content)
	}
	return string(content)
}

// TestSubcallsContinueTheWholeRequest checks that a nested call keeps the workspace and the ID of its root request, and
// that resending the root request doesn't run the nested call again.
func TestSubcallsContinueTheWholeRequest(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	var charges sync.Map
	f.backend("charges-1", "charges", func(w http.ResponseWriter, r *http.Request) {
		counter, _ := charges.LoadOrStore(r.Header.Get("Idempotency-Key"), new(atomic.Int64))
		counter.(*atomic.Int64).Add(1)
		_, _ = fmt.Fprintf(w, "%s %s", r.Header.Get("Sapphirespread-Workspace"), r.Header.Get("Sapphirespread-Request-Id"))
	})
	var booking *backendServer
	booking = f.backend("bookings-1", "bookings", func(w http.ResponseWriter, r *http.Request) {
		nested, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, "http://"+booking.daemon.SubcallsAddress().String()+"/charges", strings.NewReader("fee"))
		nested.Header.Set("Sapphirespread-Call-Token", r.Header.Get("Sapphirespread-Call-Token"))
		nested.Header.Set("Sapphirespread-Workspace", "federation")
		got := send(nested)
		w.WriteHeader(got.status)
		_, _ = fmt.Fprintf(w, "%s|%s", got.body, r.Header.Get("Sapphirespread-Request-Id"))
	})
	entry, _, _ := f.daemon("entry")
	var got reply
	f.eventually("a booking", func() bool {
		got = ask(entry, http.MethodPost, "/bookings", "club", "court 3", "Idempotency-Key", "booking-1")
		return got.status == http.StatusOK
	})
	nested, rootID, _ := strings.Cut(got.body, "|")
	if nested != "club "+rootID || rootID == "" {
		t.Fatalf("body = %q", got.body)
	}
	again := ask(entry, http.MethodPost, "/bookings", "club", "court 3", "Idempotency-Key", "booking-1")
	if again.body != got.body || again.header.Get("Sapphirespread-Replayed") != "true" {
		t.Errorf("resend: %d %q %s", again.status, again.body, again.refusal())
	}
	charges.Range(func(key, counter any) bool {
		if runs := counter.(*atomic.Int64).Load(); runs != 1 {
			t.Errorf("charge %v ran %d times", key, runs)
		}
		return true
	})
}

// TestForgedAndStaleCallTokens checks that nested calls without a call token of a running call are refused.
func TestForgedAndStaleCallTokens(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	var token atomic.Value
	served := f.backend("courts-1", "courts", func(_ http.ResponseWriter, r *http.Request) {
		token.Store(r.Header.Get("Sapphirespread-Call-Token"))
	})
	f.eventually("an answer", func() bool {
		return ask(served.daemon, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK
	})
	for _, used := range []string{"", "forged", token.Load().(string)} {
		request, _ := http.NewRequest(http.MethodGet, "http://"+served.daemon.SubcallsAddress().String()+"/courts/1", nil)
		request.Header.Set("Sapphirespread-Call-Token", used)
		if got := send(request); got.refusal() != "call-token-invalid" {
			t.Errorf("token %q: %d %s", used, got.status, got.body)
		}
	}
}

// TestCallerThatLeavesCancelsTheTree checks that the request at the backend server is cancelled once its caller
// disconnects.
func TestCallerThatLeavesCancelsTheTree(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	started, cancelled := make(chan struct{}, 8), make(chan struct{}, 8)
	f.backend("courts-1", "courts", func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/courts/fast" {
			return
		}
		started <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
	})
	entry, _, _ := f.daemon("entry")
	f.eventually("an answer", func() bool {
		return ask(entry, http.MethodGet, "/courts/fast", "club", "").status == http.StatusOK
	})
	ctx, leave := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry.CallersAddress().String()+"/courts/slow", nil)
	request.Header.Set("Authorization", "Bearer "+secretOf("club"))
	done := make(chan struct{})
	go func() {
		defer close(done)
		send(request)
	}()
	<-started
	leave()
	<-done
	<-cancelled
}

// TestCallerThatLeavesTheQueueNeverRuns checks that a call with a body that waits for a slot at another daemon never
// runs if its caller disconnects meanwhile.
func TestCallerThatLeavesTheQueueNeverRuns(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	release, started := make(chan struct{}), make(chan string, 8)
	f.backendOf("courts-1", "courts", 2, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/courts/fast" {
			started <- r.URL.Path
			<-release
		}
	})
	entry, _, _ := f.daemon("entry")
	f.eventually("an answer", func() bool {
		return ask(entry, http.MethodGet, "/courts/fast", "club", "").status == http.StatusOK
	})
	held := make(chan reply, 2)
	for range cap(held) {
		go func() { held <- ask(entry, http.MethodGet, "/courts/held", "club", "") }()
		<-started
	}
	ctx, leave := context.WithCancel(t.Context())
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.CallersAddress().String()+"/courts/left", strings.NewReader(strings.Repeat("b", 60_000)))
	request.Header.Set("Authorization", "Bearer "+secretOf("club"))
	time.AfterFunc(500*time.Millisecond, leave)
	send(request)
	time.Sleep(500 * time.Millisecond)
	close(release)
	for range cap(held) {
		<-held
	}
	if got := ask(entry, http.MethodGet, "/courts/after", "club", ""); got.status != http.StatusOK {
		t.Errorf("after: %d %s", got.status, got.refusal())
	}
	if path := <-started; path != "/courts/after" {
		t.Errorf("%s ran although its caller had disconnected", path)
	}
}

// TestAnswerCutShortIsNeverEndedAsWhole checks that a caller can detect that the backend server's answer was cut short.
func TestAnswerCutShortIsNeverEndedAsWhole(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	served := f.backend("courts-1", "courts", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/courts/fast" {
			return
		}
		_, _ = io.WriteString(w, "half of it")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	entry, _, _ := f.daemon("entry")
	for name, d := range map[string]*backendServer{"beside": served, "across": {daemon: entry}} {
		t.Run(name, func(t *testing.T) {
			f.eventually("an answer", func() bool {
				return ask(d.daemon, http.MethodGet, "/courts/fast", "club", "").status == http.StatusOK
			})
			if got := ask(d.daemon, http.MethodGet, "/courts/cut", "club", ""); got.err == nil {
				t.Errorf("the truncated answer ended as complete: %d %q", got.status, got.body)
			}
		})
	}
}

// TestRateIsHeldAcrossDaemons checks that requests through two daemons together stay within the rate and burst of their
// workspace.
func TestRateIsHeldAcrossDaemons(t *testing.T) {
	f := newFleet(t)
	set := baseSet()
	set.Workspaces[0].Limit = "narrow"
	f.publish(set)
	f.backend("courts-1", "courts", func(http.ResponseWriter, *http.Request) {})
	one, _, _ := f.daemon("one")
	two, _, _ := f.daemon("two")
	f.eventually("an answer", func() bool {
		return ask(one, http.MethodGet, "/courts/1", "federation", "").status == http.StatusOK &&
			ask(two, http.MethodGet, "/courts/1", "federation", "").status == http.StatusOK
	})
	started := time.Now()
	replies := make(chan reply, 12)
	for i := range cap(replies) {
		d := one
		if i%2 == 1 {
			d = two
		}
		go func() { replies <- ask(d, http.MethodGet, "/courts/1", "club", "") }()
	}
	var answered, refused int
	for range cap(replies) {
		switch got := <-replies; {
		case got.status == http.StatusOK:
			answered++
		case got.refusal() == "rate-exceeded" && got.header.Get("Retry-After") != "":
			refused++
		default:
			t.Errorf("unexpected: %d %s", got.status, got.body)
		}
	}
	const rate, burst = 1, 2
	if bound := burst + rate*time.Since(started).Seconds(); float64(answered) > bound {
		t.Errorf("%d answered, but rate and burst allow only %.1f", answered, bound)
	}
	if answered == 0 || refused == 0 {
		t.Errorf("%d answered, %d refused", answered, refused)
	}
}
