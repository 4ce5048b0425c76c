package cmd

import (
	"os"
	"runtime/debug"
)

const (
	daemonGCPercent = 200
	// defaultMemoryLimit is the soft limit where the memory of the process is not known.
	defaultMemoryLimit = 96 << 20 // bytes
	// memoryLimitShare leaves room for what the collector doesn't count and for its own delay. With a limit that the live
	// heap reaches, the collector runs without a pause.
	memoryLimitShare = 0.65
	mebibyte         = 1 << 20
)

// tuneGC makes the garbage collector run less often than by default until memory use approaches a soft limit, a share of the
// memory of the process in MiB. The environment variables GOGC and GOMEMLIMIT take precedence.
func tuneGC(memory int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(daemonGCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		limit := int64(defaultMemoryLimit)
		if memory > 0 {
			limit = int64(float64(memory) * memoryLimitShare * mebibyte)
		}
		debug.SetMemoryLimit(limit)
	}
}
