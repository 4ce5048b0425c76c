package claim

// BookStats holds the size counters of a Book.
type BookStats struct {
	Keys                 int
	UntimedKeys          int
	LargestWorkspaceKeys int
	OutcomeBytes         int64
}
