package trace

import (
	"encoding/binary"
	"fmt"
	"time"

	"sapphirespread.example/quarantine"
)

// A QuarantineCall names a recorded method of quarantine.List or quarantine.InFlight.
type QuarantineCall string

// The recorded methods of quarantine.List and quarantine.InFlight.
const (
	ApplyList         QuarantineCall = "apply"
	ResetList         QuarantineCall = "reset"
	LookupState       QuarantineCall = "verdict"
	QuarantineLocally QuarantineCall = "hold"
	StartRun          QuarantineCall = "start"
	EndRun            QuarantineCall = "end"
	RecordCrash       QuarantineCall = "crash"
)

// A QuarantineStep is one recorded call to a quarantine.List or a quarantine.InFlight. Fingerprints and runs are
// replaced by numbers, in the order in which they are first seen, so that a trace reveals nothing about a request.
type QuarantineStep struct {
	At          time.Duration     `json:"at"`
	Call        QuarantineCall    `json:"call"`
	Fingerprint uint64            `json:"fingerprint,omitempty"`
	Until       time.Duration     `json:"until,omitempty"`
	Run         uint64            `json:"run,omitempty"`
	Version     uint64            `json:"version,omitempty"`
	Whole       bool              `json:"whole,omitempty"`
	Entries     []QuarantineEntry `json:"entries,omitempty"`
	Cleared     []uint64          `json:"cleared,omitempty"`
	State       quarantine.State  `json:"-"`
	Survived    bool              `json:"-"`
	Suspects    []uint64          `json:"-"`
}

// A QuarantineEntry is a quarantine.Entry with its fingerprint numbered and its end relative to the start of the
// recording.
type QuarantineEntry struct {
	Fingerprint uint64           `json:"fingerprint"`
	State       quarantine.State `json:"state"`
	Until       time.Duration    `json:"until"`
}

// Time returns the time of the call since the start of the recording.
func (s QuarantineStep) Time() time.Duration { return s.At }

// Outcome returns one line for a state other than quarantine.Clear, for a run that a crash ended, and for the suspects
// of a crash.
func (s QuarantineStep) Outcome() []string {
	switch {
	case s.Call == LookupState && s.State != quarantine.Clear:
		return []string{fmt.Sprintf("%d %s", s.Fingerprint, s.State)}
	case s.Call == EndRun && !s.Survived:
		return []string{fmt.Sprintf("run %d crashed", s.Run)}
	case s.Call == RecordCrash:
		return []string{fmt.Sprintf("suspects %d", s.Suspects)}
	default:
		return nil
	}
}

// placeholderFingerprint returns the fingerprint that stands for number in a replay.
func placeholderFingerprint(number uint64) quarantine.Fingerprint {
	var fp quarantine.Fingerprint
	binary.LittleEndian.PutUint64(fp[:], number)
	return fp
}

// replay repeats the call on q. It adds started runs to runs and looks up ended ones there, by their numbers.
func (s QuarantineStep) replay(q *Quarantine, runs map[uint64]quarantine.Run) {
	now := q.start.Add(s.At)
	switch s.Call {
	case ApplyList:
		q.applyAt(now, s.Version, s.Whole, s.entries(q.start), s.cleared())
	case ResetList:
		q.resetAt(now)
	case LookupState:
		q.State(now, placeholderFingerprint(s.Fingerprint))
	case QuarantineLocally:
		q.QuarantineLocally(now, placeholderFingerprint(s.Fingerprint), timeAt(q.start, s.Until))
	case StartRun:
		runs[s.Run] = q.startAt(now, placeholderFingerprint(s.Fingerprint))
	case EndRun:
		q.endAt(now, runs[s.Run])
	case RecordCrash:
		q.crashAt(now)
	}
}

func (s QuarantineStep) entries(start time.Time) []quarantine.Entry {
	var entries []quarantine.Entry
	for _, e := range s.Entries {
		entries = append(entries, quarantine.Entry{Fingerprint: placeholderFingerprint(e.Fingerprint), State: e.State, Until: timeAt(start, e.Until)})
	}
	return entries
}

func (s QuarantineStep) cleared() []quarantine.Fingerprint {
	var cleared []quarantine.Fingerprint
	for _, number := range s.Cleared {
		cleared = append(cleared, placeholderFingerprint(number))
	}
	return cleared
}
