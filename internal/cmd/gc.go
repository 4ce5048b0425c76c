package cmd

import (
	"os"
	"runtime/debug"
)

const (
	daemonGCPercent        = 200
	daemonMemoryLimitBytes = 96 << 20
	// memoryLimitShare leaves room for what the collector doesn't count and for its own delay.
	memoryLimitShare = 0.6
	mebibyte         = 1 << 20
)

// tuneGC makes the garbage collector run less often than by default until memory use approaches a soft limit. The
// environment variables GOGC and GOMEMLIMIT take precedence. The limit is lower where memory, in MiB, is short.
func tuneGC(memory int) {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(daemonGCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		limit := int64(daemonMemoryLimitBytes)
		if memory > 0 {
			limit = min(limit, int64(float64(memory)*memoryLimitShare*mebibyte))
		}
		debug.SetMemoryLimit(limit)
	}
}
