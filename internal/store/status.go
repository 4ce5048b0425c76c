package store

import "sapphirespread.example/replica"

// A Status is an instance's view of the cluster and of its own disk.
type Status struct {
	replica.Status
	// LogBytes is the length of the log file.
	LogBytes int64
	// SnapshotBytes is the size of the snapshot in force.
	SnapshotBytes int64
}
