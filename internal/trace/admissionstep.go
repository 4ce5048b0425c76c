package trace

import (
	"fmt"
	"time"

	"sapphirespread.example/priority"
)

// An AdmissionCall names a recorded method of priority.Admission.
type AdmissionCall string

// The recorded methods of priority.Admission. Level is recorded only when the level has changed.
const (
	Offer    AdmissionCall = "offer"
	Done     AdmissionCall = "done"
	Cancel   AdmissionCall = "cancel"
	Tick     AdmissionCall = "tick"
	Announce AdmissionCall = "announce"
	Level    AdmissionCall = "level"
)

// An AdmissionStep is one recorded call to a priority.Admission: its arguments and its verdicts or level.
type AdmissionStep struct {
	At        time.Duration      `json:"at"`
	Call      AdmissionCall      `json:"call"`
	ID        uint64             `json:"id,omitempty"`
	RootHash  uint64             `json:"hash,omitempty"`
	Priority  int                `json:"priority,omitempty"`
	Workspace string             `json:"workspace,omitempty"`
	Route     string             `json:"route,omitempty"`
	Share     float64            `json:"share,omitempty"`
	Shed      float64            `json:"shed,omitempty"` // share already shed before the request was sent
	Nested    bool               `json:"nested,omitempty"`
	Deadline  time.Duration      `json:"deadline,omitempty"` // since the start of the recording
	Latency   time.Duration      `json:"latency,omitempty"`
	Failed    bool               `json:"failed,omitempty"`
	Slots     int                `json:"slots,omitempty"`
	Verdicts  []priority.Verdict `json:"-"`
	Level     priority.Level     `json:"-"`
}

// Time returns the time of the call since the start of the recording.
func (s AdmissionStep) Time() time.Duration { return s.At }

// Outcome returns one line for each verdict, or one line with the level.
func (s AdmissionStep) Outcome() []string {
	if s.Call == Level {
		return []string{formatLevel(s.Level)}
	}
	var lines []string
	for _, verdict := range s.Verdicts {
		if verdict.Admitted {
			lines = append(lines, fmt.Sprintf("%d admitted", verdict.ID))
		} else {
			lines = append(lines, fmt.Sprintf("%d %s", verdict.ID, verdict.Kind))
		}
	}
	return lines
}

// replay repeats the call on a.
func (s AdmissionStep) replay(a *Admission) {
	now := a.start.Add(s.At)
	switch s.Call {
	case Offer:
		a.Offer(now, priority.Request{
			ID: s.ID, RootHash: s.RootHash, Priority: s.Priority, Workspace: s.Workspace, Route: s.Route, Share: s.Share, Shed: s.Shed, Nested: s.Nested,
			Deadline: timeAt(a.start, s.Deadline),
		})
	case Done:
		a.Done(now, s.ID, priority.Result{Latency: s.Latency, Failed: s.Failed})
	case Cancel:
		a.Cancel(now, s.ID)
	case Tick:
		a.Tick(now)
	case Announce:
		a.Announce(now, s.Slots)
	case Level:
		a.recordLevel(now, a.Admission.Level(now))
	}
}
