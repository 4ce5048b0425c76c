package pipeline_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sapphirespread.example/internal/caller/pipeline"
	"sapphirespread.example/internal/host/budget"
)

// TestStalledConnectionGivesWayAndWaitingOneStays checks that a connection above the bound is served once one has stalled,
// and that a connection which waits for its answer gets it.
func TestStalledConnectionGivesWayAndWaitingOneStays(t *testing.T) {
	g := newGate()
	clients := budget.New(budget.Limits{Connections: 2, Grace: 50 * time.Millisecond})
	s := newServer(t, g.handle, pipeline.WithBudget(clients))
	waiting, stalled := s.dial(t), s.dial(t)
	waiting.send(get("/waits"))
	<-g.started
	stalled.send("GET /stalls HTTP/1.1\r\nHo")
	g.release("/next")
	for served := false; !served; {
		next := s.dial(t)
		next.send(get("/next"))
		status, _, _ := next.receive()
		switch status {
		case http.StatusOK:
			served = true
		case http.StatusServiceUnavailable:
		default:
			t.Fatalf("status %d", status)
		}
		_ = next.Close()
	}
	if _, err := stalled.reader.ReadByte(); err == nil {
		t.Error("the stalled connection got an answer")
	}
	g.release("/waits")
	waiting.expect("/waits")
	if stats := clients.Stats(); stats.GivenUp == 0 {
		t.Errorf("got %+v, want a connection given up", stats)
	}
}

// TestRequestWithoutRoomIsRefusedUnread checks that a request for which there is no room gets the given refusal without a
// call of the handler, and that its holdings are returned.
func TestRequestWithoutRoomIsRefusedUnread(t *testing.T) {
	const bodyBytes = 64 << 10
	clients := budget.New(budget.Limits{Bytes: bodyBytes})
	handler := func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			t.Error("the handler was called")
		}
	}
	refuse := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Refused", r.URL.Path)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	s := newServer(t, handler, pipeline.WithBudget(clients), pipeline.WithRefusal(refuse))
	c := s.dial(t)
	c.send("POST /large HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n")
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Refused") != "/large" || !response.Close {
		t.Fatalf("got %+v, %v", response, err)
	}
	if _, err := io.Copy(io.Discard, c.reader); err != nil && !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	_ = c.Close()
	for open := 1; open > 0; open = clients.Stats().Open {
		time.Sleep(time.Millisecond)
	}
	if held := clients.Stats().Bytes; held["heads"]+held["bodies"]+held["connections"] != 0 {
		t.Errorf("still held: %v", held)
	}
	small := s.dial(t)
	small.send(get("/small"))
	if status, _, _ := small.receive(); status != http.StatusOK {
		t.Errorf("a small request beside nothing was answered with %d", status)
	}
}

// TestManyFieldsAreCountedBeforeTheyAreParsed checks that a head of a legal size but of many fields is refused without
// room, and served with it.
func TestManyFieldsAreCountedBeforeTheyAreParsed(t *testing.T) {
	head := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
	for bytes, want := range map[int64]int{200 << 10: http.StatusServiceUnavailable, 2 << 20: http.StatusOK} {
		s := newServer(t, func(http.ResponseWriter, *http.Request) {}, pipeline.WithBudget(budget.New(budget.Limits{Bytes: bytes})))
		c := s.dial(t)
		c.send(head)
		if status, _, _ := c.receive(); status != want {
			t.Errorf("with %d bytes: status %d, want %d", bytes, status, want)
		}
	}
}
