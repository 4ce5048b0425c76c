package limits

import (
	"math/rand/v2"
	"slices"
	"time"

	"sapphirespread.example/limit"
)

type request struct {
	daemon   int
	load     int
	at       time.Time
	answered bool
}

// server is one method at work.
type server interface {
	arrive(r *request)
	loseOwner()
	replaceOwner()
}

type runner struct {
	schedule
	scenario Scenario
	start    time.Time
	outcomes []Outcome
	report   Report
}

// Run serves the scenario's requests by the method.
func Run(s Scenario, method Method) Report {
	start := time.Unix(0, 0)
	r := &runner{scenario: s, start: start, schedule: schedule{now: start}}
	for _, l := range s.Loads {
		r.outcomes = append(r.outcomes, Outcome{
			Workspace: l.Workspace,
			exact:     NewBucket(start, l.Bucket.Rate, float64(l.Bucket.Burst)),
			used:      NewBucket(start, l.Bucket.Rate, float64(l.Bucket.Burst)),
		})
	}
	srv := r.server(method)
	for i := range s.Loads {
		r.offer(srv, i)
	}
	if s.OwnerLostAt > 0 {
		r.at(start.Add(s.OwnerLostAt), srv.loseOwner)
		r.at(start.Add(s.OwnerLostAt+s.OwnerGap), srv.replaceOwner)
	}
	r.runUntil(start.Add(s.Length + s.Patience + time.Second))
	r.finish()
	return r.report
}

func (r *runner) server(method Method) server {
	switch method {
	case EvenSplit:
		return newEvenSplit(r)
	case AskEveryTime:
		return newAskEveryTime(r)
	default:
		return newGrants(r)
	}
}

// offer schedules the arrivals of one load, which form a Poisson process.
func (r *runner) offer(srv server, load int) {
	l := r.scenario.Loads[load]
	random := rand.New(rand.NewPCG(r.scenario.Seed, uint64(load)))
	out := &r.outcomes[load]
	for at := r.start; ; {
		at = at.Add(time.Duration(random.ExpFloat64() / (l.Demand * l.Bucket.Rate) * float64(time.Second)))
		if at.Sub(r.start) >= r.scenario.Length {
			return
		}
		daemon := random.IntN(r.scenario.Daemons)
		if random.Float64() < l.FirstDaemonShare {
			daemon = 0
		}
		within := out.exact.Take(at)
		if within {
			out.Within++
		}
		if !within && l.Demand <= 1 {
			continue
		}
		out.Offered++
		arrived := &request{daemon: daemon, load: load, at: at}
		r.at(at, func() { srv.arrive(arrived) })
	}
}

func (r *runner) workspace(load int) string {
	return r.scenario.Loads[load].Workspace
}

func (r *runner) buckets() []limit.NamedBucket {
	var named []limit.NamedBucket
	for _, l := range r.scenario.Loads {
		named = append(named, limit.NamedBucket{Workspace: l.Workspace, Bucket: l.Bucket})
	}
	return named
}

func (r *runner) admit(q *request) {
	if q.answered {
		return
	}
	q.answered = true
	out := &r.outcomes[q.load]
	out.Admitted++
	out.waits = append(out.waits, r.now.Sub(q.at))
	out.Excess = max(out.Excess, out.used.Force(r.now))
}

func (r *runner) refuse(q *request) {
	if q.answered {
		return
	}
	q.answered = true
	r.outcomes[q.load].RefusedUntil = r.now.Sub(r.start)
}

func (r *runner) send(run func()) {
	r.report.Messages++
	r.after(r.scenario.Delay, run)
}

func (r *runner) finish() {
	for i := range r.outcomes {
		out := &r.outcomes[i]
		slices.Sort(out.waits)
		if n := len(out.waits); n > 0 {
			out.WaitMedian, out.WaitMost = out.waits[n/2], out.waits[n-1]
		}
	}
	r.report.Outcomes = r.outcomes
}
