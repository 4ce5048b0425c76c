package standin

import (
	"container/heap"
	"time"
)

// A Processor shares its speed evenly among the jobs that it runs and slows down once more requests
// are held than it has slots.
type Processor struct {
	slots      float64
	contention float64
	slowdown   float64
	held       int
	progress   time.Duration
	updated    time.Time
	lastJob    uint64
	jobs       jobQueue
}

// NewProcessor returns an idle Processor; contention is the share of the speed lost for each further
// multiple of slots that is held.
func NewProcessor(now time.Time, slots int, contention float64) *Processor {
	return &Processor{slots: float64(slots), contention: contention, slowdown: 1, updated: now}
}

// Hold counts one more request as held, whether it works or waits for a deeper service.
func (p *Processor) Hold(now time.Time) {
	p.advance(now)
	p.held++
}

// Release counts one request less as held.
func (p *Processor) Release(now time.Time) {
	p.advance(now)
	p.held--
}

// Held returns the number of requests held.
func (p *Processor) Held() int {
	return p.held
}

// SetSlowdown makes all work take factor times as long.
func (p *Processor) SetSlowdown(now time.Time, factor float64) {
	p.advance(now)
	p.slowdown = factor
}

// Start adds a job that takes work at full speed and returns its number.
func (p *Processor) Start(now time.Time, work time.Duration) uint64 {
	p.advance(now)
	p.lastJob++
	heap.Push(&p.jobs, job{id: p.lastJob, end: p.progress + work})
	return p.lastJob
}

// Cancel removes a job that has not finished.
func (p *Processor) Cancel(now time.Time, id uint64) {
	p.advance(now)
	for i, j := range p.jobs {
		if j.id == id {
			heap.Remove(&p.jobs, i)
			return
		}
	}
}

// Finished removes and returns the jobs that are done at now.
func (p *Processor) Finished(now time.Time) []uint64 {
	p.advance(now)
	var done []uint64
	for len(p.jobs) > 0 && p.jobs[0].end <= p.progress {
		done = append(done, heap.Pop(&p.jobs).(job).id)
	}
	return done
}

// Next returns how long from now the first job ends if nothing changes, and false without jobs.
func (p *Processor) Next(now time.Time) (time.Duration, bool) {
	p.advance(now)
	if len(p.jobs) == 0 {
		return 0, false
	}
	rest := max(p.jobs[0].end-p.progress, 0)
	return time.Duration(float64(rest)/p.speed()) + 1, true
}

func (p *Processor) advance(now time.Time) {
	if elapsed := now.Sub(p.updated); elapsed > 0 {
		p.progress += time.Duration(float64(elapsed) * p.speed())
		p.updated = now
	}
}

func (p *Processor) speed() float64 {
	full := 1 / p.slowdown
	load := float64(p.held) / p.slots
	if load <= 1 {
		return full
	}
	return full / load / (1 + p.contention*(load-1))
}
