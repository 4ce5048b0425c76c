package trace

import (
	"slices"
	"time"

	"sapphirespread.example/quarantine"
)

// A Quarantine records the calls of a quarantine.List and a quarantine.Watch, one after the other.
type Quarantine struct {
	list         *quarantine.List
	watch        *quarantine.InFlight
	start        time.Time
	stream       *Stream[QuarantineStep]
	fingerprints numbers[quarantine.Fingerprint]
	runs         numbers[quarantine.Run]
}

// numbers numbers values from 1 as they are first seen.
type numbers[V comparable] map[V]uint64

func (n numbers[V]) of(value V) uint64 {
	if _, seen := n[value]; !seen {
		n[value] = uint64(len(n)) + 1
	}
	return n[value]
}

func newQuarantine(start time.Time, list *quarantine.List, watch *quarantine.InFlight, stream *Stream[QuarantineStep]) *Quarantine {
	return &Quarantine{
		list: list, watch: watch, start: start, stream: stream,
		fingerprints: make(numbers[quarantine.Fingerprint]), runs: make(numbers[quarantine.Run]),
	}
}

// ReplayQuarantine repeats steps at a new list and a new watch and returns them with what came of them.
func ReplayQuarantine(start time.Time, steps []QuarantineStep) []QuarantineStep {
	q := newQuarantine(start, quarantine.NewList(), quarantine.NewWatch(), newStream[QuarantineStep](len(steps)))
	runs := make(map[uint64]quarantine.Run)
	for _, step := range steps {
		step.take(q, runs)
	}
	return q.stream.Steps()
}

// Apply records a delta of the list.
func (q *Quarantine) Apply(version uint64, whole bool, entries []quarantine.Entry, cleared []quarantine.Fingerprint) {
	q.apply(time.Now(), version, whole, entries, cleared)
}

func (q *Quarantine) apply(now time.Time, version uint64, whole bool, entries []quarantine.Entry, cleared []quarantine.Fingerprint) {
	q.stream.do(func() QuarantineStep {
		q.list.Apply(version, whole, entries, cleared)
		step := QuarantineStep{At: now.Sub(q.start), Call: ApplyList, Version: version, Whole: whole}
		for _, e := range entries {
			recorded := QuarantineEntry{Fingerprint: q.fingerprints.of(e.Fingerprint), State: e.State, Until: offset(q.start, e.Until)}
			step.Entries = append(step.Entries, recorded)
		}
		for _, fp := range cleared {
			step.Cleared = append(step.Cleared, q.fingerprints.of(fp))
		}
		return step
	})
}

// Reset records that the version was forgotten.
func (q *Quarantine) Reset() { q.reset(time.Now()) }

func (q *Quarantine) reset(now time.Time) {
	q.stream.do(func() QuarantineStep {
		q.list.Reset()
		return QuarantineStep{At: now.Sub(q.start), Call: ResetList}
	})
}

// Version returns the version that the list holds.
func (q *Quarantine) Version() uint64 { return q.list.Version() }

// State records a lookup of the state of a fingerprint.
func (q *Quarantine) State(now time.Time, fp quarantine.Fingerprint) quarantine.State {
	return q.stream.do(func() QuarantineStep {
		state := q.list.State(now, fp)
		return QuarantineStep{At: now.Sub(q.start), Call: Verdict, Fingerprint: q.fingerprints.of(fp), State: state}
	}).State
}

// QuarantineLocally records the local quarantine of a fingerprint.
func (q *Quarantine) QuarantineLocally(now time.Time, fp quarantine.Fingerprint, until time.Time) {
	q.stream.do(func() QuarantineStep {
		q.list.QuarantineLocally(now, fp, until)
		return QuarantineStep{At: now.Sub(q.start), Call: HoldList, Fingerprint: q.fingerprints.of(fp), Until: offset(q.start, until)}
	})
}

// Start records a run.
func (q *Quarantine) Start(fp quarantine.Fingerprint) quarantine.Run {
	return q.startRun(time.Now(), fp)
}

func (q *Quarantine) startRun(now time.Time, fp quarantine.Fingerprint) quarantine.Run {
	var run quarantine.Run
	q.stream.do(func() QuarantineStep {
		run = q.watch.Start(fp)
		return QuarantineStep{At: now.Sub(q.start), Call: StartRun, Fingerprint: q.fingerprints.of(fp), Run: q.runs.of(run)}
	})
	return run
}

// End records the end of a run.
func (q *Quarantine) End(run quarantine.Run) bool { return q.endRun(time.Now(), run) }

func (q *Quarantine) endRun(now time.Time, run quarantine.Run) bool {
	return q.stream.do(func() QuarantineStep {
		return QuarantineStep{At: now.Sub(q.start), Call: EndRun, Run: q.runs.of(run), Survived: q.watch.End(run)}
	}).Survived
}

// Crash records a crash.
func (q *Quarantine) Crash() []quarantine.Fingerprint { return q.crash(time.Now()) }

func (q *Quarantine) crash(now time.Time) []quarantine.Fingerprint {
	var suspects []quarantine.Fingerprint
	q.stream.do(func() QuarantineStep {
		suspects = q.watch.Crash()
		step := QuarantineStep{At: now.Sub(q.start), Call: CrashWatch}
		for _, fp := range suspects {
			step.Suspects = append(step.Suspects, q.fingerprints.of(fp))
		}
		slices.Sort(step.Suspects)
		return step
	})
	return suspects
}
