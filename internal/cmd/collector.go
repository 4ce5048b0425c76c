package cmd

import (
	"os"
	"runtime/debug"
)

const (
	daemonGCPercent   = 200
	daemonMemoryLimit = 96 << 20
)

// tuneCollector lets a daemon collect garbage less often than Go does by itself, up to a soft limit of memory in
// bytes; GOGC and GOMEMLIMIT in the environment go before it.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(daemonGCPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(daemonMemoryLimit)
	}
}
