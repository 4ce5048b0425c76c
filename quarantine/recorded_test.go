package quarantine_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/internal/trace"
	"sapphirespread.example/quarantine"
)

// TestRecorded replays recorded calls of daemons' lists and watches around crashes and compares the results. It also
// checks every result against a model, even with -rewrite.
func TestRecorded(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	datadriven.Walk(t, "testdata/recorded", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			steps, err := trace.Parse[trace.QuarantineStep](d.Input)
			if err != nil {
				d.Fatalf(t, "%v", err)
			}
			replayed := trace.ReplayQuarantine(start, steps)
			m := recordedModel{t: t, entries: make(map[uint64]trace.QuarantineEntry), localHolds: make(map[uint64]time.Duration), inFlight: make(map[uint64][]uint64)}
			for _, step := range replayed {
				m.step(step)
			}
			return trace.Outcomes(replayed)
		})
	})
}

// recordedModel derives the expected results from the recorded steps.
type recordedModel struct {
	t          *testing.T
	version    uint64
	entries    map[uint64]trace.QuarantineEntry
	localHolds map[uint64]time.Duration // ends of local quarantines
	inFlight   map[uint64][]uint64      // fingerprints in flight by their runs
}

func (m *recordedModel) step(step trace.QuarantineStep) {
	switch step.Call {
	case trace.ApplyList:
		m.apply(step)
	case trace.ResetList:
		m.version = 0
	case trace.LookupState:
		m.checkVerdict(step)
	case trace.QuarantineLocally:
		if _, known := m.entries[step.Fingerprint]; !known {
			m.localHolds[step.Fingerprint] = step.Until
		}
	case trace.StartRun:
		m.inFlight[step.Run] = append(m.inFlight[step.Run], step.Fingerprint)
	case trace.EndRun:
		m.checkEnd(step)
	case trace.RecordCrash:
		m.checkCrash(step)
	}
}

func (m *recordedModel) apply(step trace.QuarantineStep) {
	if step.Version < m.version || step.Version == m.version && !step.Whole {
		return
	}
	m.version = step.Version
	if step.Whole {
		clear(m.entries)
	}
	for _, entry := range step.Entries {
		m.entries[entry.Fingerprint] = entry
		delete(m.localHolds, entry.Fingerprint)
	}
	for _, cleared := range step.Cleared {
		delete(m.entries, cleared)
		delete(m.localHolds, cleared)
	}
}

// checkVerdict checks that a verdict matches an unexpired entry or local quarantine, and is clear without one.
func (m *recordedModel) checkVerdict(step trace.QuarantineStep) {
	want := quarantine.Clear
	if until, held := m.localHolds[step.Fingerprint]; held && step.At < until {
		want = quarantine.Quarantined
	}
	if entry, held := m.entries[step.Fingerprint]; held && step.At < entry.Until {
		want = entry.State
	}
	if step.State != want {
		m.t.Errorf("%s: %d is %s, want %s", step.At, step.Fingerprint, step.State, want)
	}
}

// checkEnd checks that a run survived exactly if there was no crash since its start.
func (m *recordedModel) checkEnd(step trace.QuarantineStep) {
	fingerprints := m.inFlight[step.Run]
	if step.Survived != (len(fingerprints) > 0) {
		m.t.Errorf("%s: run %d survived: %t", step.At, step.Run, step.Survived)
	}
	if len(fingerprints) > 0 {
		m.inFlight[step.Run] = fingerprints[1:]
	}
}

// checkCrash checks that the suspects are exactly the fingerprints in flight.
func (m *recordedModel) checkCrash(step trace.QuarantineStep) {
	var want []uint64
	for _, fingerprints := range m.inFlight {
		want = append(want, fingerprints...)
	}
	slices.Sort(want)
	want = slices.Compact(want)
	clear(m.inFlight)
	if !slices.Equal(step.Suspects, want) {
		m.t.Errorf("%s: suspects %d, want %d", step.At, step.Suspects, want)
	}
}
