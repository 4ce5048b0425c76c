package trace

import (
	"encoding/binary"
	"fmt"
	"time"

	"sapphirespread.example/quarantine"
)

// A QuarantineCall is what a list or a watch of fingerprints was asked.
type QuarantineCall string

// The calls of a list and a watch.
const (
	ApplyList  QuarantineCall = "apply"
	ResetList  QuarantineCall = "reset"
	Verdict    QuarantineCall = "verdict"
	HoldList   QuarantineCall = "hold"
	StartRun   QuarantineCall = "start"
	EndRun     QuarantineCall = "end"
	CrashWatch QuarantineCall = "crash"
)

// A QuarantineStep is one call of a list or a watch. Fingerprints and runs are numbered as they are first
// seen, so that nothing of a request can be found out from a trace.
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

// A QuarantineEntry is what a list was told of one fingerprint.
type QuarantineEntry struct {
	Fingerprint uint64           `json:"fingerprint"`
	State       quarantine.State `json:"state"`
	Until       time.Duration    `json:"until"`
}

// Time returns when the list or the watch was called.
func (s QuarantineStep) Time() time.Duration { return s.At }

// Outcome returns what isn't plain: verdicts other than clear, runs that a crash ended, and suspects.
func (s QuarantineStep) Outcome() []string {
	switch {
	case s.Call == Verdict && s.State != quarantine.Clear:
		return []string{fmt.Sprintf("%d %s", s.Fingerprint, s.State)}
	case s.Call == EndRun && !s.Survived:
		return []string{fmt.Sprintf("run %d crashed", s.Run)}
	case s.Call == CrashWatch:
		return []string{fmt.Sprintf("suspects %d", s.Suspects)}
	default:
		return nil
	}
}

// numbered returns a fingerprint that stands for number.
func numbered(number uint64) quarantine.Fingerprint {
	var fp quarantine.Fingerprint
	binary.LittleEndian.PutUint64(fp[:], number)
	return fp
}

// take repeats the call; runs are those that were started.
func (s QuarantineStep) take(q *Quarantine, runs map[uint64]quarantine.Run) {
	now := q.start.Add(s.At)
	switch s.Call {
	case ApplyList:
		q.apply(now, s.Version, s.Whole, s.entries(q.start), s.cleared())
	case ResetList:
		q.reset(now)
	case Verdict:
		q.State(now, numbered(s.Fingerprint))
	case HoldList:
		q.QuarantineLocally(now, numbered(s.Fingerprint), instant(q.start, s.Until))
	case StartRun:
		runs[s.Run] = q.startRun(now, numbered(s.Fingerprint))
	case EndRun:
		q.endRun(now, runs[s.Run])
	case CrashWatch:
		q.crash(now)
	}
}

func (s QuarantineStep) entries(start time.Time) []quarantine.Entry {
	var entries []quarantine.Entry
	for _, e := range s.Entries {
		entries = append(entries, quarantine.Entry{Fingerprint: numbered(e.Fingerprint), State: e.State, Until: instant(start, e.Until)})
	}
	return entries
}

func (s QuarantineStep) cleared() []quarantine.Fingerprint {
	var cleared []quarantine.Fingerprint
	for _, number := range s.Cleared {
		cleared = append(cleared, numbered(number))
	}
	return cleared
}
