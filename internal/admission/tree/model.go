package tree

import (
	"time"

	"sapphirespread.example/priority"
)

const (
	maxCallees = 256
	// costGain is the weight of one observation in the mean costs.
	costGain = 0.05
	// minNeededShare is the share of the complete trees that reach a service, from which on the service counts as
	// needed. A call that few trees make must not hold back the others.
	minNeededShare = 0.8
)

// A Model learns the mean cost of a call at each service that it reaches. The caller must serialize all calls with one
// lock.
type Model struct {
	callees map[priority.Callee]*calleeCosts
}

// calleeCosts holds the moving averages of one callee and the costs at the services that it needs.
type calleeCosts struct {
	averages []average
	needed   []Cost
}

// average holds the moving averages of the costs at one service, over all calls of the callee.
type average struct {
	service  string
	reached  float64 // share of the calls
	calls    float64
	slotTime float64 // in nanoseconds
}

// NewModel returns a Model without observations.
func NewModel() *Model {
	return &Model{callees: make(map[priority.Callee]*calleeCosts)}
}

// Observe records the costs of one call of callee that was answered well.
func (m *Model) Observe(callee priority.Callee, costs []Cost) {
	c := m.callees[callee]
	gain := costGain
	if c == nil {
		if len(m.callees) >= maxCallees {
			return
		}
		c = &calleeCosts{}
		m.callees[callee] = c
		gain = 1
	}
	for i := range c.averages {
		c.averages[i].add(costGain, costAt(costs, c.averages[i].service))
	}
	for _, cost := range costs {
		if !c.knows(cost.Service) && len(c.averages) < maxServices {
			added := average{service: cost.Service}
			added.add(gain, cost)
			c.averages = append(c.averages, added)
		}
	}
	c.updateNeeded()
}

// Expected returns the mean costs of a call of callee at the services that nearly all its calls reach, or nil for an
// unknown callee. The result is valid until the next call of Observe.
func (m *Model) Expected(callee priority.Callee) []Cost {
	if c := m.callees[callee]; c != nil {
		return c.needed
	}
	return nil
}

func costAt(costs []Cost, service string) Cost {
	if i := indexOf(costs, service); i >= 0 {
		return costs[i]
	}
	return Cost{}
}

func (c *calleeCosts) knows(service string) bool {
	for i := range c.averages {
		if c.averages[i].service == service {
			return true
		}
	}
	return false
}

func (c *calleeCosts) updateNeeded() {
	c.needed = c.needed[:0]
	for _, a := range c.averages {
		if a.reached >= minNeededShare {
			c.needed = append(c.needed, Cost{Service: a.service, Calls: a.calls, SlotTime: time.Duration(a.slotTime)})
		}
	}
}

func (a *average) add(gain float64, cost Cost) {
	reached := 0.0
	if cost.Calls > 0 {
		reached = 1
	}
	a.reached += gain * (reached - a.reached)
	a.calls += gain * (cost.Calls - a.calls)
	a.slotTime += gain * (float64(cost.SlotTime) - a.slotTime)
}
