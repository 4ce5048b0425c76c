package claim

// RegistryStats holds the size counters of a Book.
type RegistryStats struct {
	Keys                 int
	UntimedKeys          int
	LargestWorkspaceKeys int
	OutcomeBytes         int64
}
