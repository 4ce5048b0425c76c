package trace

import (
	"slices"
	"time"

	"sapphirespread.example/quarantine"
)

// A Quarantine serializes and records the calls to a quarantine.List and a quarantine.InFlight.
type Quarantine struct {
	list         *quarantine.List
	inFlight     *quarantine.InFlight
	start        time.Time
	stream       *Stream[QuarantineStep]
	fingerprints ordinals[quarantine.Fingerprint]
	runs         ordinals[quarantine.Run]
}

// ordinals maps values to consecutive numbers from 1, in the order in which they are first assigned.
type ordinals[V comparable] map[V]uint64

// assign returns the number of value and assigns the next one to a new value.
func (o ordinals[V]) assign(value V) uint64 {
	if _, seen := o[value]; !seen {
		o[value] = uint64(len(o)) + 1
	}
	return o[value]
}

func newQuarantine(start time.Time, list *quarantine.List, inFlight *quarantine.InFlight, stream *Stream[QuarantineStep]) *Quarantine {
	return &Quarantine{
		list: list, inFlight: inFlight, start: start, stream: stream,
		fingerprints: make(ordinals[quarantine.Fingerprint]), runs: make(ordinals[quarantine.Run]),
	}
}

// ReplayQuarantine replays steps against a new list and a new set of runs in flight and returns them with the
// resulting outcomes.
func ReplayQuarantine(start time.Time, steps []QuarantineStep) []QuarantineStep {
	q := newQuarantine(start, quarantine.NewList(), quarantine.NewInFlight(), newStream[QuarantineStep](len(steps)))
	runs := make(map[uint64]quarantine.Run)
	for _, step := range steps {
		step.replay(q, runs)
	}
	return q.stream.Steps()
}

// Apply applies a delta to the list and records the call.
func (q *Quarantine) Apply(version uint64, full bool, entries []quarantine.Entry, cleared []quarantine.Fingerprint) {
	q.applyAt(time.Now(), version, full, entries, cleared)
}

func (q *Quarantine) applyAt(now time.Time, version uint64, full bool, entries []quarantine.Entry, cleared []quarantine.Fingerprint) {
	q.stream.recordCall(func() QuarantineStep {
		q.list.Apply(version, full, entries, cleared)
		step := QuarantineStep{At: now.Sub(q.start), Call: ApplyList, Version: version, Whole: full}
		for _, e := range entries {
			recorded := QuarantineEntry{Fingerprint: q.fingerprints.assign(e.Fingerprint), State: e.State, Until: offset(q.start, e.Until)}
			step.Entries = append(step.Entries, recorded)
		}
		for _, fp := range cleared {
			step.Cleared = append(step.Cleared, q.fingerprints.assign(fp))
		}
		return step
	})
}

// Reset sets the version of the list to 0 and records the call.
func (q *Quarantine) Reset() { q.resetAt(time.Now()) }

func (q *Quarantine) resetAt(now time.Time) {
	q.stream.recordCall(func() QuarantineStep {
		q.list.Reset()
		return QuarantineStep{At: now.Sub(q.start), Call: ResetList}
	})
}

// Version returns the version of the list. The call is not recorded.
func (q *Quarantine) Version() uint64 { return q.list.Version() }

// State returns the state of a fingerprint and records the call.
func (q *Quarantine) State(now time.Time, fp quarantine.Fingerprint) quarantine.State {
	return q.stream.recordCall(func() QuarantineStep {
		state := q.list.State(now, fp)
		return QuarantineStep{At: now.Sub(q.start), Call: LookupState, Fingerprint: q.fingerprints.assign(fp), State: state}
	}).State
}

// QuarantineLocally quarantines a fingerprint on this daemon until the given time and records the call.
func (q *Quarantine) QuarantineLocally(now time.Time, fp quarantine.Fingerprint, until time.Time) {
	q.stream.recordCall(func() QuarantineStep {
		q.list.QuarantineLocally(now, fp, until)
		return QuarantineStep{At: now.Sub(q.start), Call: QuarantineLocally, Fingerprint: q.fingerprints.assign(fp), Until: offset(q.start, until)}
	})
}

// Start registers a run of a request as in flight and records the call.
func (q *Quarantine) Start(fp quarantine.Fingerprint) quarantine.Run {
	return q.startAt(time.Now(), fp)
}

func (q *Quarantine) startAt(now time.Time, fp quarantine.Fingerprint) quarantine.Run {
	var run quarantine.Run
	q.stream.recordCall(func() QuarantineStep {
		run = q.inFlight.Start(fp)
		return QuarantineStep{At: now.Sub(q.start), Call: StartRun, Fingerprint: q.fingerprints.assign(fp), Run: q.runs.assign(run)}
	})
	return run
}

// End ends a run, returns false if the backend server crashed during it, and records the call.
func (q *Quarantine) End(run quarantine.Run) bool { return q.endAt(time.Now(), run) }

func (q *Quarantine) endAt(now time.Time, run quarantine.Run) bool {
	return q.stream.recordCall(func() QuarantineStep {
		return QuarantineStep{At: now.Sub(q.start), Call: EndRun, Run: q.runs.assign(run), Survived: q.inFlight.End(run)}
	}).Survived
}

// Crash returns the fingerprints in flight at a crash, removes them, and records the call.
func (q *Quarantine) Crash() []quarantine.Fingerprint { return q.crashAt(time.Now()) }

func (q *Quarantine) crashAt(now time.Time) []quarantine.Fingerprint {
	var suspects []quarantine.Fingerprint
	q.stream.recordCall(func() QuarantineStep {
		suspects = q.inFlight.Crash()
		step := QuarantineStep{At: now.Sub(q.start), Call: RecordCrash}
		for _, fp := range suspects {
			step.Suspects = append(step.Suspects, q.fingerprints.assign(fp))
		}
		slices.Sort(step.Suspects)
		return step
	})
	return suspects
}
