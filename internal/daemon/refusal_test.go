package daemon_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/key"
	"sapphirespread.example/refusal"
)

const (
	headerTestRequest = "Test-Request"
	headerRefusal     = "Sapphirespread-Refusal"
	headerRunState    = "Sapphirespread-Run-State"
	headerCallToken   = "Sapphirespread-Call-Token"
)

// A refusalCase provokes refusals of one kind. prepare runs once before the requests, and send is repeated until a
// request is refused with the kind.
type refusalCase struct {
	kind    refusal.Kind
	prepare func()
	send    func(id string) reply
}

// neverAnswered lists the kinds that no request is refused with, and the reasons.
var neverAnswered = map[refusal.Kind]string{
	refusal.RetriesExhausted: "a request without an attempt left is answered with the kind of its last attempt",
}

// TestRefusalsThatSayNotRunRanNothing provokes each refusal kind with the run state not-run, and checks that the
// refused requests have not run.
func TestRefusalsThatSayNotRunRanNothing(t *testing.T) {
	f := newFleet(t)
	set := baseSet()
	set.Limits = append(set.Limits, configuration.Limit{Name: "tiny", Rate: 0.01, Burst: 1})
	set.Workspaces = append(set.Workspaces, configuration.Workspace{Name: "narrow", Limit: "tiny", Share: 1})
	for _, name := range []string{"narrow", "withdrawn"} {
		set.Keys = append(set.Keys, configuration.Key{Name: name, Workspace: "narrow", Hash: key.Hash(secretOf(name)), Withdrawn: name == "withdrawn"})
	}
	for _, name := range []string{"narrow", "brief", "gone", "nobody"} {
		service := strings.Replace(name, "brief", "narrow", 1)
		set.Routes = append(set.Routes, configuration.Route{
			Name: name, Path: "/" + name + "/*", Service: service, Priority: "low", Deadline: 20 * time.Second, Repeatable: true,
		})
		if name == service {
			set.Services = append(set.Services, configuration.Service{Name: name, RetryBudget: 0.2, MinimumRetriesPerSecond: 10})
		}
	}
	set.Routes[len(set.Routes)-3].Deadline = 300 * time.Millisecond
	set.Routes = append(set.Routes, configuration.Route{
		Name: "limited", Path: "/limited/*", Service: "courts", Priority: "low", Deadline: 20 * time.Second, Repeatable: true, MaxHeaderBytes: 2000, MaxBodyBytes: 10,
	})
	f.publish(set)

	runs := &runTable{runs: make(map[string]int)}
	release, held := make(chan struct{}), make(chan struct{}, 2)
	counted := func(handler http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			runs.add(r.Header.Get(headerTestRequest))
			handler(w, r)
		}
	}
	succeed := counted(func(http.ResponseWriter, *http.Request) {})
	f.backend("bookings-1", "bookings", succeed)
	var leaving *backendServer
	for _, name := range []string{"courts-1", "courts-2", "courts-3"} {
		var own *backendServer
		own = f.backend(name, "courts", counted(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/courts/poison" {
				own.leave()
				_ = own.server.Close()
			}
		}))
		leaving = own
	}
	gone := f.backend("gone-1", "gone", succeed)
	var narrow *backendServer
	narrow = f.backendOf("narrow-1", "narrow", 2, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/narrow/hold":
			held <- struct{}{}
			<-release
		case "/narrow/parent":
			nested, _ := http.NewRequest(http.MethodGet, "http://"+narrow.daemon.SubcallsAddress().String()+"/narrow/sub", nil)
			nested.Header.Set(headerCallToken, r.Header.Get(headerCallToken))
			nested.Header.Set(headerTestRequest, r.Header.Get(headerTestRequest))
			got := send(nested)
			_, _ = fmt.Fprintf(w, "%s %s", got.refusal(), got.header.Get(headerRunState))
		default:
			runs.add(r.Header.Get(headerTestRequest))
		}
	})
	entry, _, _ := f.daemon("entry")
	requestTo := func(d *daemon.Daemon, path, workspace, body string, headers ...string) func(string) reply {
		return func(id string) reply {
			return ask(d, http.MethodPost, path, workspace, body, append(headers, headerTestRequest, id)...)
		}
	}
	awaitServed := func(path string, headers ...string) {
		f.eventually(path, func() bool { return requestTo(entry, path, "club", "", headers...)("served").status == http.StatusOK })
	}
	occupySlot := func(d *daemon.Daemon) {
		go ask(d, http.MethodGet, "/narrow/hold", "club", "")
		<-held
	}
	var bookings atomic.Int64
	cases := []refusalCase{
		{refusal.MalformedRequest, func() { awaitServed("/courts/1") }, func(id string) reply { return halfBody(t, entry, id) }},
		{refusal.NoRoute, nil, requestTo(entry, "/nowhere", "club", "")},
		{refusal.HeaderTooLarge, nil, requestTo(entry, "/limited/1", "club", "", "Large", strings.Repeat("x", 2000))},
		{refusal.BodyTooLarge, nil, requestTo(entry, "/limited/1", "club", "eleven bytes")},
		{refusal.KeyMissing, nil, requestTo(entry, "/courts/1", "", "")},
		{refusal.KeyUnknown, nil, requestTo(entry, "/courts/1", "stranger", "")},
		{refusal.KeyWithdrawn, nil, requestTo(entry, "/courts/1", "withdrawn", "")},
		{refusal.CallTokenInvalid, nil, func(id string) reply {
			request, _ := http.NewRequest(http.MethodGet, "http://"+leaving.daemon.SubcallsAddress().String()+"/courts/1", nil)
			request.Header.Set(headerCallToken, "forged")
			request.Header.Set(headerTestRequest, id)
			return send(request)
		}},
		{refusal.RateExceeded, nil, requestTo(entry, "/courts/1", "narrow", "")},
		{refusal.NoTarget, nil, requestTo(entry, "/nobody/1", "club", "")},
		{refusal.TargetUnreachable, func() { _ = gone.server.Close() }, requestTo(entry, "/gone/1", "club", "")},
		{refusal.Overloaded, func() {
			awaitServed("/narrow/1")
			occupySlot(leaving.daemon)
		}, func(id string) reply {
			got := requestTo(entry, "/narrow/parent", "club", "")(id)
			kind, state, _ := strings.Cut(got.body, " ")
			return reply{header: http.Header{headerRefusal: {kind}, headerRunState: {state}}}
		}},
		{refusal.DeadlineUnreachable, func() { occupySlot(entry) }, requestTo(entry, "/brief/1", "club", "")},
		{refusal.IdempotencyKeyMissing, nil, requestTo(entry, "/bookings", "club", "")},
		{refusal.IdempotencyKeyInvalid, nil, requestTo(entry, "/bookings", "club", "", "Idempotency-Key", strings.Repeat("k", 1000))},
		{refusal.IdempotencyKeyExpired, nil, requestTo(entry, "/bookings", "club", "", "Idempotency-Key", "01900000-0000-7000-8000-000000000000")},
		{
			refusal.IdempotencyKeyReused, func() { awaitServed("/bookings", "Idempotency-Key", "used") },
			requestTo(entry, "/bookings", "club", "another", "Idempotency-Key", "used"),
		},
		{refusal.Quarantined, nil, requestTo(entry, "/courts/poison", "club", "")},
		{refusal.Draining, leaving.stop, requestTo(leaving.daemon, "/courts/1", "club", "")},
		{refusal.ClaimUnavailable, func() {
			close(release)
			f.stopControl()
		}, func(id string) reply {
			return requestTo(entry, "/bookings", "club", "", "Idempotency-Key", fmt.Sprint(bookings.Add(1)))(id)
		}},
		{refusal.ConfigurationStale, nil, requestTo(entry, "/courts/1", "club", "")},
	}
	refused := make(map[refusal.Kind]string)
	for _, c := range cases {
		if c.prepare != nil {
			c.prepare()
		}
		attempt := 0
		f.eventually(string(c.kind), func() bool {
			attempt++
			id := fmt.Sprintf("%s-%d", c.kind, attempt)
			got := c.send(id)
			if got.refusal() != string(c.kind) {
				return false
			}
			if state := got.header.Get(headerRunState); state != string(refusal.NotRun) {
				t.Errorf("%s: run state %q", c.kind, state)
			}
			refused[c.kind] = id
			return true
		})
	}
	for _, kind := range refusal.Kinds() {
		id, answered := refused[kind]
		_, expectedNever := neverAnswered[kind]
		if notRun := refusal.AnswerTo(kind).RunState == refusal.NotRun; notRun && answered == expectedNever || answered && !notRun {
			t.Errorf("%s: answered as not run: %t, listed in neverAnswered: %t", kind, answered, expectedNever)
		}
		if ran := runs.count(id); answered && ran > 0 {
			t.Errorf("%s: refused as not run, but ran %d times", kind, ran)
		}
	}
}

// halfBody sends a request whose body ends early and returns the reply.
func halfBody(t *testing.T, d *daemon.Daemon, id string) reply {
	t.Helper()
	conn, err := net.Dial("tcp", d.CallersAddress().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST /courts/1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%s: %s\r\nContent-Length: 9\r\n\r\nhalf",
		secretOf("club"), headerTestRequest, id)
	_ = conn.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return reply{status: response.StatusCode, header: response.Header}
}
