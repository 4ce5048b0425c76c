package replica

// A Ready is the work that the caller must do before the next Step. In order, the caller sends Immediate, persists
// HardState, Snapshot and Entries, sends Messages, restores the state machine from Snapshot, applies Committed and
// calls Advance.
type Ready struct {
	// Immediate may be sent before anything is persisted.
	Immediate []Outbound
	// HardState is nil if it has not changed.
	HardState *HardState
	// Snapshot replaces the log and the state machine; it is nil if none is to be installed.
	Snapshot *Snapshot
	// Entries replace the persisted log from the index of the first of them on.
	Entries []Entry
	// Messages must not be sent before HardState, Snapshot and Entries are persisted.
	Messages []Outbound
	// Committed holds the entries to be applied to the state machine, in order.
	Committed []Entry
}

// Empty reports whether there is no work to do.
func (r Ready) Empty() bool {
	return len(r.Immediate) == 0 && r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0
}
