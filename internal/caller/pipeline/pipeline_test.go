package pipeline_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/internal/caller/pipeline"
)

const testBound = 10 * time.Second

// testServer is a server on loopback whose GET requests may run concurrently.
type testServer struct {
	*pipeline.Server
	listener net.Listener
}

func newServer(t testing.TB, handler http.HandlerFunc, options ...pipeline.Option) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	options = append([]pipeline.Option{pipeline.WithConcurrency(func(r *http.Request) bool { return r.Method == http.MethodGet })}, options...)
	s := &testServer{Server: pipeline.New(handler, options...), listener: listener}
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		s.Close()
		if err := <-served; err != nil {
			t.Errorf("serving: %v", err)
		}
	})
	return s
}

// caller is a raw connection to a testServer.
type caller struct {
	t testing.TB
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t testing.TB) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testBound))
	return &caller{t: t, Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// receive reads an answer and returns its status, body and whether the connection closes after it.
func (c *caller) receive() (status int, body string, closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		c.t.Fatalf("reading an answer: %v", err)
	}
	return response.StatusCode, string(content), response.Close
}

func (c *caller) expect(bodies ...string) {
	c.t.Helper()
	for _, want := range bodies {
		if status, body, _ := c.receive(); status != http.StatusOK || body != want {
			c.t.Errorf("status %d, body %q, want %q", status, body, want)
		}
	}
}

func (c *caller) expectEnd() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
		c.t.Errorf("after the last answer: %v, want the end", err)
	}
}

// gate lets handlers wait until the test releases them, and counts those that have started.
type gate struct {
	started  chan string
	released sync.Map
}

func newGate() *gate { return &gate{started: make(chan string, 100)} }

func (g *gate) channel(path string) chan struct{} {
	c, _ := g.released.LoadOrStore(path, make(chan struct{}))
	return c.(chan struct{})
}

func (g *gate) release(path string) { close(g.channel(path)) }

func (g *gate) handle(w http.ResponseWriter, r *http.Request) {
	g.started <- r.URL.Path
	select {
	case <-g.channel(r.URL.Path):
	case <-r.Context().Done():
	}
	_, _ = io.Copy(w, r.Body)
	_, _ = io.WriteString(w, r.URL.Path)
}

func (g *gate) awaitStarted(t *testing.T, count int) {
	t.Helper()
	for range count {
		select {
		case <-g.started:
		case <-time.After(testBound):
			t.Fatal("a request was not started")
		}
	}
}

func (g *gate) expectNothingStarts(t *testing.T) {
	t.Helper()
	select {
	case path := <-g.started:
		t.Errorf("%s was started", path)
	case <-time.After(50 * time.Millisecond):
	}
}

// TestPipelinedRequestsRunSideBySide checks that a slow request does not delay the start of those behind it, that they are
// answered in order, and that no more than the limit run.
func TestPipelinedRequestsRunSideBySide(t *testing.T) {
	g := newGate()
	s := newServer(t, g.handle, pipeline.WithMaxConcurrent(3))
	c := s.dial(t)
	c.send(get("/0") + get("/1") + get("/2") + get("/3") + get("/4"))
	g.awaitStarted(t, 3)
	g.expectNothingStarts(t)
	for _, path := range []string{"/2", "/1"} {
		g.release(path)
	}
	g.expectNothingStarts(t)
	g.release("/0")
	c.expect("/0", "/1", "/2")
	g.awaitStarted(t, 2)
	g.release("/4")
	g.release("/3")
	c.expect("/3", "/4")
}

// TestOtherRequestsKeepTheirOrder checks that a request that may not run beside others runs alone on its connection.
func TestOtherRequestsKeepTheirOrder(t *testing.T) {
	g := newGate()
	s := newServer(t, g.handle)
	c := s.dial(t)
	c.send(get("/0") + "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody" + get("/2"))
	for _, path := range []string{"/0", "/1", "/2"} {
		g.awaitStarted(t, 1)
		g.expectNothingStarts(t)
		g.release(path)
	}
	c.expect("/0", "body/1", "/2")
}

