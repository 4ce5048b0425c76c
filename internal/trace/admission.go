package trace

import (
	"slices"
	"time"

	"sapphirespread.example/priority"
)

// An Admission records the calls of a priority.Admission; its caller holds one lock around all of them.
type Admission struct {
	*priority.Admission
	start  time.Time
	stream *Stream[AdmissionStep]
	level  priority.Level
}

// ReplayAdmission repeats steps at a new admission and returns them with its verdicts.
func ReplayAdmission(start time.Time, steps []AdmissionStep) []AdmissionStep {
	a := &Admission{Admission: priority.NewAdmission(), start: start, stream: newStream[AdmissionStep](len(steps))}
	for _, step := range steps {
		step.take(a)
	}
	return a.stream.Steps()
}

// Offer records the offer of a request.
func (a *Admission) Offer(now time.Time, r priority.Request) []priority.Verdict {
	verdicts := a.Admission.Offer(now, r)
	a.stream.add(AdmissionStep{
		At: now.Sub(a.start), Call: Offer, ID: r.ID, WholeHash: r.RootHash, Priority: r.Priority, Workspace: r.Workspace,
		Route: r.Route, Share: r.Share, Shed: r.Shed, Nested: r.Nested, Deadline: offset(a.start, r.Deadline), Verdicts: verdicts,
	})
	return verdicts
}

// Done records the end of a request.
func (a *Admission) Done(now time.Time, id uint64, result priority.Result) []priority.Verdict {
	verdicts := a.Admission.Done(now, id, result)
	a.stream.add(AdmissionStep{
		At: now.Sub(a.start), Call: Done, ID: id, Latency: result.Latency, Failed: result.Failed, Verdicts: verdicts,
	})
	return verdicts
}

// Cancel records that the caller of a request left.
func (a *Admission) Cancel(now time.Time, id uint64) []priority.Verdict {
	verdicts := a.Admission.Cancel(now, id)
	a.stream.add(AdmissionStep{At: now.Sub(a.start), Call: Cancel, ID: id, Verdicts: verdicts})
	return verdicts
}

// Tick records a tick.
func (a *Admission) Tick(now time.Time) []priority.Verdict {
	verdicts := a.Admission.Tick(now)
	a.stream.add(AdmissionStep{At: now.Sub(a.start), Call: Tick, Verdicts: verdicts})
	return verdicts
}

// Announce records the announced slots.
func (a *Admission) Announce(now time.Time, slots int) {
	a.Admission.Announce(now, slots)
	a.stream.add(AdmissionStep{At: now.Sub(a.start), Call: Announce, Slots: slots})
}

// Level records the level where it has changed.
func (a *Admission) Level(now time.Time) priority.Level {
	level := a.Admission.Level(now)
	if level.Priority != a.level.Priority || level.Share != a.level.Share || !slices.Equal(level.Workspaces, a.level.Workspaces) {
		a.recordLevel(now, level)
	}
	return level
}

func (a *Admission) recordLevel(now time.Time, level priority.Level) {
	a.level = level
	a.stream.add(AdmissionStep{At: now.Sub(a.start), Call: Level, Level: level})
}
