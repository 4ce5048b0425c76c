package operator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

var (
	at       = time.Date(2026, 5, 2, 8, 0, 0, 0, time.UTC)
	loopback = netip.MustParseAddrPort("127.0.0.1:7001")
	print32  = strings.Repeat("0a", 16)
)

func newMemory() *operator.Memory {
	return operator.NewMemory(
		func() time.Time { return at },
		operator.WithTargets(operator.Target{Name: "t", Service: "courts", FailureDomain: "east", Daemon: "d", Address: loopback, Incarnation: 3, State: "ready", Slots: 80, InFlight: 2, Connections: 5}),
		operator.WithQuarantine(operator.QuarantineEntry{Fingerprint: print32, State: "quarantined", Remaining: time.Minute, Crashes: []string{"one", "two"}}),
		operator.WithMembers(operator.Member{Name: "control-1", Address: loopback, Role: operator.RoleLeader, Match: 9}),
		operator.WithStatus(operator.Status{Process: "control-1", Cluster: "banevakt", Leader: "control-1", LeaderAddress: loopback, Term: 2, Applied: 9, Daemons: []operator.Daemon{{Name: "d", FailureDomain: "east", OperatorsAddress: loopback}}}),
		operator.WithEvents([]byte("{}\n")),
	)
}

// serve starts an HTTP server on loopback and returns its address.
func serve(t *testing.T, h http.Handler) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func handler(t *testing.T, s operator.System) http.Handler {
	t.Helper()
	h, err := operator.NewHandler(s)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func set(names ...string) configuration.Set {
	s := configuration.Set{Limits: []configuration.Limit{{Name: "small", Rate: 1.5, Burst: 3}}}
	for _, name := range names {
		s.Workspaces = append(s.Workspaces, configuration.Workspace{Name: name, Limit: "small", Share: 1})
	}
	return s
}

func TestPublishingOverHTTP(t *testing.T) {
	client := operator.NewClient([]netip.AddrPort{serve(t, handler(t, newMemory()))})
	publish := func(p configuration.PublishRequest) configuration.PublishResult {
		t.Helper()
		published, err := client.Publish(t.Context(), p)
		if err != nil {
			t.Fatal(err)
		}
		return published
	}
	for _, c := range []struct {
		publish configuration.PublishRequest
		want    configuration.PublishResult
	}{
		{configuration.PublishRequest{ID: "a", Set: set("oslo")}, configuration.PublishResult{Kind: configuration.Accepted, Revision: 1}},
		{configuration.PublishRequest{ID: "b", Set: set("bergen")}, configuration.PublishResult{Kind: configuration.Conflict, Revision: 1, Winner: 1}},
		{configuration.PublishRequest{ID: "a", Set: set("oslo")}, configuration.PublishResult{Kind: configuration.Accepted, Revision: 1}},
		{configuration.PublishRequest{ID: "c", Base: 1, Author: "kari", Comment: "no more", Changes: []configuration.Change{{Kind: "workspace", Name: "oslo", Removed: true}}}, configuration.PublishResult{Kind: configuration.Accepted, Revision: 2}},
		{configuration.PublishRequest{ID: "d", Base: 2, Changes: []configuration.Change{{Kind: "limit", Name: "big", Body: []byte(`{"name":"big","rate":0,"burst":1}`)}}}, configuration.PublishResult{
			Kind: configuration.Broken, Revision: 2, Problems: configuration.Problems{{Name: "limits.big.rate", Found: "0", Expected: "requests per second above 0, at most 10000000"}},
		}},
	} {
		if got := publish(c.publish); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, want %+v", c.publish.ID, got, c.want)
		}
	}
	rolled, err := client.Rollback(t.Context(), operator.Rollback{ID: "e", Base: 2, To: 1})
	if err != nil || rolled.Revision != 3 {
		t.Errorf("rollback: %+v, %v", rolled, err)
	}
	changes, err := client.Diff(t.Context(), 2, 3)
	if err != nil || len(changes) != 1 || changes[0].Name != "oslo" || changes[0].Removed {
		t.Errorf("diff: %+v, %v", changes, err)
	}
	current, err := client.Current(t.Context())
	if err != nil || !reflect.DeepEqual(current, operator.Revision{Number: 3, Set: set("oslo")}) {
		t.Errorf("current: %+v, %v", current, err)
	}
	history, err := client.History(t.Context())
	want := configuration.HistoryEntry{Revision: 2, At: at, ID: "c", Author: "kari", Comment: "no more", Changes: 1}
	if err != nil || len(history) != 3 || !reflect.DeepEqual(history[1], want) {
		t.Errorf("history: %+v, %v", history, err)
	}
	if _, err := client.Revision(t.Context(), 9); operator.FailureOf(err).Kind != operator.NotFound {
		t.Errorf("revision 9: %v", err)
	}
}

