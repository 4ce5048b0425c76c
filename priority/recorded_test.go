package priority_test

import (
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/trace"
	"sapphirespread.example/priority"
)

// TestRecorded replays admission traces recorded by daemons under load and compares each verdict. The stated
// guarantees are checked separately from the requests and verdicts alone, so that -rewrite can't hide a
// violation.
func TestRecorded(t *testing.T) {
	datadriven.Walk(t, "testdata/recorded", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			steps, err := trace.Parse[trace.AdmissionStep](d.Input)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			replayed := trace.ReplayAdmission(start, steps)
			newRecordedChecker(t, steps).checkSteps(replayed)
			return trace.Outcomes(replayed)
		})
	})
}

const rounding = 1e-9

// flowKey identifies the requests of one workspace at one priority.
type flowKey struct {
	priority  int
	workspace string
}

// pairKey identifies two workspaces with waiting requests at the same priority.
type pairKey struct{ a, b flowKey }

// leadRange is the current, lowest and highest lead of one workspace over another, in dispatched requests
// divided by the share.
type leadRange struct{ current, low, high float64 }

// recordedChecker tracks the waiting requests from the recorded inputs and verdicts alone, and checks the
// guarantees.
type recordedChecker struct {
	t          *testing.T
	longestRun map[string]time.Duration // by route, over the whole trace
	undecided  map[uint64]trace.AdmissionStep
	waiting    map[uint64]trace.AdmissionStep
	backlog    map[flowKey]int
	leads      map[pairKey]leadRange
}

func newRecordedChecker(t *testing.T, steps []trace.AdmissionStep) *recordedChecker {
	c := &recordedChecker{
		t: t, longestRun: make(map[string]time.Duration), undecided: make(map[uint64]trace.AdmissionStep),
		waiting: make(map[uint64]trace.AdmissionStep), backlog: make(map[flowKey]int), leads: make(map[pairKey]leadRange),
	}
	routes := make(map[uint64]string)
	for _, step := range steps {
		switch {
		case step.Call == trace.Offer:
			routes[step.ID] = step.Route
		case step.Call == trace.Done && !step.Failed:
			c.longestRun[routes[step.ID]] = max(c.longestRun[routes[step.ID]], step.Latency)
		}
	}
	return c
}

func (c *recordedChecker) checkSteps(steps []trace.AdmissionStep) {
	for _, step := range steps {
		switch step.Call {
		case trace.Offer:
			c.undecided[step.ID] = step
			c.enqueue(step)
		case trace.Cancel:
			delete(c.undecided, step.ID)
			c.dequeue(step.ID)
		}
		for _, verdict := range step.Verdicts {
			c.checkVerdict(step, verdict)
		}
		for _, verdict := range step.Verdicts {
			if verdict.Admitted {
				c.checkOrder(step, verdict.ID)
			} else {
				c.checkRefusal(step, verdict.ID)
			}
		}
		for _, verdict := range step.Verdicts {
			delete(c.undecided, verdict.ID)
		}
	}
}

// checkVerdict checks that each request gets at most one verdict, and removes it from the waiting ones.
func (c *recordedChecker) checkVerdict(step trace.AdmissionStep, verdict priority.Verdict) {
	request, waits := c.waiting[verdict.ID]
	if !waits {
		c.t.Errorf("%s: second verdict on request %d, or verdict on an unknown request", step.At, verdict.ID)
		return
	}
	if verdict.Admitted {
		c.checkFairness(step, request)
	}
	c.dequeue(verdict.ID)
}

// couldMeet reports whether r would meet its deadline with the longest run time of its route.
func (c *recordedChecker) couldMeet(step, r trace.AdmissionStep) bool {
	return r.Deadline == 0 || step.At+c.longestRun[r.Route] <= r.Deadline
}

// checkOrder checks that no more important request that could meet its deadline waits when id is admitted.
func (c *recordedChecker) checkOrder(step trace.AdmissionStep, id uint64) {
	admitted := c.undecided[id]
	for _, other := range c.waiting {
		if other.Priority < admitted.Priority && c.couldMeet(step, other) {
			c.t.Errorf("%s: request %d of priority %d admitted while request %d of priority %d waits", step.At, id, admitted.Priority, other.ID, other.Priority)
		}
	}
}

// checkRefusal checks that a request that could meet its deadline is not refused while a less important one
// waits or is admitted in its place.
func (c *recordedChecker) checkRefusal(step trace.AdmissionStep, id uint64) {
	refused := c.undecided[id]
	if !c.couldMeet(step, refused) {
		return
	}
	for _, other := range c.waiting {
		if other.Priority > refused.Priority {
			c.t.Errorf("%s: request %d of priority %d refused while request %d of priority %d waits", step.At, id, refused.Priority, other.ID, other.Priority)
		}
	}
	for _, verdict := range step.Verdicts {
		if other := c.undecided[verdict.ID]; verdict.Admitted && other.Priority > refused.Priority {
			c.t.Errorf("%s: request %d of priority %d refused while request %d of priority %d is admitted", step.At, id, refused.Priority, other.ID, other.Priority)
		}
	}
}

func flowKeyOf(r trace.AdmissionStep) flowKey { return flowKey{r.Priority, r.Workspace} }

func (c *recordedChecker) enqueue(r trace.AdmissionStep) {
	c.waiting[r.ID] = r
	c.backlog[flowKeyOf(r)]++
}

func (c *recordedChecker) dequeue(id uint64) {
	r, waits := c.waiting[id]
	if !waits {
		return
	}
	delete(c.waiting, id)
	k := flowKeyOf(r)
	c.backlog[k]--
	if c.backlog[k] > 0 {
		return
	}
	delete(c.backlog, k)
	maps.DeleteFunc(c.leads, func(p pairKey, _ leadRange) bool { return p.a == k || p.b == k })
}

// checkFairness checks the bound of start-time fair queueing: while two workspaces both have waiting
// requests, neither gets ahead by more than one request of each.
func (c *recordedChecker) checkFairness(step, r trace.AdmissionStep) {
	shares := make(map[flowKey]float64)
	for _, other := range c.waiting {
		shares[flowKeyOf(other)] = other.Share
	}
	served := flowKeyOf(r)
	for other, share := range shares {
		if other.priority != served.priority || other == served {
			continue
		}
		pair, ahead := pairKey{served, other}, 1/r.Share
		if other.workspace < served.workspace {
			pair, ahead = pairKey{other, served}, -ahead
		}
		lead := c.leads[pair]
		lead.current += ahead
		lead.low, lead.high = min(lead.low, lead.current), max(lead.high, lead.current)
		c.leads[pair] = lead
		if lead.high-lead.low > 1/r.Share+1/share+rounding {
			c.t.Errorf("%s: %+v and %+v both have waiting requests, but one leads by %.3f", step.At, served, other, lead.high-lead.low)
		}
	}
}
