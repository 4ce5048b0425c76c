package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// A reference is a wall clock time with the boot time clock reading at the same moment.
type reference struct {
	wallTime time.Time
	reading  time.Duration
}

// firstReference returns the reference taken at its first call.
var firstReference = sync.OnceValue(func() reference {
	return reference{wallTime: time.Now().Round(0), reading: sinceBoot()}
})

// Now returns the wall clock time of its first call plus the time elapsed since, including suspension, and its results
// are comparable only with one another.
func Now() time.Time {
	first := firstReference()
	return first.wallTime.Add(sinceBoot() - first.reading)
}

// sinceBoot returns the time since the machine booted. It panics only if the kernel does not support CLOCK_BOOTTIME.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
