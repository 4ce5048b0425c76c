package priority

import "time"

const routesMaximum = 256

// serviceTimes tracks the service time of each route; routes beyond the bound share one.
type serviceTimes struct {
	routes map[string]*serviceTime
}

func newServiceTimes() serviceTimes {
	return serviceTimes{routes: make(map[string]*serviceTime)}
}

func (s *serviceTimes) observe(now time.Time, route string, latency time.Duration) {
	s.of(route).observe(now, latency)
}

// expected returns what a run of route is expected to take, or 0 where none has been seen.
func (s *serviceTimes) expected(now time.Time, route string) time.Duration {
	return s.of(route).expected(now)
}

// meets reports whether a run that starts at now is expected to end within the deadline.
func (s *serviceTimes) meets(now time.Time, r *Request) bool {
	return r.Deadline.IsZero() || !now.Add(s.expected(now, r.Route)).After(r.Deadline)
}

func (s *serviceTimes) of(route string) *serviceTime {
	if t, known := s.routes[route]; known {
		return t
	}
	if len(s.routes) >= routesMaximum {
		route = ""
	}
	t := s.routes[route]
	if t == nil {
		t = &serviceTime{}
		s.routes[route] = t
	}
	return t
}
