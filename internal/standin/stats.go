package standin

import (
	"time"
)

// State returns the readiness that the server announces.
func (s *Server) State() State {
	switch {
	case s.draining.Load():
		return Draining
	case s.coldStartRemaining(time.Now()) > 0:
		return Warming
	default:
		return Ready
	}
}

// Report returns the load that the server reports, which a Distortion may delay or falsify.
func (s *Server) Report() Load {
	connections := 0
	if listener := s.listener.Load(); listener != nil {
		connections = listener.Count()
	}
	load := Load{Slots: s.slots, InFlight: s.executor.inFlight(), Connections: connections}
	return s.reporter.report(time.Now(), load)
}

// Distort applies d to the load reports and the health endpoint.
func (s *Server) Distort(d Distortion) {
	s.reporter.distort(d)
}

// Slow multiplies the duration of all work by factor.
func (s *Server) Slow(factor float64) {
	s.executor.setSlowdown(factor)
}

// Heal restores the normal duration of work.
func (s *Server) Heal() {
	s.executor.setSlowdown(1)
}

// Drain makes Run announce the draining state, finish the requests in flight and return.
func (s *Server) Drain() {
	signal(s.drainRequested)
}

// Crash resets all connections and stops the server for its downtime, or calls the function set by WithCrash.
func (s *Server) Crash() {
	s.crashes.Add(1)
	if s.onCrash != nil {
		s.onCrash()
		return
	}
	signal(s.crashed)
}

// Runs returns the number of requests that ran with the given idempotency key.
func (s *Server) Runs(idempotencyKey string) int {
	return s.runs.count(idempotencyKey)
}

// EachRun calls visit for each idempotency key with the number of requests that ran with it.
func (s *Server) EachRun(visit func(idempotencyKey string, count int)) {
	s.runs.each(visit)
}

// Stats returns the current counters of the server.
func (s *Server) Stats() Stats {
	return Stats{Finished: s.finished.Load(), Late: s.late.Load(), Crashes: s.crashes.Load(), InFlight: s.executor.inFlight()}
}

// Stats holds the counters of a Server, where Late counts the requests received while draining.
type Stats struct {
	Finished int64 `json:"finished"`
	Late     int64 `json:"late"`
	Crashes  int64 `json:"crashes"`
	InFlight int   `json:"in-flight"`
}

// coldStartRemaining returns the remaining fraction of the cold start, from 1 at startup to 0 at its end.
func (s *Server) coldStartRemaining(now time.Time) float64 {
	if s.coldStart <= 0 {
		return 0
	}
	uptime := now.Sub(time.Unix(0, s.startedAt.Load()))
	return max(1-float64(uptime)/float64(s.coldStart), 0)
}

// signal sends to c without blocking and does nothing if its buffer is full.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