// TestCallerThatLeavesCancelsAllItsRequests checks that the contexts of all requests of a connection end with it.
func TestCallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	var canceled sync.WaitGroup
	canceled.Add(3)
	started := make(chan struct{}, 3)
	s := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
		canceled.Done()
	})
	c := s.dial(t)
	c.send(get("/0") + get("/1") + get("/2"))
	for range 3 {
		<-started
	}
	_ = c.Close()
	canceled.Wait()
}

// TestNothingBehindAClosingAnswerIsPassedOn checks that an answer that closes the connection is the last one, that the
// requests that already run are answered before it, and that others are not read.
func TestNothingBehindAClosingAnswerIsPassedOn(t *testing.T) {
	var served atomic.Int32
	g := newGate()
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		if r.URL.Path == "/0" {
			w.Header().Set("Connection", "close")
		}
		g.handle(w, r)
	}, pipeline.WithMaxConcurrent(2))
	c := s.dial(t)
	c.send(get("/0") + get("/1") + get("/2"))
	g.awaitStarted(t, 2)
	g.release("/0")
	g.release("/1")
	if _, body, closes := c.receive(); body != "/0" || closes {
		t.Errorf("first answer %q, closes %t", body, closes)
	}
	if _, body, closes := c.receive(); body != "/1" || !closes {
		t.Errorf("second answer %q, closes %t", body, closes)
	}
	c.expectEnd()
	if got := served.Load(); got != 2 {
		t.Errorf("%d requests were passed on, want 2", got)
	}
}

// TestBrokenAnswerDoesNotLookComplete checks that the earlier answers are sent before the connection breaks off.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	g := newGate()
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/abort":
			_, _ = io.WriteString(w, "begun")
			panic(http.ErrAbortHandler)
		case "/short":
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "begun")
		default:
			g.handle(w, r)
		}
	})
	for _, path := range []string{"/abort", "/short"} {
		c := s.dial(t)
		c.send(get("/0"+path) + get(path))
		g.awaitStarted(t, 1)
		g.release("/0" + path)
		c.expect("/0" + path)
		response, err := http.ReadResponse(c.reader, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		if err == nil {
			t.Errorf("%s: a broken answer looks complete", path)
		}
	}
}

// TestBrokenAnswerToAnOldClientIsReset guards against a part of an answer that passes for the whole at a client of HTTP/1.0,
// to which an answer without a length ends with its connection.
func TestBrokenAnswerToAnOldClientIsReset(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "begun")
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
	})
	for path, wantWhole := range map[string]bool{"/abort": false, "/whole": true} {
		c := s.dial(t)
		c.send("GET " + path + " HTTP/1.0\r\nHost: x\r\n\r\n")
		response, err := http.ReadResponse(c.reader, nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		if whole := err == nil; whole != wantWhole {
			t.Errorf("%s: whole: %t, want %t (%v)", path, whole, wantWhole, err)
		}
	}
}

// TestPanicEndsOnlyItsConnection checks that an unexpected panic leaves the server and other connections in use.
func TestPanicEndsOnlyItsConnection(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/panic" {
			var missing map[string]int
			missing["x"] = 1
		}
		_, _ = io.WriteString(w, "ok")
	})
	other := s.dial(t)
	other.send(get("/"))
	other.expect("ok")
	c := s.dial(t)
	c.send(get("/panic"))
	c.expectEnd()
	other.send(get("/"))
	other.expect("ok")
}

// TestLongAnswersWaitForTheirTurn checks that an answer that is too long to be kept waits and is then sent whole.
func TestLongAnswersWaitForTheirTurn(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	g := newGate()
	written := make(chan struct{})
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			g.handle(w, r)
			return
		}
		_, _ = io.WriteString(w, long)
		close(written)
	})
	c := s.dial(t)
	c.send(get("/0") + get("/long"))
	g.awaitStarted(t, 1)
	select {
	case <-written:
		t.Error("a long answer was kept")
	case <-time.After(50 * time.Millisecond):
	}
	g.release("/0")
	c.expect("/0", long)
}

// TestStalledBodyDoesNotHoldBackAnAnswer checks that a request whose handler does not read its body is answered although
// the body never ends, and that the connection closes.
func TestStalledBodyDoesNotHoldBackAnAnswer(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusUnauthorized) })
	for _, framing := range []string{"Content-Length: 100", "Transfer-Encoding: chunked", "Content-Length: 100000000"} {
		c := s.dial(t)
		c.send("POST / HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n\r\n1")
		if status, _, closes := c.receive(); status != http.StatusUnauthorized || !closes {
			t.Errorf("%s: status %d, closes %t", framing, status, closes)
		}
	}
}

