package tree

import "time"

// maxServices is the number of services of one call tree whose costs are kept.
const maxServices = 8

// A Cost is what one call costs at a service: the number of calls there, and the time that they hold slots, together.
type Cost struct {
	Service  string
	Calls    float64
	SlotTime time.Duration
}

// AddCosts adds more to costs service by service. Services beyond maxServices are left out.
func AddCosts(costs []Cost, more ...Cost) []Cost {
	for _, added := range more {
		if i := indexOf(costs, added.Service); i >= 0 {
			costs[i].Calls += added.Calls
			costs[i].SlotTime += added.SlotTime
		} else if len(costs) < maxServices {
			costs = append(costs, added)
		}
	}
	return costs
}

func indexOf(costs []Cost, service string) int {
	for i := range costs {
		if costs[i].Service == service {
			return i
		}
	}
	return -1
}
