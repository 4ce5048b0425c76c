package standin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sapphirespread.example/internal/standin"
)

// run starts a server and returns its base URL and a function that stops it and waits until it has ended.
func run(t *testing.T, s *standin.Server) (base string, stop func()) {
	t.Helper()
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- s.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-runErr; err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(stop)
	return "http://" + s.Address().String(), stop
}

func do(t *testing.T, method, url string, headers ...string) (status int, failure, body string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(standin.FailureHeader), string(content), err
}

func TestAnswersCarryTheDigestOfTheirRequest(t *testing.T) {
	base, _ := run(t, standin.New("booking", standin.WithWork(time.Microsecond, standin.Constant), standin.WithResponsePadding(100)))
	status, _, body, err := do(t, http.MethodPost, base+"/court/7?call=1", standin.IdempotencyKeyHeader, "k")
	if err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	if err := standin.Verify(strings.NewReader(body), http.MethodPost, "/court/7?call=1"); err != nil {
		t.Fatal(err)
	}
	for name, wrong := range map[string]string{"another request": body, "cut": body[:len(body)-1]} {
		uri := "/court/7?call=1"
		if name == "another request" {
			uri = "/court/7?call=2"
		}
		if standin.Verify(strings.NewReader(wrong), http.MethodPost, uri) == nil {
			t.Errorf("%s: verified as complete and matching", name)
		}
	}
}

func TestDeadlineEndsTheWork(t *testing.T) {
	s := standin.New("booking", standin.WithWork(time.Hour, standin.Constant))
	base, _ := run(t, s)
	status, failure, _, err := do(t, http.MethodGet, base+"/", standin.DeadlineHeader, "5")
	if err != nil || status != http.StatusGatewayTimeout || failure != "deadline" {
		t.Fatal(status, failure, err)
	}
	if inFlight := s.Stats().InFlight; inFlight != 0 {
		t.Fatalf("%d requests are still in flight", inFlight)
	}
}

func TestServerShedsBeyondItsConnections(t *testing.T) {
	base, _ := run(t, standin.New("booking", standin.WithWork(time.Hour, standin.Constant), standin.WithMaxInFlight(1)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failures := make(chan string, 2)
	for range 2 {
		go func() {
			request, _ := http.NewRequestWithContext(ctx, http.MethodGet, base+"/", nil)
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				failures <- "left"
				return
			}
			_ = response.Body.Close()
			failures <- response.Header.Get(standin.FailureHeader)
		}()
	}
	if first := <-failures; first != "shed" {
		t.Fatalf("first of two requests to finish: %q, want it shed", first)
	}
	cancel()
	if second := <-failures; second != "left" {
		t.Fatalf("the other request: %q, want it to run until its caller disconnects", second)
	}
}

func TestCrashResetsConnectionsAndServerComesBack(t *testing.T) {
	s := standin.New("booking", standin.WithWork(time.Microsecond, standin.Constant), standin.WithRestart(10*time.Millisecond))
	base, _ := run(t, s)
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "GET /?crash=booking HTTP/1.1\r\nHost: booking\r\nIdempotency-Key: k\r\n\r\n")
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("request that crashes the server: %v, want a connection reset", err)
	}
	_ = conn.Close()
	for {
		status, _, _, err := do(t, http.MethodGet, base+"/?crash=other")
		if err == nil && status == http.StatusOK {
			break
		}
		if t.Context().Err() != nil {
			t.Fatal("the server did not restart")
		}
	}
	if crashes, runs := s.Stats().Crashes, s.Runs("k"); crashes != 1 || runs != 1 {
		t.Fatalf("%d crashes, %d runs, want 1 and 1", crashes, runs)
	}
}

func TestDrainIsAnnouncedBeforeLeaving(t *testing.T) {
	var mu sync.Mutex
	var events []string
	firstAnnouncement := make(chan struct{})
	recordFirst := sync.OnceFunc(func() { close(firstAnnouncement) })
	daemon := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body struct{ State, Service string }
		_ = json.NewDecoder(r.Body).Decode(&body)
		mu.Lock()
		defer mu.Unlock()
		if entry := r.Method + " " + r.URL.Path + " " + body.State; len(events) == 0 || events[len(events)-1] != entry {
			events = append(events, entry)
		}
		recordFirst()
	}))
	defer daemon.Close()
	address := netip.MustParseAddrPort(daemon.Listener.Addr().String())
	s := standin.New("booking", standin.WithDaemon(address), standin.WithDrain(time.Millisecond))
	_, stop := run(t, s)
	<-firstAnnouncement
	stop()
	want := "PUT /announce/v1/target ready, PUT /announce/v1/target draining, DELETE /announce/v1/target/booking-1 "
	if got := strings.Join(events, ", "); got != want {
		t.Fatalf("announced %q, want %q", got, want)
	}
}

func TestReportsLagAndMislead(t *testing.T) {
	s := standin.New("booking", standin.WithSlots(10))
	base, _ := run(t, s)
	for _, c := range []struct {
		query  string
		status int
		slots  int
		health int
	}{
		{"slots-factor=4", http.StatusNoContent, 40, http.StatusNoContent},
		{"health=failing", http.StatusNoContent, 10, http.StatusServiceUnavailable},
		{"health=unheard-of", http.StatusBadRequest, 10, http.StatusServiceUnavailable},
		{"lag=-1s", http.StatusBadRequest, 10, http.StatusServiceUnavailable},
	} {
		if status, _, body, err := do(t, http.MethodPost, base+"/standin/report?"+c.query); status != c.status {
			t.Errorf("%s: %d %s %v", c.query, status, body, err)
		}
		if slots := s.Report().Slots; slots != c.slots {
			t.Errorf("%s: reports %d slots, want %d", c.query, slots, c.slots)
		}
		if status, _, _, _ := do(t, http.MethodGet, base+"/standin/health"); status != c.health {
			t.Errorf("%s: health %d, want %d", c.query, status, c.health)
		}
	}
}
