package replica

// A Ready is what must be done before the next Step: send Prompt, persist HardState, Snapshot and Entries,
// send Messages, restore Snapshot, apply Committed, then call Advance.
type Ready struct {
	// Prompt may be sent before anything is persisted.
	Prompt []Outbound
	// HardState is nil where it has not changed.
	HardState *HardState
	// Snapshot replaces the log and the state machine; nil for none.
	Snapshot *Snapshot
	// Entries replace those of the persisted log from the first one's index on.
	Entries []Entry
	// Messages are sent after the rest is persisted.
	Messages []Outbound
	// Committed are to be applied, in order.
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (r Ready) Empty() bool {
	return len(r.Prompt) == 0 && r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0
}
