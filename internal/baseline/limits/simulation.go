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

// limiter enforces the limits of a scenario by one Method.
type limiter interface {
	arrive(r *request)
	loseOwner()
	replaceOwner()
}

type simulation struct {
	schedule
	scenario Scenario
	start    time.Time
	outcomes []Outcome
	report   Report
}

// Run simulates s with its limits enforced by method.
func Run(s Scenario, method Method) Report {
	start := time.Unix(0, 0)
	r := &simulation{scenario: s, start: start, schedule: schedule{now: start}}
	for _, l := range s.Loads {
		r.outcomes = append(r.outcomes, Outcome{
			Workspace: l.Workspace,
			reference: NewBucket(start, l.Bucket.Rate, float64(l.Bucket.Burst)),
			used:      NewBucket(start, l.Bucket.Rate, float64(l.Bucket.Burst)),
		})
	}
	lim := r.newLimiter(method)
	for i := range s.Loads {
		r.scheduleArrivals(lim, i)
	}
	if s.OwnerLostAt > 0 {
		r.at(start.Add(s.OwnerLostAt), lim.loseOwner)
		r.at(start.Add(s.OwnerLostAt+s.OwnerDowntime), lim.replaceOwner)
	}
	r.runUntil(start.Add(s.Duration + s.QueueTimeout + time.Second))
	r.summarize()
	return r.report
}

func (r *simulation) newLimiter(method Method) limiter {
	switch method {
	case EvenSplit:
		return newEvenSplit(r)
	case CentralBucket:
		return newCentralBucket(r)
	default:
		return newGrants(r)
	}
}

// scheduleArrivals schedules the arrivals of one load, which form a Poisson process.
func (r *simulation) scheduleArrivals(lim limiter, load int) {
	l := r.scenario.Loads[load]
	random := rand.New(rand.NewPCG(r.scenario.Seed, uint64(load)))
	out := &r.outcomes[load]
	for at := r.start; ; {
		at = at.Add(time.Duration(random.ExpFloat64() / (l.Demand * l.Bucket.Rate) * float64(time.Second)))
		if at.Sub(r.start) >= r.scenario.Duration {
			return
		}
		daemon := random.IntN(r.scenario.Daemons)
		if random.Float64() < l.FirstDaemonShare {
			daemon = 0
		}
		within := out.reference.Take(at)
		if within {
			out.Within++
		}
		if !within && l.Demand <= 1 {
			continue
		}
		out.Offered++
		arrived := &request{daemon: daemon, load: load, at: at}
		r.at(at, func() { lim.arrive(arrived) })
	}
}

func (r *simulation) workspace(load int) string {
	return r.scenario.Loads[load].Workspace
}

func (r *simulation) buckets() []limit.NamedBucket {
	var named []limit.NamedBucket
	for _, l := range r.scenario.Loads {
		named = append(named, limit.NamedBucket{Workspace: l.Workspace, Bucket: l.Bucket})
	}
	return named
}

func (r *simulation) admit(q *request) {
	if q.answered {
		return
	}
	q.answered = true
	out := &r.outcomes[q.load]
	out.Admitted++
	out.waits = append(out.waits, r.now.Sub(q.at))
	out.Excess = max(out.Excess, out.used.TakeOverdraft(r.now))
}

func (r *simulation) refuse(q *request) {
	if q.answered {
		return
	}
	q.answered = true
	r.outcomes[q.load].LastRefusal = r.now.Sub(r.start)
}

func (r *simulation) send(run func()) {
	r.report.Messages++
	r.after(r.scenario.LinkDelay, run)
}

func (r *simulation) summarize() {
	for i := range r.outcomes {
		out := &r.outcomes[i]
		slices.Sort(out.waits)
		if n := len(out.waits); n > 0 {
			out.MedianWait, out.MaxWait = out.waits[n/2], out.waits[n-1]
		}
	}
	r.report.Outcomes = r.outcomes
}
