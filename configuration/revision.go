package configuration

// revision is one revision of the history: its entry, the changes from the previous revision (Forward) and the changes
// that undo them (Backward).
type revision struct {
	Entry    HistoryEntry `json:"entry"`
	Forward  []Change     `json:"forward"`
	Backward []Change     `json:"backward"`
}

// size returns the encoded size in bytes of the changes in both directions.
func (r revision) size() int64 { return sizeOf(r.Forward) + sizeOf(r.Backward) }
