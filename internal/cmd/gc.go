package cmd

import (
	"os"
	"runtime/debug"
)

const (
	daemonGCPercent = 200
	// controlGCPercent is the default of Go. What a publish leaves behind is collected before it adds to the next.
	controlGCPercent = 100
	// defaultMemoryLimit is the soft limit where the memory of the process is not known.
	defaultMemoryLimit = 96 << 20 // bytes
	// memoryLimitShare leaves room for what the collector doesn't count and for its own delay. With a limit that the live
	// heap reaches, the collector runs without a pause.
	memoryLimitShare = 0.65
	mebibyte         = 1 << 20
)

// tuneGC lets the heap grow by percent between two collections until memory use approaches a soft limit, a share of the
// memory of the process in MiB. The environment variables GOGC and GOMEMLIMIT take precedence.
func tuneGC(memory, percent int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(percent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		limit := int64(defaultMemoryLimit)
		if memory > 0 {
			limit = int64(float64(memory) * memoryLimitShare * mebibyte)
		}
		debug.SetMemoryLimit(limit)
	}
}
