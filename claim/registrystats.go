package claim

// RegistryStats holds the size counters of a Registry.
type RegistryStats struct {
	Keys                 int
	UntimedKeys          int
	LargestWorkspaceKeys int
	OutcomeBytes         int64
}