func TestFleetOverHTTP(t *testing.T) {
	memory := newMemory()
	client := operator.NewClient([]netip.AddrPort{serve(t, handler(t, memory))})
	same := func(what string, got any, gotErr error, want any, wantErr error) {
		t.Helper()
		if gotErr != nil || wantErr != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v (%v, %v)", what, got, want, gotErr, wantErr)
		}
	}
	gotTargets, err := client.Targets(t.Context())
	wantTargets, wantErr := memory.Targets(t.Context())
	same("targets", gotTargets, err, wantTargets, wantErr)
	gotEntries, err := client.Quarantine(t.Context())
	wantEntries, wantErr := memory.Quarantine(t.Context())
	same("quarantine", gotEntries, err, wantEntries, wantErr)
	gotStatus, err := client.Status(t.Context())
	wantStatus, wantErr := memory.Status(t.Context())
	same("status", gotStatus, err, wantStatus, wantErr)
	added := operator.NewMember{Name: "control-2", Address: netip.MustParseAddrPort("127.0.0.1:7003")}
	same("add", nil, client.AddMember(t.Context(), added), nil, client.PromoteMember(t.Context(), "control-2"))
	same("remove", nil, client.RemoveMember(t.Context(), "control-1"), nil, client.Ready(t.Context()))
	gotMembers, err := client.Members(t.Context())
	wantMembers := []operator.Member{{Name: "control-2", Address: added.Address, Role: operator.RoleVoter}}
	same("members", gotMembers, err, wantMembers, nil)
	same("release", nil, client.Release(t.Context(), print32), nil, nil)
	if err := client.Release(t.Context(), print32); operator.FailureOf(err).Kind != operator.NotFound {
		t.Errorf("second release: %v", err)
	}
	if err := client.Release(t.Context(), "x"); operator.FailureOf(err).Kind != operator.Invalid {
		t.Errorf("malformed fingerprint: %v", err)
	}
	events, err := client.Timeline(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if lines, _ := io.ReadAll(events); string(lines) != "{}\n" {
		t.Errorf("events %q", lines)
	}
}

// follower is a system that is not the leader.
type follower struct {
	*operator.Memory
	failure *operator.Failure
}

func (f follower) Publish(context.Context, configuration.PublishRequest) (configuration.PublishResult, error) {
	return configuration.PublishResult{}, f.failure
}

func (f follower) Current(context.Context) (operator.Revision, error) {
	return operator.Revision{}, f.failure
}

// losing loses the answer to its first requests after it acted on them.
type losing struct {
	http.Handler
	lost int
}

