package standin

import (
	"time"
)

// State returns the readiness that the server announces.
func (s *Server) State() State {
	switch {
	case s.draining.Load():
		return Draining
	case s.coldness(time.Now()) > 0:
		return Warming
	default:
		return Ready
	}
}

// Report returns the load that the server reports, which may lag or mislead.
func (s *Server) Report() Load {
	connections := 0
	if listener := s.listener.Load(); listener != nil {
		connections = listener.Count()
	}
	load := Load{Slots: s.slots, InFlight: s.executor.held(), Connections: connections}
	return s.reporter.report(time.Now(), load)
}

// Distort makes the reports and the health endpoint lag or mislead.
func (s *Server) Distort(d Distortion) {
	s.reporter.distort(d)
}

// Slow makes all work take factor times as long.
func (s *Server) Slow(factor float64) {
	s.executor.slow(factor)
}

// Heal makes work take its normal time again.
func (s *Server) Heal() {
	s.executor.slow(1)
}

// Drain makes Run announce the drain, finish what is in flight and return.
func (s *Server) Drain() {
	signal(s.drainAsked)
}

// Crash resets all connections at once and takes the server down for a while.
func (s *Server) Crash() {
	s.crashes.Add(1)
	if s.onCrash != nil {
		s.onCrash()
		return
	}
	signal(s.crashed)
}

// Runs returns how many requests with that idempotency key were run.
func (s *Server) Runs(idempotencyKey string) int {
	return s.runs.count(idempotencyKey)
}

// EachRun calls visit with each idempotency key seen and how many requests with it were run.
func (s *Server) EachRun(visit func(idempotencyKey string, count int)) {
	s.runs.each(visit)
}

// Stats returns counters of the server.
func (s *Server) Stats() Stats {
	return Stats{Finished: s.finished.Load(), Late: s.late.Load(), Crashes: s.crashes.Load(), InFlight: s.executor.held()}
}

// Stats are counters of a Server.
type Stats struct {
	Finished int64 `json:"finished"`
	Late     int64 `json:"late"`
	Crashes  int64 `json:"crashes"`
	InFlight int   `json:"in-flight"`
}

// coldness falls from one to zero over the cold start.
func (s *Server) coldness(now time.Time) float64 {
	if s.coldStart <= 0 {
		return 0
	}
	age := now.Sub(time.Unix(0, s.started.Load()))
	return max(1-float64(age)/float64(s.coldStart), 0)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
