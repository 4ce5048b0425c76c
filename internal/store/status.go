package store

import "sapphirespread.example/replica"

// A Status describes the cluster as this instance sees it and the disk usage of the instance.
type Status struct {
	replica.Status
	// LogBytes is the size of the log file.
	LogBytes int64
	// SnapshotBytes is the size of the active snapshot.
	SnapshotBytes int64
}