func (l *losing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.lost == 0 {
		l.Handler.ServeHTTP(w, r)
		return
	}
	l.lost--
	l.Handler.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func TestClientFindsTheLeader(t *testing.T) {
	memory := newMemory()
	leader := serve(t, handler(t, memory))
	named := &operator.Failure{Kind: operator.NotLeader, Detail: "x", Leader: "control-1", LeaderAddress: leader}
	knowing := serve(t, handler(t, follower{newMemory(), named}))
	unknowing := serve(t, handler(t, follower{newMemory(), operator.NewFailure(operator.Unavailable, "no quorum")}))
	gone := netip.MustParseAddrPort("127.0.0.1:1")
	for name, addresses := range map[string][]netip.AddrPort{
		"named": {knowing}, "next": {unknowing, leader}, "dead": {gone, unknowing, knowing},
	} {
		client := operator.NewClient(addresses, operator.WithPatience(0))
		published, err := client.Publish(t.Context(), configuration.PublishRequest{ID: "one", Set: set()})
		if err != nil || published.Revision != 1 {
			t.Errorf("%s: %+v, %v", name, published, err)
		}
	}
	client := operator.NewClient([]netip.AddrPort{gone, unknowing}, operator.WithPatience(0))
	_, err := client.Current(t.Context())
	if err == nil || !strings.Contains(err.Error(), "no quorum") || !strings.Contains(err.Error(), gone.String()) {
		t.Errorf("no leader: %v", err)
	}
}

func TestLostAnswerPublishesOnce(t *testing.T) {
	memory := newMemory()
	address := serve(t, &losing{handler(t, memory), 2})
	client := operator.NewClient([]netip.AddrPort{address, address})
	published, err := client.Publish(t.Context(), configuration.PublishRequest{ID: "one", Set: set("oslo")})
	if err != nil || published.Kind != configuration.Accepted || published.Revision != 1 {
		t.Errorf("%+v, %v", published, err)
	}
	if history, _ := memory.History(t.Context()); len(history) != 1 {
		t.Errorf("%d revisions", len(history))
	}
}

// TestOneOfManyOperatorsWins publishes on each base from many operators at once, each of them twice.
func TestOneOfManyOperatorsWins(t *testing.T) {
	const operators, rounds = 8, 5
	memory := newMemory()
	address := serve(t, handler(t, memory))
	for base := range uint64(rounds) {
		var wg sync.WaitGroup
		answers := make([]configuration.PublishResult, 2*operators)
		for i := range answers {
			wg.Go(func() {
				id := fmt.Sprintf("%d-%d", base, i%operators)
				client := operator.NewClient([]netip.AddrPort{address})
				answers[i], _ = client.Publish(t.Context(), configuration.PublishRequest{ID: id, Base: base, Set: set("w" + id)})
			})
		}
		wg.Wait()
		winners := 0
		for i, answer := range answers {
			if !reflect.DeepEqual(answer, answers[(i+operators)%len(answers)]) {
				t.Errorf("operator %d got %+v and %+v", i%operators, answer, answers[(i+operators)%len(answers)])
			}
			if answer.Kind == configuration.Accepted {
				winners++
			} else if answer.Kind != configuration.Conflict || answer.Winner != base+1 {
				t.Errorf("operator %d got %+v", i%operators, answer)
			}
		}
		if winners != 2 {
			t.Errorf("on %d: %d answers are accepted, want those to one operator", base, winners)
		}
	}
	if history, _ := memory.History(t.Context()); len(history) != rounds {
		t.Errorf("%d revisions", len(history))
	}
}

func TestBadRequestsAreRefused(t *testing.T) {
	full := handler(t, newMemory())
	process, err := operator.NewProcessHandler(newMemory())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		handler            http.Handler
		method, path, body string
		want               int
	}{
		{full, "POST", "/operator/v1/publications", `{"id":"a"}`, 400},
		{full, "POST", "/operator/v1/publications", `{"id":"a","base":0,"whole":true,"changes":[],"colour":1}`, 400},
		{full, "POST", "/operator/v1/publications", `{"id":"a","base":0,"whole":true,"changes":[{"kind":"limit","name":"a","body":{"rates":1}}]}`, 400},
		{full, "POST", "/operator/v1/publications", `{"id":"` + strings.Repeat("x", 17<<20) + `"}`, 400},
		{full, "POST", "/operator/v1/members", `{"name":"a","address":"here"}`, 400},
		{full, "GET", "/operator/v1/revisions/x", "", 400},
		{full, "GET", "/operator/v1/none", "", 404},
		{full, "DELETE", "/operator/v1/status", "", 405},
		{process, "GET", "/operator/v1/status", "", 501},
		{process, "GET", "/operator/v1/health/live", "", 204},
		{process, "GET", "/operator/v1/health/ready", "", 204},
	} {
		request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
		request.Header.Set("Content-Type", "application/json")
		answer := httptest.NewRecorder()
		c.handler.ServeHTTP(answer, request)
		if answer.Code != c.want {
			t.Errorf("%s %s: got %d, want %d: %s", c.method, c.path, answer.Code, c.want, answer.Body)
		}
	}
}

