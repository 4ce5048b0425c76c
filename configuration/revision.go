package configuration

// revision is one kept revision: its entry, and the changes from the one before it and back.
type revision struct {
	Entry    Entry    `json:"entry"`
	Forward  []Change `json:"forward"`
	Backward []Change `json:"backward"`
}

// size returns the bytes of the objects that the changes set.
func (r revision) size() int64 { return sizeOf(r.Forward) + sizeOf(r.Backward) }
