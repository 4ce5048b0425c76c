package logwriter

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

// A Writer is a rate-limited, non-blocking log writer that is safe for concurrent use.
type Writer struct {
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

var _ zerolog.LevelWriter = (*Writer)(nil)

// New returns a Writer that copies queued lines to out in the background until Close is called.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line without a level as a usual line.
func (w *Writer) Write(line []byte) (int, error) {
	return w.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel queues a line, or drops and counts it, without ever failing or waiting for the underlying writer.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	if level >= zerolog.WarnLevel {
		return w.write(urgent, line)
	}
	return w.write(usual, line)
}

// StateWriter returns a writer for lines about the state of the process itself, which are limited separately at any
// level.
func (w *Writer) StateWriter() io.Writer {
	return stateWriter{w}
}

// A stateWriter queues each line as a state line.
type stateWriter struct{ writer *Writer }

func (w stateWriter) Write(line []byte) (int, error) { return w.writer.write(state, line) }

func (w *Writer) write(class lineClass, line []byte) (int, error) {
	now := time.Now()
	w.mu.Lock()
	if now.Sub(w.windowStart) >= time.Second {
		w.windowStart = now
		w.accepted = [classCount]int{}
	}
	kept := w.accepted[class] < linesPerSecond[class] && len(w.queue)+len(line) <= maxQueueBytes
	if kept {
		w.accepted[class]++
		w.queue = append(w.queue, line...)
	}
	w.mu.Unlock()
	if !kept {
		w.dropped[class].Add(1)
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the numbers of usual and urgent lines dropped so far.
func (w *Writer) Dropped() (usual, urgent uint64) {
	return w.dropped[usual].Load(), w.dropped[urgent].Load()
}

// Close writes the queued lines and returns when they are written or after one second.
func (w *Writer) Close() {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(time.Second):
	}
}

// run writes queued lines and reports dropped lines until the Writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	reportTicker := time.NewTicker(dropReportPeriod)
	defer reportTicker.Stop()
	for {
		select {
		case <-w.wake:
		case <-reportTicker.C:
			w.reportDropped()
		case <-w.closed:
			w.reportDropped()
			w.flush()
			return
		}
		w.flush()
		sleep(w.closed, flushPeriod)
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

func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.queue
	w.queue = nil
	w.mu.Unlock()
	if len(lines) > 0 {
		// A failure to write the log can't be logged.
		_, _ = w.out.Write(lines)
	}
}

// reportDropped queues a line with the number of lines dropped in each class since the previous report, if any were.
func (w *Writer) reportDropped() {
	var dropped, newDrops [classCount]uint64
	for class := range classCount {
		dropped[class] = w.dropped[class].Load()
		newDrops[class] = dropped[class] - w.reportedDrops[class]
	}
	if dropped == w.reportedDrops {
		return
	}
	line := fmt.Sprintf("{\"level\":\"warn\",\"time\":%q,\"usual\":%d,\"urgent\":%d,\"states\":%d,\"message\":\"log: lines dropped\"}\n",
		time.Now().Format(time.RFC3339Nano), newDrops[usual], newDrops[urgent], newDrops[state])
	w.reportedDrops = dropped
	w.mu.Lock()
	w.queue = append(w.queue, line...)
	w.mu.Unlock()
}
