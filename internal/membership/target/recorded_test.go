package target_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/trace"
)

const (
	silenceBound     = 3 * time.Second // a target silent for longer gets no calls, unless its latency is high
	silenceLatencies = 4
	removalBound     = 4 * time.Second // 3 s heartbeat timeout of the registry, and 1 s until all daemons have the delta
)

// TestRecorded replays recorded choices of daemons under load and compares each choice. A choiceChecker checks the
// rules for choices separately, from the calls and choices alone, so that -rewrite can't accept a violation.
func TestRecorded(t *testing.T) {
	datadriven.Walk(t, "testdata/recorded", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			steps, err := trace.Parse[trace.TargetStep](d.Input)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			checker := choiceChecker{t: t, targets: make(map[string]*observedTarget)}
			var domain, at string
			d.ScanArgs(t, "daemon", &checker.daemon)
			d.ScanArgs(t, "failure-domain", &domain)
			if d.MaybeScanArgs(t, "killed", &checker.killed) {
				d.ScanArgs(t, "at", &at)
				checker.killedAt = parseDuration(t, at)
			}
			replay := trace.ReplayTargets(start, domain, checker.daemon, steps)
			for _, step := range replay {
				checker.handle(step)
			}
			return trace.Outcomes(replay)
		})
	})
}

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// observedTarget is the state of a target derived from the recorded calls alone.
type observedTarget struct {
	announced    trace.TargetChange
	drained      bool
	pending      int // calls in flight
	lastActivity time.Duration
	maxLatency   time.Duration
}

// choiceChecker checks the recorded choices of one daemon.
type choiceChecker struct {
	t                 *testing.T
	daemon, killed    string
	killedAt          time.Duration
	killedIncarnation uint64
	targets           map[string]*observedTarget
}

func (c *choiceChecker) handle(step trace.TargetStep) {
	c.recordVictim(step)
	seen := c.targets[step.Name]
	switch {
	case step.Call == trace.Apply && step.Err == nil:
		c.apply(step)
	case step.Call == trace.Choose && step.Found:
		c.checkChoice(step)
	case seen == nil:
	case step.Call == trace.Sent:
		if seen.pending++; seen.pending == 1 {
			seen.lastActivity = step.At
		}
	case step.Call == trace.RecordHeartbeat:
		seen.lastActivity = step.At
	case step.Call == trace.Answered:
		seen.pending = max(0, seen.pending-1)
		seen.drained = seen.drained || step.Observation.Draining
		seen.maxLatency = max(seen.maxLatency, step.Observation.Latency)
		if step.Observation.Kind != target.Unreachable {
			seen.lastActivity = step.At
		}
	}
}

// recordVictim records the incarnation of the target that is about to be killed.
func (c *choiceChecker) recordVictim(step trace.TargetStep) {
	if seen := c.targets[c.killed]; seen != nil && step.At < c.killedAt {
		c.killedIncarnation = seen.announced.Incarnation
	}
}

func (c *choiceChecker) apply(step trace.TargetStep) {
	listed := make(map[string]bool)
	for _, change := range step.Changes {
		name := change.Name
		seen := c.targets[name]
		listed[name] = !change.Removed
		switch {
		case change.Removed:
			delete(c.targets, name)
		case seen == nil || seen.announced.Incarnation < change.Incarnation:
			c.targets[name] = &observedTarget{announced: change, drained: change.State == target.Draining}
		case seen.announced.Incarnation == change.Incarnation:
			seen.announced = change
			seen.drained = seen.drained || change.State == target.Draining
		}
	}
	for name := range c.targets {
		if step.Whole && !listed[name] {
			delete(c.targets, name)
		}
	}
}

// checkChoice reports an error for a choice of a killed, unknown, draining, excluded or silent target.
func (c *choiceChecker) checkChoice(step trace.TargetStep) {
	chosen := step.Choice.Target
	if chosen.Name == c.killed && chosen.Incarnation == c.killedIncarnation && step.At > c.killedAt+removalBound {
		c.t.Errorf("%s: chose %s, which was killed at %s", step.At, chosen.Name, c.killedAt)
	}
	seen := c.targets[chosen.Name]
	if seen == nil || seen.announced.Service != step.Service || seen.announced.Incarnation != chosen.Incarnation {
		c.t.Errorf("%s: %s is not an announced target of %s", step.At, chosen.Name, step.Service)
		return
	}
	if seen.drained {
		c.t.Errorf("%s: chose %s, which is draining", step.At, chosen.Name)
	}
	if slices.Contains(step.Exclude, chosen.Name) {
		c.t.Errorf("%s: chose %s, which is excluded", step.At, chosen.Name)
	}
	silent := step.At - seen.lastActivity
	if seen.pending > 0 && chosen.Daemon != c.daemon && silent > max(silenceBound, silenceLatencies*seen.maxLatency) {
		c.t.Errorf("%s: chose %s, which has pending calls and was silent for %s", step.At, chosen.Name, silent)
	}
}
