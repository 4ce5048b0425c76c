package deployment

import "time"

// Impairment reduces the slots of one service to the share Slots and multiplies its service time by Slowdown.
type Impairment struct {
	Service   string
	SlotShare float64
	Slowdown  float64
}

// SlotHoldTime returns how long a request holds a slot of service, including nested calls, or 0 if the
// service is unknown.
func (d Deployment) SlotHoldTime(service string, impaired ...Impairment) time.Duration {
	found, known := d.Service(service)
	if !known {
		return 0
	}
	held := time.Duration(float64(found.Work) * impairmentOf(service, impaired).Slowdown)
	for _, call := range found.Calls {
		held += d.SlotHoldTime(call.Service, impaired...)
	}
	return held
}

// Capacity returns the maximum rate of root requests per second, in the mix of the routes, that the services can
// answer.
func (d Deployment) Capacity() float64 {
	capacity := 0.0
	for i, service := range d.Services {
		if load := d.slotSecondsPerRequest(service.Name, nil); load > 0 {
			if most := d.availableSlots(i, nil) / load; capacity == 0 || most < capacity {
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

// slotSecondsPerRequest returns the mean slot-seconds of service that one root request of the mix takes.
func (d Deployment) slotSecondsPerRequest(service string, impaired []Impairment) float64 {
	load := 0.0
	for _, route := range d.Routes {
		load += route.Weight / d.totalWeight() * d.slotSeconds(route, service, impaired)
	}
	return load
}

// slotSeconds returns the slot-seconds of service that one root request of route takes.
func (d Deployment) slotSeconds(route Route, service string, impaired []Impairment) float64 {
	return float64(d.callCount(route.Service, service)) * d.SlotHoldTime(service, impaired...).Seconds()
}

// callCount returns how many requests reach service for one request to from, including that request.
func (d Deployment) callCount(from, service string) int {
	if from == service {
		return 1
	}
	found, known := d.Service(from)
	if !known {
		return 0
	}
	visits := 0
	for _, call := range found.Calls {
		visits += d.callCount(call.Service, service)
	}
	return visits
}

func (d Deployment) availableSlots(index int, impaired []Impairment) float64 {
	sum := 0
	for _, slots := range d.Services[index].Slots {
		sum += slots
	}
	return float64(sum) * impairmentOf(d.Services[index].Name, impaired).SlotShare
}

func (d Deployment) totalWeight() float64 {
	sum := 0.0
	for _, route := range d.Routes {
		sum += route.Weight
	}
	return sum
}

func impairmentOf(service string, impaired []Impairment) Impairment {
	for _, i := range impaired {
		if i.Service == service {
			return i
		}
	}
	return Impairment{Service: service, SlotShare: 1, Slowdown: 1}
}

// SlotsLeft returns the share of the slots that is left on the targets for which up, given their index, returns
// true.
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
