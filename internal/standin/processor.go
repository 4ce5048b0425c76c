package standin

import (
	"container/heap"
	"time"
)

// Processor simulates processor sharing: all jobs run at the same speed, which drops when more
// requests are in flight than it has slots.
type Processor struct {
	slots       float64
	contention  float64
	slowdown    float64
	inFlight    int
	virtualTime time.Duration
	updated     time.Time
	lastJobID   uint64
	jobs        jobQueue
}

// NewProcessor returns an idle Processor with the given number of slots and a contention factor, the
// extra slowdown for each multiple of slots in flight beyond the first.
func NewProcessor(now time.Time, slots int, contention float64) *Processor {
	return &Processor{slots: float64(slots), contention: contention, slowdown: 1, updated: now}
}

// Admit counts a request as in flight, whether it runs a job or waits for a downstream service.
func (p *Processor) Admit(now time.Time) {
	p.advance(now)
	p.inFlight++
}

// Release removes a request from those in flight.
func (p *Processor) Release(now time.Time) {
	p.advance(now)
	p.inFlight--
}

// InFlight returns the number of requests in flight.
func (p *Processor) InFlight() int {
	return p.inFlight
}

// SetSlowdown multiplies the duration of all work by factor.
func (p *Processor) SetSlowdown(now time.Time, factor float64) {
	p.advance(now)
	p.slowdown = factor
}

// Start adds a job whose duration at full speed is work and returns its ID.
func (p *Processor) Start(now time.Time, work time.Duration) uint64 {
	p.advance(now)
	p.lastJobID++
	heap.Push(&p.jobs, job{id: p.lastJobID, finish: p.virtualTime + work})
	return p.lastJobID
}

// Cancel removes an unfinished job.
func (p *Processor) Cancel(now time.Time, id uint64) {
	p.advance(now)
	for i, j := range p.jobs {
		if j.id == id {
			heap.Remove(&p.jobs, i)
			return
		}
	}
}

// PopFinished removes the jobs that are finished at now and returns their IDs.
func (p *Processor) PopFinished(now time.Time) []uint64 {
	p.advance(now)
	var done []uint64
	for len(p.jobs) > 0 && p.jobs[0].finish <= p.virtualTime {
		done = append(done, heap.Pop(&p.jobs).(job).id)
	}
	return done
}

// NextFinish returns the time until the next job finishes at the current speed, and false if there are no jobs.
func (p *Processor) NextFinish(now time.Time) (time.Duration, bool) {
	p.advance(now)
	if len(p.jobs) == 0 {
		return 0, false
	}
	remaining := max(p.jobs[0].finish-p.virtualTime, 0)
	return time.Duration(float64(remaining)/p.speed()) + 1, true
}

// advance moves the virtual time, which is the work done on each running job, to now.
func (p *Processor) advance(now time.Time) {
	if elapsed := now.Sub(p.updated); elapsed > 0 {
		p.virtualTime += time.Duration(float64(elapsed) * p.speed())
		p.updated = now
	}
}

// speed returns the work done on each job per unit of time, which is 1 at full speed.
func (p *Processor) speed() float64 {
	full := 1 / p.slowdown
	load := float64(p.inFlight) / p.slots
	if load <= 1 {
		return full
	}
	return full / load / (1 + p.contention*(load-1))
}
