package priority

import "slices"

const keptLanes = 256

// class holds the waiting requests of one priority and serves their workspaces by start-time fair
// queueing.
type class struct {
	priority int
	virtual  float64
	lanes    map[string]*lane
	active   []*lane // lanes with waiting requests
	waiting  int
}

func newClass(priority int) *class {
	return &class{priority: priority, lanes: make(map[string]*lane)}
}

func (c *class) push(w *waiter) {
	l := c.lane(w.request.Workspace)
	l.share = max(w.request.Share, minimumShare)
	if l.waiting == 0 {
		l.tag = max(l.tag, c.virtual)
		c.active = append(c.active, l)
	}
	l.push(w)
	c.waiting++
}

func (c *class) remove(w *waiter) {
	l := w.lane
	l.remove(w)
	c.waiting--
	if l.waiting == 0 {
		c.active = slices.DeleteFunc(c.active, func(other *lane) bool { return other == l })
	}
}

// next returns the waiter to dispatch: of the lane that is furthest behind its share, its newest or its
// oldest.
func (c *class) next(newestFirst bool) *waiter {
	l := slices.MinFunc(c.active, func(a, b *lane) int { return compare(a.tag, b.tag) })
	if newestFirst {
		return l.newest
	}
	return l.oldest
}

// charge accounts one dispatch to the waiter's workspace.
func (c *class) charge(l *lane) {
	c.virtual = max(c.virtual, l.tag)
	l.tag += 1 / l.share
}

// victim returns the waiter to shed: the oldest of the lane whose backlog is largest for its share.
func (c *class) victim() *waiter {
	l := slices.MaxFunc(c.active, func(a, b *lane) int { return compare(a.backlog(), b.backlog()) })
	return l.oldest
}

func (c *class) lane(workspace string) *lane {
	if l, known := c.lanes[workspace]; known {
		return l
	}
	if len(c.lanes) >= keptLanes {
		c.forgetIdle()
	}
	l := &lane{workspace: workspace, tag: c.virtual}
	c.lanes[workspace] = l
	return l
}

// forgetIdle drops the lanes that hold nothing and owe nothing.
func (c *class) forgetIdle() {
	for workspace, l := range c.lanes {
		if l.waiting == 0 && l.tag <= c.virtual {
			delete(c.lanes, workspace)
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
