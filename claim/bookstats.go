package claim

// BookStats holds the sizes of a book.
type BookStats struct {
	Keys                 int
	UntimedKeys          int
	LargestWorkspaceKeys int
	OutcomeBytes         int64
}
