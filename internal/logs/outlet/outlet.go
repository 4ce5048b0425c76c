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
	// stateLines is some times what a process tells of itself in a second of trouble: starts, stops, lost and regained
	// dependencies. These lines have a bound of their own, so that no flood of requests hides them.
	stateLines = 200
	// queueBytes holds about a second of lines at both rates.
	queueBytes = 256 << 10
	// flushPeriod gathers lines into one write.
	flushPeriod = 100 * time.Millisecond
	// countPeriod is how often dropped lines are told of.
	countPeriod = time.Second
)

// A class is what lines a bound is for.
type class int

const (
	usual class = iota
	urgent
	state
	classes
)

// bounds are the lines a second of each class.
var bounds = [classes]int{usual: usualLines, urgent: urgentLines, state: stateLines}

// An Outlet is the writer of a process's log. It is safe for concurrent use.
type Outlet struct {
	to      io.Writer
	mu      sync.Mutex
	queue   []byte
	second  time.Time
	written [classes]int
	dropped [classes]atomic.Uint64
	told    [classes]uint64
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
	if level >= zerolog.WarnLevel {
		return o.write(urgent, line)
	}
	return o.write(usual, line)
}

// States returns the writer for lines that tell of the process itself, whatever their level.
func (o *Outlet) States() io.Writer {
	return stateWriter{o}
}

type stateWriter struct{ outlet *Outlet }

func (w stateWriter) Write(line []byte) (int, error) { return w.outlet.write(state, line) }

func (o *Outlet) write(of class, line []byte) (int, error) {
	now := time.Now()
	o.mu.Lock()
	if now.Sub(o.second) >= time.Second {
		o.second = now
		o.written = [classes]int{}
	}
	kept := o.written[of] < bounds[of] && len(o.queue)+len(line) <= queueBytes
	if kept {
		o.written[of]++
		o.queue = append(o.queue, line...)
	}
	o.mu.Unlock()
	if !kept {
		o.dropped[of].Add(1)
	}
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns how many usual and urgent lines were dropped.
func (o *Outlet) Dropped() (usual, urgent uint64) {
	return o.dropped[usual].Load(), o.dropped[urgent].Load()
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
	var dropped, since [classes]uint64
	for of := range classes {
		dropped[of] = o.dropped[of].Load()
		since[of] = dropped[of] - o.told[of]
	}
	if dropped == o.told {
		return
	}
	line := fmt.Sprintf("{\"level\":\"warn\",\"time\":%q,\"usual\":%d,\"urgent\":%d,\"states\":%d,\"message\":\"log: lines dropped\"}\n",
		time.Now().Format(time.RFC3339Nano), since[usual], since[urgent], since[state])
	o.told = dropped
	o.mu.Lock()
	o.queue = append(o.queue, line...)
	o.mu.Unlock()
}
