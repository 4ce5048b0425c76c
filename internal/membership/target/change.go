package target

// A Change sets or removes one target in a delta.
type Change struct {
	Target  Target
	Removed bool
}
