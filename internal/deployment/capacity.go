package deployment

import "time"

// An Impairment reduces what one service can do: the share of its slots that is left, and how many
// times as long its work takes.
type Impairment struct {
	Service  string
	Slots    float64
	Slowdown float64
}

// Held returns how long a request holds a slot of the service, deeper calls included.
func (d Deployment) Held(service string, impaired ...Impairment) time.Duration {
	found, known := d.Service(service)
	if !known {
		return 0
	}
	held := time.Duration(float64(found.Work) * impairment(service, impaired).Slowdown)
	for _, call := range found.Calls {
		held += d.Held(call.Service, impaired...)
	}
	return held
}

// Capacity returns how many whole requests a second, in the mix of the routes, the services can answer.
func (d Deployment) Capacity() float64 {
	capacity := 0.0
	for i, service := range d.Services {
		if load := d.load(service.Name, nil); load > 0 {
			if most := d.slots(i, nil) / load; capacity == 0 || most < capacity {
				capacity = most
			}
		}
	}
	return capacity
}

func (d Deployment) callerRoutes() []Route {
	var routes []Route
	for _, route := range d.Routes {
		if route.Weight > 0 {
			routes = append(routes, route)
		}
	}
	return routes
}

// load returns the seconds of slots of service that one request of the mix takes.
func (d Deployment) load(service string, impaired []Impairment) float64 {
	load := 0.0
	for _, route := range d.Routes {
		load += route.Weight / d.weight() * d.slotTime(route, service, impaired)
	}
	return load
}

// slotTime returns the seconds of slots of service that one request of route takes.
func (d Deployment) slotTime(route Route, service string, impaired []Impairment) float64 {
	return float64(d.visits(route.Service, service)) * d.Held(service, impaired...).Seconds()
}

// visits returns how often a request to from reaches service.
func (d Deployment) visits(from, service string) int {
	if from == service {
		return 1
	}
	found, known := d.Service(from)
	if !known {
		return 0
	}
	visits := 0
	for _, call := range found.Calls {
		visits += d.visits(call.Service, service)
	}
	return visits
}

func (d Deployment) slots(index int, impaired []Impairment) float64 {
	sum := 0
	for _, slots := range d.Services[index].Slots {
		sum += slots
	}
	return float64(sum) * impairment(d.Services[index].Name, impaired).Slots
}

func (d Deployment) weight() float64 {
	sum := 0.0
	for _, route := range d.Routes {
		sum += route.Weight
	}
	return sum
}

func impairment(service string, impaired []Impairment) Impairment {
	for _, i := range impaired {
		if i.Service == service {
			return i
		}
	}
	return Impairment{Service: service, Slots: 1, Slowdown: 1}
}

// SlotsLeft returns the share of the slots that the targets up have, by their number.
func (s Service) SlotsLeft(up func(target int) bool) float64 {
	sum, left := 0, 0
	for i, slots := range s.Slots {
		sum += slots
		if up(i) {
			left += slots
		}
	}
	return float64(left) / float64(sum)
}
