package priority

import "slices"

// flowsBeforePruning is the number of flows from which on idle flows are removed before a new one is added.
const flowsBeforePruning = 256

// class holds the waiting requests of one order of dispatch and dispatches them across workspaces by start-time fair
// queueing.
type class struct {
	order       int
	virtualTime float64
	flows       map[string]*flow
	active      []*flow // flows with waiting requests
	waiting     int
}

func newClass(order int) *class {
	return &class{order: order, flows: make(map[string]*flow)}
}

func (c *class) push(w *waiter) {
	f := c.flowFor(w.request.Workspace)
	f.share = max(w.request.Share, minShare)
	if f.waiting == 0 {
		f.startTag = max(f.startTag, c.virtualTime)
		c.active = append(c.active, f)
	}
	f.push(w)
	c.waiting++
}

func (c *class) remove(w *waiter) {
	f := w.flow
	f.remove(w)
	c.waiting--
	if f.waiting == 0 {
		c.active = slices.DeleteFunc(c.active, func(other *flow) bool { return other == f })
	}
}

// next returns the waiter to dispatch: the newest or oldest of the flow with the lowest start tag.
func (c *class) next(newestFirst bool) *waiter {
	f := slices.MinFunc(c.active, func(a, b *flow) int { return compare(a.startTag, b.startTag) })
	if newestFirst {
		return f.newest
	}
	return f.oldest
}

// charge accounts for one dispatch of f: it advances the virtual time to the flow's start tag and the start
// tag by the inverse of the flow's share.
func (c *class) charge(f *flow) {
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += 1 / f.share
}

// victim returns the waiter to shed: the oldest of the flow with the largest backlog relative to its share.
func (c *class) victim() *waiter {
	f := slices.MaxFunc(c.active, func(a, b *flow) int { return compare(a.backlog(), b.backlog()) })
	return f.oldest
}

func (c *class) flowFor(workspace string) *flow {
	if f, known := c.flows[workspace]; known {
		return f
	}
	if len(c.flows) >= flowsBeforePruning {
		c.pruneIdle()
	}
	f := &flow{workspace: workspace, startTag: c.virtualTime}
	c.flows[workspace] = f
	return f
}

// pruneIdle removes flows without waiting requests whose start tag is not ahead of the virtual time.
func (c *class) pruneIdle() {
	for workspace, f := range c.flows {
		if f.waiting == 0 && f.startTag <= c.virtualTime {
			delete(c.flows, workspace)
		}
	}
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
