package priority_test

import (
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/trace"
	"sapphirespread.example/priority"
)

// TestRecorded replays what daemons decided under load and compares each verdict. What is stated of them is
// judged apart from that, by the requests and verdicts alone, so that -rewrite does not pass a miss.
func TestRecorded(t *testing.T) {
	datadriven.Walk(t, "testdata/recorded", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			steps, err := trace.Parse[trace.AdmissionStep](d.Input)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			replayed := trace.ReplayAdmission(start, steps)
			newRecordedJudge(t, steps).judge(replayed)
			return trace.Outcomes(replayed)
		})
	})
}

const rounding = 1e-9

// flowKey is one workspace at one priority.
type flowKey struct {
	priority  int
	workspace string
}

// pairKey is two workspaces with waiting requests at one priority.
type pairKey struct{ a, b flowKey }

// spread is the lowest and highest lead of one workspace over another, in requests by share.
type spread struct{ now, low, high float64 }

// recordedJudge holds what waits and runs, by the inputs and verdicts alone.
type recordedJudge struct {
	t       *testing.T
	longest map[string]time.Duration // longest run of each route in the whole trace
	open    map[uint64]trace.AdmissionStep
	waiting map[uint64]trace.AdmissionStep
	backlog map[flowKey]int
	leads   map[pairKey]spread
}

func newRecordedJudge(t *testing.T, steps []trace.AdmissionStep) *recordedJudge {
	j := &recordedJudge{
		t: t, longest: make(map[string]time.Duration), open: make(map[uint64]trace.AdmissionStep),
		waiting: make(map[uint64]trace.AdmissionStep), backlog: make(map[flowKey]int), leads: make(map[pairKey]spread),
	}
	routes := make(map[uint64]string)
	for _, step := range steps {
		switch {
		case step.Call == trace.Offer:
			routes[step.ID] = step.Route
		case step.Call == trace.Done && !step.Failed:
			j.longest[routes[step.ID]] = max(j.longest[routes[step.ID]], step.Latency)
		}
	}
	return j
}

func (j *recordedJudge) judge(steps []trace.AdmissionStep) {
	for _, step := range steps {
		switch step.Call {
		case trace.Offer:
			j.open[step.ID] = step
			j.enqueue(step)
		case trace.Cancel:
			delete(j.open, step.ID)
			j.dequeue(step.ID)
		}
		for _, verdict := range step.Verdicts {
			j.take(step, verdict)
		}
		for _, verdict := range step.Verdicts {
			if verdict.Admitted {
				j.checkOrder(step, verdict.ID)
			} else {
				j.checkRefusal(step, verdict.ID)
			}
		}
		for _, verdict := range step.Verdicts {
			delete(j.open, verdict.ID)
		}
	}
}

// take takes a verdict in: each request gets one at most.
func (j *recordedJudge) take(step trace.AdmissionStep, verdict priority.Verdict) {
	request, waits := j.waiting[verdict.ID]
	if !waits {
		j.t.Errorf("%s: a second verdict on %d, or one for nothing", step.At, verdict.ID)
		return
	}
	if verdict.Admitted {
		j.serve(step, request)
	}
	j.dequeue(verdict.ID)
}

// couldMeet reports whether r would meet its deadline if it ran as long as any of its route did.
func (j *recordedJudge) couldMeet(step, r trace.AdmissionStep) bool {
	return r.Deadline == 0 || step.At+j.longest[r.Route] <= r.Deadline
}

// checkOrder reports a more important request that could meet its deadline and waits on.
func (j *recordedJudge) checkOrder(step trace.AdmissionStep, id uint64) {
	admitted := j.open[id]
	for _, other := range j.waiting {
		if other.Priority < admitted.Priority && j.couldMeet(step, other) {
			j.t.Errorf("%s: %d of priority %d admitted while %d of %d waits", step.At, id, admitted.Priority, other.ID, other.Priority)
		}
	}
}

// checkRefusal reports a request that could meet its deadline and was refused while a less important one
// waits or is admitted in its place.
func (j *recordedJudge) checkRefusal(step trace.AdmissionStep, id uint64) {
	refused := j.open[id]
	if !j.couldMeet(step, refused) {
		return
	}
	for _, other := range j.waiting {
		if other.Priority > refused.Priority {
			j.t.Errorf("%s: %d of priority %d refused while %d of %d waits", step.At, id, refused.Priority, other.ID, other.Priority)
		}
	}
	for _, verdict := range step.Verdicts {
		if other := j.open[verdict.ID]; verdict.Admitted && other.Priority > refused.Priority {
			j.t.Errorf("%s: %d of priority %d refused and %d of %d admitted", step.At, id, refused.Priority, other.ID, other.Priority)
		}
	}
}

func keyOf(r trace.AdmissionStep) flowKey { return flowKey{r.Priority, r.Workspace} }

func (j *recordedJudge) enqueue(r trace.AdmissionStep) {
	j.waiting[r.ID] = r
	j.backlog[keyOf(r)]++
}

func (j *recordedJudge) dequeue(id uint64) {
	r, waits := j.waiting[id]
	if !waits {
		return
	}
	delete(j.waiting, id)
	k := keyOf(r)
	j.backlog[k]--
	if j.backlog[k] > 0 {
		return
	}
	delete(j.backlog, k)
	maps.DeleteFunc(j.leads, func(p pairKey, _ spread) bool { return p.a == k || p.b == k })
}

// serve checks that of two workspaces that both have requests waiting all the while, neither gets further
// ahead than one request of each: the bound of start-time fair queueing.
func (j *recordedJudge) serve(step, r trace.AdmissionStep) {
	shares := make(map[flowKey]float64)
	for _, other := range j.waiting {
		shares[keyOf(other)] = other.Share
	}
	served := keyOf(r)
	for other, share := range shares {
		if other.priority != served.priority || other == served {
			continue
		}
		pair, ahead := pairKey{served, other}, 1/r.Share
		if other.workspace < served.workspace {
			pair, ahead = pairKey{other, served}, -ahead
		}
		lead := j.leads[pair]
		lead.now += ahead
		lead.low, lead.high = min(lead.low, lead.now), max(lead.high, lead.now)
		j.leads[pair] = lead
		if lead.high-lead.low > 1/r.Share+1/share+rounding {
			j.t.Errorf("%s: %+v and %+v both wait, and one is %.3f ahead", step.At, served, other, lead.high-lead.low)
		}
	}
}
