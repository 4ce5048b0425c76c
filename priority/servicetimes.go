package priority

import "time"

const maxRoutes = 256

// serviceTimes estimates the service time of each route. Routes beyond maxRoutes share one estimate.
type serviceTimes struct {
	routes map[string]*serviceTime
}

func newServiceTimes() serviceTimes {
	return serviceTimes{routes: make(map[string]*serviceTime)}
}

func (s *serviceTimes) observe(now time.Time, route string, latency time.Duration) {
	s.forRoute(route).observe(now, latency)
}

// expected returns the expected duration of a run of route, or 0 if no run has been observed.
func (s *serviceTimes) expected(now time.Time, route string) time.Duration {
	return s.forRoute(route).expected(now)
}

// meetsDeadline reports whether a run of r that starts at now is expected to end by the deadline of r.
func (s *serviceTimes) meetsDeadline(now time.Time, r *Request) bool {
	return r.Deadline.IsZero() || !now.Add(s.expected(now, r.Route)).After(r.Deadline)
}

func (s *serviceTimes) forRoute(route string) *serviceTime {
	if t, known := s.routes[route]; known {
		return t
	}
	if len(s.routes) >= maxRoutes {
		route = ""
	}
	t := s.routes[route]
	if t == nil {
		t = &serviceTime{}
		s.routes[route] = t
	}
	return t
}
