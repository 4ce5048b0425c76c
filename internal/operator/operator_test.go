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
	"sapphirespread.example/internal/membership/evacuation"
	"sapphirespread.example/internal/operator"
)

var (
	publishTime = time.Date(2026, 5, 2, 8, 0, 0, 0, time.UTC)
	loopback    = netip.MustParseAddrPort("127.0.0.1:7001")
	fingerprint = strings.Repeat("0a", 16)
)

func newMemory() *operator.Memory {
	return operator.NewMemory(
		func() time.Time { return publishTime },
		operator.WithTargets(operator.Target{Name: "t", Service: "courts", FailureDomain: "east", Daemon: "d", Address: loopback, Incarnation: 3, State: "ready", Slots: 80, InFlight: 2, Connections: 5}),
		operator.WithQuarantine(operator.QuarantineEntry{Fingerprint: fingerprint, State: "quarantined", Remaining: time.Minute, Crashes: []string{"one", "two"}}),
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

func newHandler(t *testing.T, s operator.System) http.Handler {
	t.Helper()
	h, err := operator.NewHandler(s)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func newSet(names ...string) configuration.Set {
	s := configuration.Set{Limits: []configuration.Limit{{Name: "small", Rate: 1.5, Burst: 3}}}
	for _, name := range names {
		s.Workspaces = append(s.Workspaces, configuration.Workspace{Name: name, Limit: "small", Share: 1})
	}
	return s
}

func TestPublishingOverHTTP(t *testing.T) {
	client := operator.NewClient([]netip.AddrPort{serve(t, newHandler(t, newMemory()))})
	publish := func(p configuration.PublishRequest) configuration.PublishResult {
		t.Helper()
		result, err := client.Publish(t.Context(), p)
		if err != nil {
			t.Fatal(err)
		}
		return result
	}
	for _, c := range []struct {
		publish configuration.PublishRequest
		want    configuration.PublishResult
	}{
		{configuration.PublishRequest{ID: "a", Set: newSet("oslo")}, configuration.PublishResult{Kind: configuration.Accepted, Revision: 1}},
		{configuration.PublishRequest{ID: "b", Set: newSet("bergen")}, configuration.PublishResult{Kind: configuration.Conflict, Revision: 1, Winner: 1}},
		{configuration.PublishRequest{ID: "a", Set: newSet("oslo")}, configuration.PublishResult{Kind: configuration.Accepted, Revision: 1}},
		{configuration.PublishRequest{ID: "c", Base: 1, Author: "kari", Comment: "no more", Changes: []configuration.Change{{Kind: "workspace", Name: "oslo", Removed: true}}}, configuration.PublishResult{Kind: configuration.Accepted, Revision: 2}},
		{configuration.PublishRequest{ID: "d", Base: 2, Changes: []configuration.Change{{Kind: "limit", Name: "big", Body: []byte(`{"name":"big","rate":0,"burst":1}`)}}}, configuration.PublishResult{
			Kind: configuration.Broken, Revision: 2, Problems: configuration.Problems{{Name: "limits.big.rate", Found: "0", Expected: "requests per second above 0, at most 10000000"}},
		}},
	} {
		if got := publish(c.publish); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: got %+v, want %+v", c.publish.ID, got, c.want)
		}
	}
	rolledBack, err := client.Rollback(t.Context(), operator.Rollback{ID: "e", Base: 2, To: 1})
	if err != nil || rolledBack.Revision != 3 {
		t.Errorf("rollback: %+v, %v", rolledBack, err)
	}
	changes, err := client.Diff(t.Context(), 2, 3)
	if err != nil || len(changes) != 1 || changes[0].Name != "oslo" || changes[0].Removed {
		t.Errorf("diff: %+v, %v", changes, err)
	}
	current, err := client.Current(t.Context())
	if err != nil || !reflect.DeepEqual(current, operator.Revision{Number: 3, Set: newSet("oslo")}) {
		t.Errorf("current: %+v, %v", current, err)
	}
	history, err := client.History(t.Context())
	want := configuration.HistoryEntry{Revision: 2, At: publishTime, ID: "c", Author: "kari", Comment: "no more", Changes: 1}
	if err != nil || len(history) != 3 || !reflect.DeepEqual(history[1], want) {
		t.Errorf("history: %+v, %v", history, err)
	}
	if _, err := client.Revision(t.Context(), 9); operator.FailureOf(err).Kind != operator.NotFound {
		t.Errorf("revision 9: %v", err)
	}
}

func TestFleetOverHTTP(t *testing.T) {
	memory := newMemory()
	client := operator.NewClient([]netip.AddrPort{serve(t, newHandler(t, memory))})
	requireEqual := func(what string, got any, gotErr error, want any, wantErr error) {
		t.Helper()
		if gotErr != nil || wantErr != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v (%v, %v)", what, got, want, gotErr, wantErr)
		}
	}
	gotTargets, err := client.Targets(t.Context())
	wantTargets, wantErr := memory.Targets(t.Context())
	requireEqual("targets", gotTargets, err, wantTargets, wantErr)
	gotEntries, err := client.Quarantine(t.Context())
	wantEntries, wantErr := memory.Quarantine(t.Context())
	requireEqual("quarantine", gotEntries, err, wantEntries, wantErr)
	gotStatus, err := client.Status(t.Context())
	wantStatus, wantErr := memory.Status(t.Context())
	requireEqual("status", gotStatus, err, wantStatus, wantErr)
	added := operator.NewMember{Name: "control-2", Address: netip.MustParseAddrPort("127.0.0.1:7003")}
	requireEqual("add", nil, client.AddMember(t.Context(), added), nil, client.PromoteMember(t.Context(), "control-2"))
	requireEqual("remove", nil, client.RemoveMember(t.Context(), "control-1"), nil, client.Ready(t.Context()))
	gotMembers, err := client.Members(t.Context())
	wantMembers := []operator.Member{{Name: "control-2", Address: added.Address, Role: operator.RoleVoter}}
	requireEqual("members", gotMembers, err, wantMembers, nil)
	gone := evacuation.Order{Domain: "west", Out: true}
	requireEqual("out", nil, errors.Join(client.OrderFailureDomain(t.Context(), gone), client.OrderFailureDomain(t.Context(), gone)), nil, nil)
	gotDomains, err := client.FailureDomains(t.Context())
	requireEqual("failure domains", gotDomains, err, operator.FailureDomains{Version: 1, Domains: []operator.FailureDomain{
		{Name: "east", Targets: 1}, {Name: "west", OutOfUse: true},
	}}, nil)
	gotStatus, err = client.Status(t.Context())
	requireEqual("status with a failure domain out of use", gotStatus.OutOfUse, err, []string{"west"}, nil)
	requireEqual("back", nil, client.OrderFailureDomain(t.Context(), evacuation.Order{Domain: "west"}), nil, nil)
	if err := client.OrderFailureDomain(t.Context(), evacuation.Order{Domain: "no name"}); operator.FailureOf(err).Kind != operator.Invalid {
		t.Errorf("malformed failure domain: %v", err)
	}
	requireEqual("release", nil, client.Release(t.Context(), fingerprint), nil, nil)
	if err := client.Release(t.Context(), fingerprint); operator.FailureOf(err).Kind != operator.NotFound {
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

// follower is a System whose Publish and Current return a failure, like those of an instance that is not the leader.
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

// lossyHandler drops the responses to its first requests after it has served them.
type lossyHandler struct {
	http.Handler
	remaining int
}

func (h *lossyHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.remaining == 0 {
		h.Handler.ServeHTTP(w, r)
		return
	}
	h.remaining--
	h.Handler.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}

func TestClientFindsTheLeader(t *testing.T) {
	memory := newMemory()
	leader := serve(t, newHandler(t, memory))
	notLeader := &operator.Failure{Kind: operator.NotLeader, Detail: "x", Leader: "control-1", LeaderAddress: leader}
	informedFollower := serve(t, newHandler(t, follower{newMemory(), notLeader}))
	uninformedFollower := serve(t, newHandler(t, follower{newMemory(), operator.NewFailure(operator.Unavailable, "no quorum")}))
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	for name, addresses := range map[string][]netip.AddrPort{
		"named": {informedFollower}, "next": {uninformedFollower, leader}, "dead": {unreachable, uninformedFollower, informedFollower},
	} {
		client := operator.NewClient(addresses, operator.WithRetryTimeout(0))
		result, err := client.Publish(t.Context(), configuration.PublishRequest{ID: "one", Set: newSet()})
		if err != nil || result.Revision != 1 {
			t.Errorf("%s: %+v, %v", name, result, err)
		}
	}
	client := operator.NewClient([]netip.AddrPort{unreachable, uninformedFollower}, operator.WithRetryTimeout(0))
	_, err := client.Current(t.Context())
	if err == nil || !strings.Contains(err.Error(), "no quorum") || !strings.Contains(err.Error(), unreachable.String()) {
		t.Errorf("no leader: %v", err)
	}
}

func TestLostAnswerPublishesOnce(t *testing.T) {
	memory := newMemory()
	address := serve(t, &lossyHandler{newHandler(t, memory), 2})
	client := operator.NewClient([]netip.AddrPort{address, address})
	result, err := client.Publish(t.Context(), configuration.PublishRequest{ID: "one", Set: newSet("oslo")})
	if err != nil || result.Kind != configuration.Accepted || result.Revision != 1 {
		t.Errorf("%+v, %v", result, err)
	}
	if history, _ := memory.History(t.Context()); len(history) != 1 {
		t.Errorf("%d revisions", len(history))
	}
}

// TestOneOfManyOperatorsWins sends a publish on the same base from many operators at once, each of them twice. Exactly
// one operator must be accepted, and both responses to an operator must be equal.
func TestOneOfManyOperatorsWins(t *testing.T) {
	const operators, rounds = 8, 5
	memory := newMemory()
	address := serve(t, newHandler(t, memory))
	for base := range uint64(rounds) {
		var wg sync.WaitGroup
		results := make([]configuration.PublishResult, 2*operators)
		for i := range results {
			wg.Go(func() {
				id := fmt.Sprintf("%d-%d", base, i%operators)
				client := operator.NewClient([]netip.AddrPort{address})
				results[i], _ = client.Publish(t.Context(), configuration.PublishRequest{ID: id, Base: base, Set: newSet("w" + id)})
			})
		}
		wg.Wait()
		winners := 0
		for i, result := range results {
			if !reflect.DeepEqual(result, results[(i+operators)%len(results)]) {
				t.Errorf("operator %d got %+v and %+v", i%operators, result, results[(i+operators)%len(results)])
			}
			if result.Kind == configuration.Accepted {
				winners++
			} else if result.Kind != configuration.Conflict || result.Winner != base+1 {
				t.Errorf("operator %d got %+v", i%operators, result)
			}
		}
		if winners != 2 {
			t.Errorf("base %d: %d responses are accepted, want both responses to one operator", base, winners)
		}
	}
	if history, _ := memory.History(t.Context()); len(history) != rounds {
		t.Errorf("%d revisions", len(history))
	}
}

func TestBadRequestsAreRefused(t *testing.T) {
	full := newHandler(t, newMemory())
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
		response := httptest.NewRecorder()
		c.handler.ServeHTTP(response, request)
		if response.Code != c.want {
			t.Errorf("%s %s: got %d, want %d: %s", c.method, c.path, response.Code, c.want, response.Body)
		}
	}
}

func TestDryRunChangesNothing(t *testing.T) {
	memory := newMemory()
	memory.Publish(t.Context(), configuration.PublishRequest{ID: "a", Set: newSet("oslo")})
	recorder := operator.NewRecorder(operator.NewAPI(memory))
	dryRun := operator.NewDryRun(recorder)
	remove := []configuration.Change{{Kind: "limit", Name: "small", Removed: true}}
	for _, c := range []struct {
		publish configuration.PublishRequest
		want    configuration.Outcome
	}{
		{configuration.PublishRequest{ID: "b", Base: 1, Set: newSet()}, configuration.Accepted},
		{configuration.PublishRequest{ID: "b", Base: 1, Changes: remove}, configuration.Broken},
		{configuration.PublishRequest{ID: "b", Base: 0, Set: newSet()}, configuration.Conflict},
		{configuration.PublishRequest{ID: "b", Base: 2, Set: newSet()}, configuration.Broken},
	} {
		got, err := dryRun.Publish(t.Context(), c.publish)
		if err != nil || got.Kind != c.want {
			t.Errorf("on %d: got %+v, want %s (%v)", c.publish.Base, got, c.want, err)
		}
	}
	rolledBack, err := dryRun.Rollback(t.Context(), operator.Rollback{ID: "b", Base: 1, To: 0})
	if err != nil || rolledBack.Kind != configuration.Accepted || rolledBack.Revision != 2 {
		t.Errorf("rollback: %+v, %v", rolledBack, err)
	}
	for name, err := range map[string]error{"member": dryRun.RemoveMember(t.Context(), "none"), "release": dryRun.Release(t.Context(), "none")} {
		if operator.FailureOf(err).Kind != operator.NotFound {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := dryRun.OrderFailureDomain(t.Context(), evacuation.Order{}); operator.FailureOf(err).Kind != operator.Invalid {
		t.Errorf("failure domain without a name: %v", err)
	}
	if err := errors.Join(dryRun.OrderFailureDomain(t.Context(), evacuation.Order{Domain: "east", Out: true}), dryRun.RemoveMember(t.Context(), "control-1"), dryRun.Release(t.Context(), fingerprint), dryRun.AddMember(t.Context(), operator.NewMember{})); err != nil {
		t.Error(err)
	}
	if calls := recorder.Calls(); len(calls) > 0 {
		t.Errorf("a dry run requested changes: %v", calls)
	}
}

func TestRecorderKeepsChangesInOrder(t *testing.T) {
	recorder := operator.NewRecorder(operator.NewAPI(newMemory()))
	recorder.Publish(t.Context(), configuration.PublishRequest{ID: "a", Set: newSet()})
	recorder.Rollback(t.Context(), operator.Rollback{ID: "b", Base: 1})
	recorder.RemoveMember(t.Context(), "control-1")
	recorder.OrderFailureDomain(t.Context(), evacuation.Order{Domain: "east", Out: true})
	recorder.Current(t.Context())
	want := []operator.Call{{"publish", "on revision 0"}, {"rollback", "to revision 0 on revision 1"}, {"remove-member", "control-1"}, {"order-failure-domain", "east out of use: true"}}
	if got := recorder.Calls(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestEventsAreStreamed(t *testing.T) {
	response := httptest.NewRecorder()
	newHandler(t, newMemory()).ServeHTTP(response, httptest.NewRequest("GET", "/operator/v1/timeline", nil))
	if response.Header().Get("Content-Type") != "application/x-ndjson" || !bytes.Equal(response.Body.Bytes(), []byte("{}\n")) {
		t.Errorf("%v %s", response.Header(), response.Body)
	}
}
