package baseline_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"sapphirespread.example/internal/baseline"
)

func TestCallerRetriesAsOftenAsSet(t *testing.T) {
	for _, c := range []struct {
		name           string
		retries, fails int
		attempts       int64
		status         int
	}{
		{"no retries", 0, 1, 1, http.StatusServiceUnavailable},
		{"naive retries", 3, 2, 3, http.StatusOK},
		{"all attempts fail", 3, 9, 4, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			var attempts atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if attempts.Add(1) <= int64(c.fails) {
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			}))
			defer server.Close()
			directory := &baseline.Directory{}
			directory.Add("court", netip.MustParseAddrPort(server.Listener.Addr().String()))
			caller := baseline.NewCaller(directory, 1, baseline.WithRetries(c.retries))
			defer caller.Close()
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://court/free", nil)
			response, err := caller.Send(t.Context(), "court", request, request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if attempts.Load() != c.attempts || response.StatusCode != c.status {
				t.Fatalf("%d attempts ended with status %d, want %d and %d", attempts.Load(), response.StatusCode, c.attempts, c.status)
			}
		})
	}
}

func TestGateRefusesBeyondItsLimit(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	gate := baseline.LimitConcurrency(1)(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	}))
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	served := make(chan struct{})
	go func() {
		defer close(served)
		gate.ServeHTTP(httptest.NewRecorder(), request)
	}()
	<-entered
	second := httptest.NewRecorder()
	gate.ServeHTTP(second, request)
	if second.Code != http.StatusServiceUnavailable {
		t.Fatalf("the request beyond the limit got status %d", second.Code)
	}
	close(release)
	<-served
	go gate.ServeHTTP(httptest.NewRecorder(), request)
	<-entered
}
