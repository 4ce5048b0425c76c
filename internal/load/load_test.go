package load_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/load"
	"sapphirespread.example/internal/standin"
	"sapphirespread.example/refusal"
)

var start = time.Unix(1_000_000, 0)

func plan(duration time.Duration, rate float64, phases ...load.Phase) load.Plan {
	return load.Plan{
		Seed: 1, Duration: duration, Phases: phases,
		Workspaces: []load.Workspace{
			{Name: "large", Rate: rate, Limit: load.Limit{Rate: rate * 10, Burst: 1000}},
			{Name: "small", Rate: rate / 10, Limit: load.Limit{Rate: rate * 10, Burst: 1000}},
		},
		Routes: []load.Route{{Name: "reserve", Method: http.MethodPost, Path: "/r", Service: "booking", Deadline: time.Second, Weight: 1}},
	}
}

func TestPlansAreSortedRepeatableAndFollowTheirPhases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pause := load.Phase{From: time.Second, To: 2 * time.Second, Workspace: "large", Factor: 0}
		surge := load.Phase{From: 3 * time.Second, To: 4 * time.Second, Factor: 5}
		p := plan(5*time.Second, rapid.Float64Range(1, 300).Draw(t, "rate"), pause, surge)
		p.Seed = rapid.Uint64().Draw(t, "seed")
		arrivals := p.Arrivals()
		if !reflect.DeepEqual(arrivals, p.Arrivals()) {
			t.Fatal("two evaluations of one plan differ")
		}
		if !slices.IsSortedFunc(arrivals, func(a, b load.Arrival) int { return int(a.At - b.At) }) {
			t.Fatal("arrivals are not sorted")
		}
		for _, a := range arrivals {
			if a.At < 0 || a.At >= p.Duration || a.Workspace == 0 && a.At >= pause.From && a.At < pause.To {
				t.Fatalf("unexpected arrival of workspace %d at %v", a.Workspace, a.At)
			}
		}
	})
}

func TestPhasesMultiplyTheRate(t *testing.T) {
	p := plan(20*time.Second, 200, load.Phase{From: 10 * time.Second, To: 20 * time.Second, Factor: 3})
	var before, during int
	for _, a := range p.Arrivals() {
		if a.At < 10*time.Second {
			before++
		} else {
			during++
		}
	}
	if ratio := float64(during) / float64(before); ratio < 2.8 || ratio > 3.2 {
		t.Fatalf("%d arrivals before and %d during a phase of factor 3", before, during)
	}
}

// The reference bucket admits at most burst + rate*w requests in any window of length w.
func TestReferenceBucketHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := load.Limit{Rate: rapid.Float64Range(0.5, 50).Draw(t, "rate"), Burst: rapid.Int64Range(1, 20).Draw(t, "burst")}
		bucket := load.NewBucket(start, limit)
		now := start
		var taken []time.Time
		for range rapid.IntRange(1, 80).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if bucket.Take(now) {
				taken = append(taken, now)
			}
		}
		for i := range taken {
			for j := i; j < len(taken); j++ {
				bound := float64(limit.Burst) + limit.Rate*taken[j].Sub(taken[i]).Seconds()
				if float64(j-i+1) > bound+1e-6 {
					t.Fatalf("%d requests admitted in %v, want at most %v", j-i+1, taken[j].Sub(taken[i]), bound)
				}
			}
		}
	})
}

// constantSender returns the same outcome for every attempt.
type constantSender load.Outcome

func (c constantSender) Send(context.Context, load.Request) (load.Outcome, time.Duration) {
	return load.Outcome(c), 0
}

