package trace

import (
	"slices"
	"time"

	"sapphirespread.example/priority"
)

// An Admission records the calls to a priority.Admission. It has no lock: callers must serialize all calls.
type Admission struct {
	*priority.Admission
	start  time.Time
	stream *Stream[AdmissionStep]
	level  priority.Level
}

// ReplayAdmission replays steps against a new priority.Admission and returns them with the resulting verdicts.
func ReplayAdmission(start time.Time, steps []AdmissionStep) []AdmissionStep {
	a := &Admission{Admission: priority.NewAdmission(), start: start, stream: newStream[AdmissionStep](len(steps))}
	for _, step := range steps {
		step.replay(a)
	}
	return a.stream.Steps()
}

// Offer offers a request for admission and records the call.
func (a *Admission) Offer(now time.Time, r priority.Request) []priority.Verdict {
	verdicts := a.Admission.Offer(now, r)
	a.stream.add(AdmissionStep{
		At: now.Sub(a.start), Call: Offer, ID: r.ID, RootHash: r.RootHash, Priority: r.Priority, Workspace: r.Workspace,
		Route: r.Route, Share: r.Share, Shed: r.Shed, Nested: r.Nested, Deadline: offset(a.start, r.Deadline), Verdicts: verdicts,
	})
	return verdicts
}

// Done reports the end of a request and records the call.
func (a *Admission) Done(now time.Time, id uint64, result priority.Result) []priority.Verdict {
	verdicts := a.Admission.Done(now, id, result)
	a.stream.add(AdmissionStep{
		At: now.Sub(a.start), Call: Done, ID: id, Latency: result.Latency, Failed: result.Failed, Verdicts: verdicts,
	})
	return verdicts
}

// Cancel cancels a request whose caller is gone and records the call.
func (a *Admission) Cancel(now time.Time, id uint64) []priority.Verdict {
	verdicts := a.Admission.Cancel(now, id)
	a.stream.add(AdmissionStep{At: now.Sub(a.start), Call: Cancel, ID: id, Verdicts: verdicts})
	return verdicts
}

// Tick refuses the waiting requests that can no longer be served in time and records the call.
func (a *Admission) Tick(now time.Time) []priority.Verdict {
	verdicts := a.Admission.Tick(now)
	a.stream.add(AdmissionStep{At: now.Sub(a.start), Call: Tick, Verdicts: verdicts})
	return verdicts
}

// Announce sets the slots of the backend server and records the call.
func (a *Admission) Announce(now time.Time, slots int) {
	a.Admission.Announce(now, slots)
	a.stream.add(AdmissionStep{At: now.Sub(a.start), Call: Announce, Slots: slots})
}

// Level returns the shed level and records the call if the level differs from the last recorded one.
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