// TestAnswerLeavesLaterRequestsAlone checks that a request goes on for long after the answer to the one before it. An
// answer used to leave a deadline of half a second on the connection, which looked like the end of the caller.
func TestAnswerLeavesLaterRequestsAlone(t *testing.T) {
	g := newGate()
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		g.handle(w, r)
		if r.Context().Err() != nil {
			t.Errorf("%s was canceled", r.URL.Path)
		}
	})
	c := s.dial(t)
	c.send(get("/0") + get("/1"))
	g.awaitStarted(t, 2)
	g.release("/0")
	c.expect("/0")
	time.Sleep(time.Second)
	g.release("/1")
	c.expect("/1")
}

// TestStopAnswersWhatWasRead stops the server while requests run, while one is arriving and while connections are idle.
// Each request that was read is answered, with the notice that the connection closes, and idle connections end.
func TestStopAnswersWhatWasRead(t *testing.T) {
	g := newGate()
	s := newServer(t, g.handle)
	busy, arriving, idle, unused := s.dial(t), s.dial(t), s.dial(t), s.dial(t)
	idle.send(get("/idle"))
	g.awaitStarted(t, 1)
	g.release("/idle")
	idle.expect("/idle")
	busy.send(get("/0") + get("/1"))
	g.awaitStarted(t, 2)
	arriving.send("GET /2 HTTP/1.1\r\nHost:")
	// The server must have begun to read the request.
	time.Sleep(300 * time.Millisecond)
	_ = s.listener.Close()
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testBound)
		defer cancel()
		stopped <- s.Shutdown(ctx)
	}()
	idle.expectEnd()
	unused.expectEnd()
	arriving.send(" x\r\n\r\n")
	g.awaitStarted(t, 1)
	for _, path := range []string{"/0", "/1", "/2"} {
		g.release(path)
	}
	busy.expect("/0")
	if _, body, closes := busy.receive(); body != "/1" || !closes {
		t.Errorf("last answer %q, closes %t", body, closes)
	}
	if _, body, closes := arriving.receive(); body != "/2" || !closes {
		t.Errorf("answer to the arriving request %q, closes %t", body, closes)
	}
	busy.expectEnd()
	arriving.expectEnd()
	if err := <-stopped; err != nil {
		t.Errorf("shutting down: %v", err)
	}
}

