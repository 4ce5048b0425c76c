package pace_test

import (
	"time"

	"sapphirespread.example/internal/admission/pace"
	"sapphirespread.example/priority"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	step        = time.Millisecond
	callerDelay = 300 * time.Millisecond // until all callers know a share
	coldRate    = 17.0
	coldStart   = 3 * time.Second
)

// fakeServer is a backend server that starts at time 0, behind an admission. Callers send it a part of the usual requests.
type fakeServer struct {
	usual    float64 // requests per second
	service  time.Duration
	slots    int
	knee     int                                                    // requests at a time beyond which the latency grows in proportion, 0 for none
	coldFor  time.Duration                                          // for which runs take twice as long
	tellsIt  bool                                                   // announcements say that it is cold
	failing  func(at time.Duration) bool                            // whether runs fail
	below    func(at time.Duration) (priority.Cause, time.Duration) // how nested calls of a run that ends now ended, and their time
	varies   func() float64                                         // multiplies the latency of a run, nil for none
	weight   func(at time.Duration) float64                         // part of the usual requests that callers send, for a server without a pacer
	pacer    *pace.Pacer                                            // nil for none
	shares   map[time.Duration]float64                              // the part that the pacer asked for, by time
	running  map[uint64]fakeRun
	starts   []time.Duration
	finished []time.Duration // times at which runs succeeded
	refused  int
}

type fakeRun struct {
	endsAt, startedAt time.Duration
}

// run offers requests for duration and announces the server each second.
func (s *fakeServer) run(duration time.Duration) {
	options := []priority.AdmissionOption{priority.WithSlots(s.slots)}
	if s.pacer != nil {
		options = append(options, priority.WithGate(s.pacer))
	}
	admission := priority.NewAdmission(options...)
	s.running, s.shares = make(map[uint64]fakeRun), make(map[time.Duration]float64)
	owed, id := 0.0, uint64(0)
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		if at%time.Second == 0 {
			s.announce(now, at)
		}
		for run, state := range s.running {
			if state.endsAt <= at {
				delete(s.running, run)
				s.apply(at, admission.Done(now, run, s.result(at, state)))
			}
		}
		for owed += s.usual * s.part(at) * step.Seconds(); owed >= 1; owed-- {
			id++
			s.apply(at, admission.Offer(now, priority.Request{ID: id, RootHash: id, Route: "r", Share: 1, Deadline: now.Add(2 * time.Second), Objective: time.Second}))
		}
		if at%(10*step) == 0 {
			s.apply(at, admission.Tick(now))
		}
	}
}

func (s *fakeServer) announce(now time.Time, at time.Duration) {
	if s.pacer == nil {
		return
	}
	word := pace.Word{New: at == 0, Slots: s.slots}
	if s.tellsIt {
		word.ColdLeft = max(0, s.coldFor-at)
	}
	s.pacer.Hear(now, word)
}

// part returns the part of the usual requests that callers send.
func (s *fakeServer) part(at time.Duration) float64 {
	if s.pacer == nil {
		return s.weight(at)
	}
	s.shares[at] = float64(s.pacer.Share()) / pace.FullShare
	return s.shares[max(0, at-callerDelay)]
}

func (s *fakeServer) result(at time.Duration, run fakeRun) priority.Result {
	if s.failing != nil && s.failing(at) {
		return priority.Result{Latency: at - run.startedAt, Failed: true, Cause: priority.CauseBroken}
	}
	s.finished = append(s.finished, at)
	if s.below != nil {
		cause, nested := s.below(run.startedAt)
		return priority.Result{Latency: at - run.startedAt + nested, Nested: nested, Cause: cause, Failed: cause != priority.CauseNone}
	}
	return priority.Result{Latency: at - run.startedAt}
}

func (s *fakeServer) apply(at time.Duration, verdicts []priority.Verdict) {
	for _, v := range verdicts {
		if !v.Admitted {
			s.refused++
			continue
		}
		s.starts = append(s.starts, at)
		s.running[v.ID] = fakeRun{at + s.latency(at), at}
	}
}

// latency returns how long a run that starts now takes.
func (s *fakeServer) latency(at time.Duration) time.Duration {
	latency := s.service
	if at < s.coldFor {
		latency *= 2
	}
	if s.varies != nil {
		latency = time.Duration(float64(latency) * s.varies())
	}
	if s.failing != nil && s.failing(at) {
		return time.Millisecond
	}
	if running := len(s.running) + 1; s.knee > 0 && running > s.knee {
		latency = latency * time.Duration(running) / time.Duration(s.knee)
	}
	return latency
}

// countIn returns how many of times lie in the span of length from from on.
func countIn(times []time.Duration, from, length time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from && t < from+length {
			n++
		}
	}
	return n
}

// mostInASecond returns the largest number of times in any second that begins in the span from from to until.
func mostInASecond(times []time.Duration, from, until time.Duration) int {
	most := 0
	for _, t := range times {
		if t >= from && t < until {
			most = max(most, countIn(times, t, min(time.Second, until-t)))
		}
	}
	return most
}
