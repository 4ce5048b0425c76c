package outlet

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// usualLines and urgentLines bound the lines a second, so that logs take a small part of a processor: a line costs
	// some microseconds. Urgent lines tell of refusals and failures and have a bound of their own.
	usualLines  = 150
	urgentLines = 400
	// queueBytes holds about a second of lines at both rates.
	queueBytes = 256 << 10
	// flushPeriod gathers lines into one write.
	flushPeriod = 100 * time.Millisecond
	// countPeriod is how often dropped lines are told of.
	countPeriod = time.Second
)

// An Outlet is the writer of a process's log. It is safe for concurrent use.
type Outlet struct {
	to      io.Writer
	mu      sync.Mutex
	queue   []byte
	second  time.Time
	written [2]int
	dropped [2]atomic.Uint64
	told    [2]uint64
	wake    chan struct{}
	closed  chan struct{}
	done    chan struct{}
}

var _ zerolog.LevelWriter = (*Outlet)(nil)

// New returns an outlet to a writer, which may be slow; Close writes what is queued.
func New(to io.Writer) *Outlet {
	o := &Outlet{to: to, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

// Write queues a line without a level.
func (o *Outlet) Write(line []byte) (int, error) {
	return o.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or drops and counts it. It never fails and never waits for the writer.
func (o *Outlet) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	class, bound := 0, usualLines
	if level >= zerolog.WarnLevel {
		class, bound = 1, urgentLines
	}
	now := time.Now()
	o.mu.Lock()
	if now.Sub(o.second) >= time.Second {
		o.second = now
		o.written = [2]int{}
	}
	kept := o.written[class] < bound && len(o.queue)+len(line) <= queueBytes
	if kept {
		o.written[class]++
		o.queue = append(o.queue, line...)
	}
	o.mu.Unlock()
	if !kept {
		o.dropped[class].Add(1)
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many usual and urgent lines were dropped.
func (o *Outlet) Dropped() (usual, urgent uint64) {
	return o.dropped[0].Load(), o.dropped[1].Load()
}

// Close writes what is queued, where the writer takes it within a second.
func (o *Outlet) Close() {
	close(o.closed)
	select {
	case <-o.done:
	case <-time.After(time.Second):
	}
}

func (o *Outlet) run() {
	defer close(o.done)
	count := time.NewTicker(countPeriod)
	defer count.Stop()
	for {
		select {
		case <-o.wake:
		case <-count.C:
			o.count()
		case <-o.closed:
			o.count()
			o.flush()
			return
		}
		o.flush()
		pause(o.closed, flushPeriod)
	}
}

func pause(until <-chan struct{}, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-until:
	}
}

func (o *Outlet) flush() {
	o.mu.Lock()
	lines := o.queue
	o.queue = nil
	o.mu.Unlock()
	if len(lines) > 0 {
		// There is nowhere to tell that a log can't be written.
		_, _ = o.to.Write(lines)
	}
}

// count queues a line that tells how many lines were dropped since the last one.
func (o *Outlet) count() {
	usual, urgent := o.Dropped()
	if usual == o.told[0] && urgent == o.told[1] {
		return
	}
	line := fmt.Sprintf("{\"level\":\"warn\",\"time\":%q,\"usual\":%d,\"urgent\":%d,\"message\":\"log: lines dropped\"}\n",
		time.Now().Format(time.RFC3339Nano), usual-o.told[0], urgent-o.told[1])
	o.told = [2]uint64{usual, urgent}
	o.mu.Lock()
	o.queue = append(o.queue, line...)
	o.mu.Unlock()
}
