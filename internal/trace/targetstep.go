package trace

import (
	"fmt"
	"time"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

// A TargetCall names a recorded method of target.Table or target.Chooser.
type TargetCall string

// The recorded methods of target.Table and target.Chooser.
const (
	Apply           TargetCall = "apply"
	Choose          TargetCall = "choose"
	Sent            TargetCall = "sent"
	Answered        TargetCall = "answered"
	RecordHeartbeat TargetCall = "heard"
	SetOutOfUse     TargetCall = "out-of-use"
)

// A TargetStep is one recorded call to a target.Table or a target.Chooser: its arguments and its choice or error.
type TargetStep struct {
	At          time.Duration      `json:"at"`
	Call        TargetCall         `json:"call"`
	Epoch       uint64             `json:"epoch,omitempty"`
	From        uint64             `json:"from,omitempty"`
	To          uint64             `json:"to,omitempty"`
	Whole       bool               `json:"whole,omitempty"`
	Changes     []TargetChange     `json:"changes,omitempty"`
	Random      uint64             `json:"random,omitempty"`
	Service     string             `json:"service,omitempty"`
	RootHash    uint64             `json:"hash,omitempty"`
	Priority    int                `json:"priority,omitempty"`
	Workspace   string             `json:"workspace,omitempty"`
	Exclude     []string           `json:"exclude,omitempty"`
	Name        string             `json:"name,omitempty"`
	Domains     []string           `json:"domains,omitempty"`
	Observation *TargetObservation `json:"observation,omitempty"`
	Choice      target.Choice      `json:"-"`
	Found, Shed bool               `json:"-"`
	Err         error              `json:"-"`
}

// A TargetObservation is a target.Observation whose level expires relative to the start of the recording.
type TargetObservation struct {
	Kind     target.AnswerKind `json:"kind"`
	Latency  time.Duration     `json:"latency"`
	Draining bool              `json:"draining,omitempty"`
	Level    *ShedLevel        `json:"level,omitempty"`
	Load     *load.State       `json:"load,omitempty"`
	Transit  time.Duration     `json:"transit,omitempty"`
	// Objective is recorded with a load only.
	Objective time.Duration `json:"objective,omitempty"`
}

// Time returns the time of the call since the start of the recording.
func (s TargetStep) Time() time.Duration { return s.At }

// Outcome returns one line with the choice, or with the error of a rejected delta.
func (s TargetStep) Outcome() []string {
	switch {
	case s.Err != nil:
		return []string{s.Err.Error()}
	case s.Call != Choose:
		return nil
	case s.Found:
		return []string{fmt.Sprintf("%s %s", s.Service, s.Choice.Target.Name)}
	case s.Shed:
		return []string{s.Service + " shed"}
	default:
		return []string{s.Service + " none"}
	}
}

// replay repeats the call on t.
func (s TargetStep) replay(t *Targets) {
	now := t.start.Add(s.At)
	switch s.Call {
	case Apply:
		_ = t.applyAt(now, s.Epoch, s.From, s.To, s.Whole, s.changes())
	case Choose:
		t.Choose(now, s.Random, s.Service, priority.Origin{Priority: s.Priority, Workspace: s.Workspace, RootHash: s.RootHash}, s.Exclude)
	case Sent:
		t.Sent(now, s.Name)
	case Answered:
		t.Answered(now, s.Name, s.Observation.observation(t.start))
	case RecordHeartbeat:
		t.RecordHeartbeat(now, s.Name)
	case SetOutOfUse:
		t.setOutOfUseAt(now, s.Domains)
	}
}

func newTargetObservation(start time.Time, o target.Observation) *TargetObservation {
	recorded := &TargetObservation{Kind: o.Kind, Latency: o.Latency, Draining: o.Draining, Level: newShedLevel(start, o.Level)}
	if o.Load.Known() {
		recorded.Load, recorded.Transit, recorded.Objective = &o.Load, o.Transit, o.Objective
	}
	return recorded
}

func (o TargetObservation) observation(start time.Time) target.Observation {
	observation := target.Observation{Kind: o.Kind, Latency: o.Latency, Draining: o.Draining, Level: o.Level.level(start)}
	if o.Load != nil {
		observation.Load, observation.Transit, observation.Objective = *o.Load, o.Transit, o.Objective
	}
	return observation
}
