package cmd

import (
	"os"
	"runtime/debug"
)

const (
	daemonGCPercent        = 200
	daemonMemoryLimitBytes = 96 << 20
)

// tuneGC makes the garbage collector run less often than by default until memory use approaches a soft limit. The
// environment variables GOGC and GOMEMLIMIT take precedence.
func tuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(daemonGCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(daemonMemoryLimitBytes)
	}
}