func TestDryRunChangesNothing(t *testing.T) {
	memory := newMemory()
	memory.Publish(t.Context(), configuration.PublishRequest{ID: "a", Set: set("oslo")})
	recorder := operator.NewRecorder(operator.NewAPI(memory))
	dry := operator.NewDryRun(recorder)
	remove := []configuration.Change{{Kind: "limit", Name: "small", Removed: true}}
	for _, c := range []struct {
		publish configuration.PublishRequest
		want    configuration.Outcome
	}{
		{configuration.PublishRequest{ID: "b", Base: 1, Set: set()}, configuration.Accepted},
		{configuration.PublishRequest{ID: "b", Base: 1, Changes: remove}, configuration.Broken},
		{configuration.PublishRequest{ID: "b", Base: 0, Set: set()}, configuration.Conflict},
		{configuration.PublishRequest{ID: "b", Base: 2, Set: set()}, configuration.Broken},
	} {
		got, err := dry.Publish(t.Context(), c.publish)
		if err != nil || got.Kind != c.want {
			t.Errorf("on %d: got %+v, want %s (%v)", c.publish.Base, got, c.want, err)
		}
	}
	back, err := dry.Rollback(t.Context(), operator.Rollback{ID: "b", Base: 1, To: 0})
	if err != nil || back.Kind != configuration.Accepted || back.Revision != 2 {
		t.Errorf("rollback: %+v, %v", back, err)
	}
	for name, err := range map[string]error{"member": dry.RemoveMember(t.Context(), "none"), "release": dry.Release(t.Context(), "none")} {
		if operator.FailureOf(err).Kind != operator.NotFound {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := errors.Join(dry.RemoveMember(t.Context(), "control-1"), dry.Release(t.Context(), print32), dry.AddMember(t.Context(), operator.NewMember{})); err != nil {
		t.Error(err)
	}
	if calls := recorder.Calls(); len(calls) > 0 {
		t.Errorf("changes were asked for: %v", calls)
	}
}

func TestRecorderKeepsChangesInOrder(t *testing.T) {
	recorder := operator.NewRecorder(operator.NewAPI(newMemory()))
	recorder.Publish(t.Context(), configuration.PublishRequest{ID: "a", Set: set()})
	recorder.Rollback(t.Context(), operator.Rollback{ID: "b", Base: 1})
	recorder.RemoveMember(t.Context(), "control-1")
	recorder.Current(t.Context())
	want := []operator.Call{{"publish", "on revision 0"}, {"rollback", "to revision 0 on revision 1"}, {"remove-member", "control-1"}}
	if got := recorder.Calls(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestEventsAreStreamed(t *testing.T) {
	answer := httptest.NewRecorder()
	handler(t, newMemory()).ServeHTTP(answer, httptest.NewRequest("GET", "/operator/v1/timeline", nil))
	if answer.Header().Get("Content-Type") != "application/x-ndjson" || !bytes.Equal(answer.Body.Bytes(), []byte("{}\n")) {
		t.Errorf("%v %s", answer.Header(), answer.Body)
	}
}
