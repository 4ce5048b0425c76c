package trace

import "sapphirespread.example/internal/membership/target"

// A TargetChange is a target.Change without the address, which does not affect the choice of a target.
type TargetChange struct {
	Name          string       `json:"name"`
	Service       string       `json:"service"`
	FailureDomain string       `json:"failure-domain,omitempty"`
	Daemon        string       `json:"daemon,omitempty"`
	Incarnation   uint64       `json:"incarnation,omitempty"`
	Slots         int          `json:"slots,omitempty"`
	InFlight      int          `json:"in-flight,omitempty"`
	Connections   int          `json:"connections,omitempty"`
	State         target.State `json:"state,omitempty"`
	Removed       bool         `json:"removed,omitempty"`
}

func newTargetChanges(changes []target.Change) []TargetChange {
	recorded := make([]TargetChange, 0, len(changes))
	for _, change := range changes {
		t := change.Target
		recorded = append(recorded, TargetChange{
			Name: t.Name, Service: t.Service, FailureDomain: t.FailureDomain, Daemon: t.Daemon, Incarnation: t.Incarnation,
			Slots: t.Slots, InFlight: t.InFlight, Connections: t.Connections, State: t.State, Removed: change.Removed,
		})
	}
	return recorded
}

func (s TargetStep) changes() []target.Change {
	changes := make([]target.Change, 0, len(s.Changes))
	for _, c := range s.Changes {
		changes = append(changes, target.Change{Removed: c.Removed, Target: target.Target{
			Name: c.Name, Service: c.Service, FailureDomain: c.FailureDomain, Daemon: c.Daemon, Incarnation: c.Incarnation,
			Slots: c.Slots, InFlight: c.InFlight, Connections: c.Connections, State: c.State,
		}})
	}
	return changes
}