func TestRunnerJudgesRefusals(t *testing.T) {
	over := load.Outcome{Verdict: load.Refused, Kind: refusal.RateExceeded, RunState: refusal.NotRun}
	shed := load.Outcome{Verdict: load.Refused, Kind: refusal.Overloaded, RunState: refusal.NotRun}
	unknown := load.Outcome{Verdict: load.Refused, Kind: refusal.TargetCrashed, RunState: refusal.Unknown}
	good := load.Outcome{Verdict: load.Good}
	cases := []struct {
		name     string
		outcome  load.Outcome
		limit    load.Limit
		steady   bool
		wrongful func(attempts int64) int64
	}{
		{"good answers", good, load.Limit{Rate: 1000, Burst: 1000}, true, func(int64) int64 { return 0 }},
		{"rate refusal within the rate", over, load.Limit{Rate: 1000, Burst: 1000}, false, func(n int64) int64 { return n }},
		{"rate refusal over the rate", over, load.Limit{Rate: 1e-9, Burst: 3}, false, func(int64) int64 { return 3 }},
		{"shed during a steady period", shed, load.Limit{Rate: 1000, Burst: 1000}, true, func(n int64) int64 { return n }},
		{"shed outside a steady period", shed, load.Limit{Rate: 1000, Burst: 1000}, false, func(int64) int64 { return 0 }},
		{"refused, may have run", unknown, load.Limit{Rate: 1000, Burst: 1000}, true, func(int64) int64 { return 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := plan(time.Second, 50)
				p.Workspaces = p.Workspaces[:1]
				p.Workspaces[0].Limit = c.limit
				recorder := load.NewRecorder(p, time.Now(), func(time.Duration) bool { return c.steady })
				policyAt := func(time.Duration) load.RetryPolicy { return load.RetryPolicy{Attempts: 2, Aggressive: true} }
				load.NewRunner(p, constantSender(c.outcome), load.WithRetryPolicy(policyAt)).Run(t.Context(), recorder)
				tally := recorder.Report().Tallies(0, 2*time.Second)[0]
				want := int64(len(p.Arrivals()))
				if c.outcome.Verdict != load.Good {
					want *= 2
				}
				if tally.Attempts != want || tally.WrongfullyRefused() != c.wrongful(want) {
					t.Fatalf("%+v: %d wrongful refusals, want %d of %d attempts", tally, tally.WrongfullyRefused(), c.wrongful(want), want)
				}
			})
		})
	}
}

func TestClientJudgesAnswers(t *testing.T) {
	backend := standin.New("booking", standin.WithWork(time.Microsecond, standin.Constant)).Handler()
	route := load.Route{Method: http.MethodGet, Service: "booking", Deadline: time.Minute}
	cases := []struct {
		name     string
		handler  http.HandlerFunc
		deadline time.Duration
		want     load.Outcome
	}{
		{"complete", backend.ServeHTTP, time.Minute, load.Outcome{Verdict: load.Good}},
		{"answer to another request", func(w http.ResponseWriter, r *http.Request) {
			r.URL.RawQuery = "call=other"
			backend.ServeHTTP(w, r)
		}, time.Minute, load.Outcome{Verdict: load.Wrong}},
		{"truncated", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
		}, time.Minute, load.Outcome{Verdict: load.Wrong}},
		{"refused", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(standin.RefusalHeader, "overloaded")
			w.Header().Set(standin.RunStateHeader, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, time.Minute, load.Outcome{Verdict: load.Refused, Kind: refusal.Overloaded, RunState: refusal.NotRun}},
		{"failed", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, time.Minute, load.Outcome{Verdict: load.Failed}},
		{"deadline exceeded", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, time.Millisecond, load.Outcome{Verdict: load.Late}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			address := netip.MustParseAddrPort(server.Listener.Addr().String())
			client := load.NewClient(func(string) []netip.AddrPort { return []netip.AddrPort{address} }, 1)
			defer client.Close()
			route.Deadline = c.deadline
			if got, _ := client.Send(t.Context(), load.Request{Route: route, URI: "/r?call=1"}); got != c.want {
				t.Fatalf("outcome %+v, want %+v", got, c.want)
			}
		})
	}
}
