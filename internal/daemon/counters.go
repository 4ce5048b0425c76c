package daemon

import (
	"expvar"

	"sapphirespread.example/refusal"
)

// counters holds the counters of requests, retries, crashes and refusals that the metrics publish.
type counters struct {
	vars           *expvar.Map
	requests       *expvar.Int
	nestedCalls    *expvar.Int
	answered       *expvar.Int
	retries        *expvar.Int
	crashes        *expvar.Int
	droppedReports *expvar.Int
	outOfUse       *expvar.Int
	refused        *expvar.Map
	clients        *expvar.Map // by port
}

func newCounters() *counters {
	c := &counters{
		vars:           new(expvar.Map).Init(),
		requests:       new(expvar.Int),
		nestedCalls:    new(expvar.Int),
		answered:       new(expvar.Int),
		retries:        new(expvar.Int),
		crashes:        new(expvar.Int),
		droppedReports: new(expvar.Int),
		outOfUse:       new(expvar.Int),
		refused:        new(expvar.Map).Init(),
		clients:        new(expvar.Map).Init(),
	}
	c.vars.Set("requests", c.requests)
	c.vars.Set("sub-calls", c.nestedCalls)
	c.vars.Set("answered", c.answered)
	c.vars.Set("retries", c.retries)
	c.vars.Set("backend-server-crashes", c.crashes)
	c.vars.Set("reports-dropped", c.droppedReports)
	c.vars.Set("out-of-use-refused", c.outOfUse)
	c.vars.Set("refused", c.refused)
	c.vars.Set("clients", c.clients)
	return c
}

func (c *counters) countRefusal(kind refusal.Kind) {
	c.refused.Add(string(kind), 1)
}
