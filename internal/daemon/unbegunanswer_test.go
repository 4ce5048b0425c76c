package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sapphirespread.example/refusal"
)

// A headOnlyServer sends the head of an answer without a length for each request, and no body until the request ends.
type headOnlyServer struct {
	started chan struct{}
	ended   chan struct{}
}

func newHeadOnlyServer(t *testing.T) *headOnlyServer {
	s := &headOnlyServer{started: make(chan struct{}, 16), ended: make(chan struct{})}
	t.Cleanup(func() { close(s.ended) })
	return s
}

func (s *headOnlyServer) handle(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/fast") {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	s.started <- struct{}{}
	<-s.ended
}

// TestAnswerThatBreaksBeforeItsBodyIsTriedElsewhere guards against connections of callers that close without an answer
// when the daemon of the target is lost between the head and the body.
func TestAnswerThatBreaksBeforeItsBodyIsTriedElsewhere(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	server := newHeadOnlyServer(t)
	f.relayed = true
	f.backend("courts-1", "courts", server.handle)
	broken := f.relay
	f.relayed = false
	entry, _, _ := f.daemon("entry")
	f.eventually("an answer", func() bool {
		return ask(entry, http.MethodGet, "/courts/fast", "club", "").status == http.StatusOK
	})
	done := make(chan reply, 1)
	// The HTTP client would resend a GET request of its own accord.
	go func() { done <- ask(entry, http.MethodPost, "/courts/1", "club", "body") }()
	<-server.started
	f.backend("courts-2", "courts", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })
	f.eventually("the entry uses the other target", func() bool {
		return ask(entry, http.MethodGet, "/courts/fast", "club", "").body == "whole"
	})
	broken.reset()
	if got := <-done; got.err != nil || got.status != http.StatusOK || got.body != "whole" {
		t.Errorf("%d %q %v", got.status, got.body, got.err)
	}
}

// TestAnswerThatBreaksBeforeItsBodyEndsInARefusal guards against connections that close without an answer for a request
// that has no further attempt, at the entry and beside the target.
func TestAnswerThatBreaksBeforeItsBodyEndsInARefusal(t *testing.T) {
	f := newFleet(t)
	set := baseSet()
	set.Routes[1].Deadline = time.Second
	f.publish(set)
	server := newHeadOnlyServer(t)
	f.relayed = true
	served := f.backend("courts-1", "courts", server.handle)
	broken := f.relay
	entry, _, _ := f.daemon("entry")
	for name, d := range map[string]*backendServer{"beside": served, "across": {daemon: entry}} {
		f.eventually("an answer", func() bool { return ask(d.daemon, http.MethodGet, "/open/fast", "", "").status == http.StatusOK })
		if got := ask(d.daemon, http.MethodGet, "/open/1", "", ""); got.refusal() != string(refusal.DeadlineExceeded) || !isUnknownOutcome(got) {
			t.Errorf("%s, deadline: %d %q %v", name, got.status, got.refusal(), got.err)
		}
		<-server.started
	}
	done := make(chan reply, 1)
	go func() { done <- ask(entry, http.MethodGet, "/open/2", "", "") }()
	<-server.started
	time.Sleep(50 * time.Millisecond) // the head reaches the entry
	broken.reset()
	if got := <-done; got.refusal() != string(refusal.TargetFailed) || !isUnknownOutcome(got) {
		t.Errorf("lost daemon: %d %q %v", got.status, got.refusal(), got.err)
	}
}

// TestPipelinedAnswerThatBreaksUnsentEndsInARefusal guards against connections that close without an answer when a long
// answer breaks while it waits for its turn on the caller's connection.
func TestPipelinedAnswerThatBreaksUnsentEndsInARefusal(t *testing.T) {
	const length = 1 << 20
	f := newFleet(t)
	f.publish(baseSet())
	waiting, broken := make(chan struct{}), make(chan struct{})
	served := f.backend("courts-1", "courts", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/courts/slow":
			<-broken
		case "/courts/broken":
			w.Header().Set("Content-Length", fmt.Sprint(length))
			_, _ = w.Write(make([]byte, 4<<10))
			_ = http.NewResponseController(w).Flush()
			close(waiting)
			time.Sleep(50 * time.Millisecond) // the first bytes wait for their turn
			panic(http.ErrAbortHandler)
		}
	})
	f.eventually("an answer", func() bool {
		return ask(served.daemon, http.MethodGet, "/courts/fast", "club", "").status == http.StatusOK
	})
	conn, err := net.Dial("tcp", served.daemon.CallersAddress().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(testBound))
	reader := bufio.NewReader(conn)
	for _, path := range []string{"slow", "broken"} {
		_, _ = fmt.Fprintf(conn, "GET /courts/%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", path, secretOf("club"))
	}
	<-waiting
	time.Sleep(200 * time.Millisecond) // the break reaches the daemon
	close(broken)
	for i, want := range []int{http.StatusOK, http.StatusBadGateway} {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != want {
			t.Errorf("answer %d: %d %v, want %d", i, response.StatusCode, err, want)
		}
	}
}