// TestTimeBudgetCountsFromTheArrival checks that a request that waits for another one has the time of its arrival.
func TestTimeBudgetCountsFromTheArrival(t *testing.T) {
	arrivals := make(chan time.Duration, 2)
	s := newServer(t, func(_ http.ResponseWriter, r *http.Request) {
		arrivals <- time.Since(pipeline.ArrivedAt(r.Context()))
		time.Sleep(100 * time.Millisecond)
	})
	c := s.dial(t)
	c.send(get("/0") + "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	c.expect("", "")
	if first, second := <-arrivals, <-arrivals; second < first+50*time.Millisecond {
		t.Errorf("started %s and %s after their arrival", first, second)
	}
}

// TestMessagesAreFramedAsTheStandardRequires checks the framing of answers and the refusal of ambiguous requests, which
// end the connection so that nothing behind them is taken for a request.
func TestMessagesAreFramedAsTheStandardRequires(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/stream":
			w.Header().Set("Trailer", "Sum")
			_, _ = io.WriteString(w, "part ")
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "end")
			w.Header().Set("Sum", "8")
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		default:
			content, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, "%s %s", r.Method, content)
		}
	}, pipeline.WithMaxHeaderBytes(8<<10), pipeline.WithTimeouts(2*time.Second, 2*time.Second))
	behind := "GET /behind HTTP/1.1\r\nHost: x\r\n\r\n"
	for name, test := range map[string]struct {
		raw    string
		status int
		body   string
		closes bool
	}{
		"length":                 {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", 200, "POST abc", false},
		"chunks":                 {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 200, "POST abc", false},
		"streamed answer":        {"GET /stream HTTP/1.1\r\nHost: x\r\n\r\n", 200, "part end", false},
		"no content":             {"GET /none HTTP/1.1\r\nHost: x\r\n\r\n", 204, "", false},
		"empty line before":      {"\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", 200, "GET ", false},
		"close asked for":        {"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 200, "GET ", true},
		"HTTP/1.0":               {"GET / HTTP/1.0\r\n\r\n", 200, "GET ", true},
		"length and chunks":      {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, "400 Bad Request\n", true},
		"two lengths":            {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", 400, "400 Bad Request\n", true},
		"length with a sign":     {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\na", 400, "400 Bad Request\n", true},
		"space before colon":     {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 1\r\n\r\na", 400, "400 Bad Request\n", true},
		"unknown coding":         {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 501, "501 Not Implemented\n", true},
		"two hosts":              {"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", 400, "400 Bad Request\n", true},
		"no host":                {"GET / HTTP/1.1\r\n\r\n", 400, "400 Bad Request\n", true},
		"control character":      {"GET / HTTP/1.1\r\nHost: x\r\nX: a\x01b\r\n\r\n", 400, "400 Bad Request\n", true},
		"other version":          {"GET / HTTP/3.0\r\nHost: x\r\n\r\n", 505, "505 HTTP Version Not Supported\n", true},
		"other expectation":      {"GET / HTTP/1.1\r\nHost: x\r\nExpect: more\r\n\r\n", 417, "417 Expectation Failed\n", true},
		"head without end":       {"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 20<<10), 431, "431 Request Header Fields Too Large\n", true},
		"head lines without end": {"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X: x\r\n", 5000), 431, "431 Request Header Fields Too Large\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := s.dial(t)
			c.send(test.raw)
			if !test.closes {
				c.send(behind)
			}
			status, body, closes := c.receive()
			if status != test.status || body != test.body || closes != test.closes {
				t.Errorf("%d %q, closes %t; want %d %q, %t", status, body, closes, test.status, test.body, test.closes)
			}
			if test.closes {
				c.expectEnd()
				return
			}
			c.expect("GET ")
		})
	}
	t.Run("head", func(t *testing.T) {
		c := s.dial(t)
		c.send("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n")
		head, _ := http.NewRequest(http.MethodHead, "/", nil)
		if response, err := http.ReadResponse(c.reader, head); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("no answer: %v", err)
		}
		c.send(behind)
		c.expect("GET ")
	})
	t.Run("trailer", func(t *testing.T) {
		c := s.dial(t)
		c.send(get("/stream"))
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		if got := response.Trailer.Get("Sum"); got != "8" {
			t.Errorf("trailer %q", got)
		}
	})
	t.Run("continue", func(t *testing.T) {
		c := s.dial(t)
		c.send("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		if line, err := c.reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100 ") {
			t.Fatalf("%q, %v", line, err)
		}
		_, _ = c.reader.ReadString('\n')
		c.send("abc" + behind)
		c.expect("POST abc", "GET ")
	})
	for name, raw := range map[string]string{"nothing": "", "head that stalls": "GET / HTTP/1.1\r\nHost: x\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := s.dial(t)
			c.send(raw)
			c.expectEnd()
		})
	}
}

// TestUnsentAnswerCanBeReplaced guards against connections that close without an answer although nothing of the broken
// answer was sent: a handler can discard what it wrote up to then, and nothing of it is seen.
func TestUnsentAnswerCanBeReplaced(t *testing.T) {
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "100")
		w.Header().Set("Stale", "yes")
		_, _ = io.WriteString(w, "half")
		if r.URL.Path == "/flushed" {
			_ = http.NewResponseController(w).Flush()
		}
		if !w.(interface{ Discard() bool }).Discard() {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusBadGateway)
		_, _ = io.WriteString(w, "replaced")
	})
	c := s.dial(t)
	c.send(get("/unsent") + get("/flushed"))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusBadGateway || string(content) != "replaced" || response.Header.Get("Stale") != "" {
		t.Errorf("%d %q %v %v", response.StatusCode, content, response.Header, err)
	}
	response, err = http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(response.Body); err == nil || response.StatusCode != http.StatusOK {
		t.Errorf("the broken answer looks complete: %d", response.StatusCode)
	}
}
