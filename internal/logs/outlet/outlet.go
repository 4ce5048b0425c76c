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
	// usualLinesPerSecond and urgentLinesPerSecond keep logging to a small part of one processor, as writing a line takes
	// some microseconds. Urgent lines report refusals and failures.
	usualLinesPerSecond  = 150
	urgentLinesPerSecond = 400
	// stateLinesPerSecond is several times the number of state lines that a process writes in a second of faults: starts,
	// stops, lost and regained dependencies. The separate limit keeps a flood of request lines from displacing them.
	stateLinesPerSecond = 200
	// maxQueueBytes holds about one second of lines at the usual and urgent limits.
	maxQueueBytes = 256 << 10
	// flushPeriod is the time over which lines are gathered into one write.
	flushPeriod = 100 * time.Millisecond
	// dropReportPeriod is the time between two reports of dropped lines.
	dropReportPeriod = time.Second
)

// A lineClass is a class of log lines with its own rate limit.
type lineClass int

const (
	usual lineClass = iota
	urgent
	state
	classCount
)

// linesPerSecond is the rate limit of each class.
var linesPerSecond = [classCount]int{usual: usualLinesPerSecond, urgent: urgentLinesPerSecond, state: stateLinesPerSecond}

// An Outlet is a rate-limited, non-blocking log writer that is safe for concurrent use.
type Outlet struct {
	out           io.Writer
	mu            sync.Mutex
	queue         []byte
	windowStart   time.Time
	accepted      [classCount]int
	dropped       [classCount]atomic.Uint64
	reportedDrops [classCount]uint64
	wake          chan struct{}
	closed        chan struct{}
	done          chan struct{}
}

var _ zerolog.LevelWriter = (*Outlet)(nil)

// New returns an outlet that writes to a possibly slow writer in the background until Close is called.
func New(out io.Writer) *Outlet {
	o := &Outlet{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

// Write queues a line without a level as a usual line.
func (o *Outlet) Write(line []byte) (int, error) {
	return o.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or drops and counts it, without ever failing or waiting for the underlying writer.
func (o *Outlet) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level >= zerolog.WarnLevel {
		return o.write(urgent, line)
	}
	return o.write(usual, line)
}

// States returns a writer for lines about the state of the process itself, which are limited separately at any level.
func (o *Outlet) States() io.Writer {
	return stateWriter{o}
}

// A stateWriter queues each line as a state line.
type stateWriter struct{ outlet *Outlet }

func (w stateWriter) Write(line []byte) (int, error) { return w.outlet.write(state, line) }

func (o *Outlet) write(class lineClass, line []byte) (int, error) {
	now := time.Now()
	o.mu.Lock()
	if now.Sub(o.windowStart) >= time.Second {
		o.windowStart = now
		o.accepted = [classCount]int{}
	}
	kept := o.accepted[class] < linesPerSecond[class] && len(o.queue)+len(line) <= maxQueueBytes
	if kept {
		o.accepted[class]++
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

// Dropped returns the numbers of usual and urgent lines dropped so far.
func (o *Outlet) Dropped() (usual, urgent uint64) {
	return o.dropped[usual].Load(), o.dropped[urgent].Load()
}

// Close writes the queued lines and returns when they are written or after one second.
func (o *Outlet) Close() {
	close(o.closed)
	select {
	case <-o.done:
	case <-time.After(time.Second):
	}
}

// run writes queued lines and reports dropped lines until the outlet is closed.
func (o *Outlet) run() {
	defer close(o.done)
	reportTicker := time.NewTicker(dropReportPeriod)
	defer reportTicker.Stop()
	for {
		select {
		case <-o.wake:
		case <-reportTicker.C:
			o.reportDropped()
		case <-o.closed:
			o.reportDropped()
			o.flush()
			return
		}
		o.flush()
		sleep(o.closed, flushPeriod)
	}
}

// sleep waits for the period to elapse or for closed to be closed.
func sleep(closed <-chan struct{}, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-closed:
	}
}

func (o *Outlet) flush() {
	o.mu.Lock()
	lines := o.queue
	o.queue = nil
	o.mu.Unlock()
	if len(lines) > 0 {
		// A failure to write the log can't be logged.
		_, _ = o.out.Write(lines)
	}
}

// reportDropped queues a line with the number of lines dropped in each class since the previous report, if any were.
func (o *Outlet) reportDropped() {
	var dropped, newDrops [classCount]uint64
	for class := range classCount {
		dropped[class] = o.dropped[class].Load()
		newDrops[class] = dropped[class] - o.reportedDrops[class]
	}
	if dropped == o.reportedDrops {
		return
	}
	line := fmt.Sprintf("{\"level\":\"warn\",\"time\":%q,\"usual\":%d,\"urgent\":%d,\"states\":%d,\"message\":\"log: lines dropped\"}\n",
		time.Now().Format(time.RFC3339Nano), newDrops[usual], newDrops[urgent], newDrops[state])
	o.reportedDrops = dropped
	o.mu.Lock()
	o.queue = append(o.queue, line...)
	o.mu.Unlock()
}
