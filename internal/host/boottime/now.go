package boottime

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// A start is the time of day and the reading of the clock at one moment.
type start struct {
	day  time.Time
	read time.Duration
}

var started = sync.OnceValue(func() start {
	return start{day: time.Now().Round(0), read: read()}
})

// Now returns the time of day of the first call plus what has passed since, suspension included. Times of this clock
// are only compared with one another.
func Now() time.Time {
	first := started()
	return first.day.Add(read() - first.read)
}

// read returns the time since the machine was started. The call can't fail for a clock that the kernel has.
func read() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("reading CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(now.Nano())
}
