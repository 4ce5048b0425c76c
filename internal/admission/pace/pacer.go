package pace

import (
	"math"
	"time"

	"sapphirespread.example/priority"
)

const (
	failingAnswers = 16 // weight of the failing share, in answers
	failingShare   = 0.5
	failingDivisor = 4 // the rate of a failing server begins at 1/failingDivisor of its recent starts
)

// A Pacer bounds how fast requests start at one backend server. It implements priority.Gate. The caller must serialize all
// calls with one lock.
type Pacer struct {
	learn    bool
	onEvent  func(Event)
	cold     cold
	wasCold  bool
	ramp     ramp
	share    callerShare
	slots    int
	running  int     // requests that have started and not ended
	failing  float64 // moving share of answers that failed
	ramps    uint64
	fellBack uint64
	arrivals startWindow
	usual    float64 // requests per second that arrive without a pace, 0 if unknown
}

// New returns a Pacer that bounds nothing until an announcement asks for it.
func New(opts ...Option) *Pacer {
	p := &Pacer{onEvent: func(Event) {}}
	p.share.full()
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Configure sets how many requests per second a cold server may be given, 0 for no bound, and how long a server is cold
// after its start.
func (p *Pacer) Configure(now time.Time, coldRate float64, coldStart time.Duration) {
	p.cold.configure(now, coldRate, coldStart)
}

// Learn sets whether each server that starts, turns cold or fails is paced, also without a configured cold rate.
func (p *Pacer) Learn(learn bool) { p.learn = learn }

// Hear applies an accepted announcement of the backend server.
func (p *Pacer) Hear(now time.Time, w Word) {
	p.slots = w.Slots
	p.learnUsual(now)
	isCold := w.ColdLeft > 0
	turnedCold := isCold && !p.wasCold
	p.wasCold = isCold
	p.cold.hear(now, w)
	switch {
	case isCold && p.cold.rate > 0:
		if !p.ramp.active || turnedCold || w.New {
			p.begin(now, TurnCold, p.cold.rate)
		}
	case p.learn && (w.New || turnedCold):
		kind := Started
		if turnedCold {
			kind = TurnCold
		}
		p.begin(now, kind, max(minStartRate, startPerSlot*float64(p.slots)))
	}
}

// Offered counts a request that arrives at the server's admission.
func (p *Pacer) Offered(now time.Time) {
	p.arrivals.add(now)
	if p.ramp.active {
		p.share.arrived(now)
		p.follow(now)
	}
}

// Open reports whether one more request may start now.
func (p *Pacer) Open(now time.Time) bool {
	if !p.cold.allows(now) {
		return false
	}
	if !p.ramp.active {
		return true
	}
	p.ramp.refill(now, p.bound(now))
	return p.ramp.tokens >= 1
}

// Started counts the start of a request.
func (p *Pacer) Started(now time.Time) {
	p.running++
	p.cold.started(now)
	if p.ramp.active {
		p.ramp.refill(now, p.bound(now))
		p.ramp.tokens--
	}
}

// Ended records the end of a run of route.
func (p *Pacer) Ended(now time.Time, route string, result priority.Result) {
	running := p.running
	p.running = max(0, p.running-1)
	if !p.ramp.active {
		p.watch(now, result)
		return
	}
	rate := p.ramp.rate
	if v := p.ramp.ended(now, route, result, running, p.bound(now)); v == crowded || v == failed {
		p.fellBack++
		p.share.lower(now, p.ramp.rate/rate)
		p.notify(now, FellBack)
	}
	p.follow(now)
}

// Rate returns how many requests per second may start, or +Inf if that is not bounded.
func (p *Pacer) Rate(now time.Time) float64 {
	if !p.ramp.active {
		return p.bound(now)
	}
	return min(p.ramp.rate, p.bound(now))
}

// Share returns the share of their usual requests that callers should send, from 1 to FullShare, or 0 if neither the
// configuration nor the settings ask for a pace.
func (p *Pacer) Share() int {
	if !p.learn && p.cold.rate <= 0 {
		return 0
	}
	return int(p.share.units())
}

// Stats returns a snapshot for metrics.
func (p *Pacer) Stats(now time.Time) Stats {
	s := Stats{Share: p.Share(), ColdLeftMs: p.cold.left(now).Milliseconds(), Ramps: p.ramps, FellBack: p.fellBack}
	if rate := p.Rate(now); !math.IsInf(rate, 1) {
		s.Pacing, s.Rate = true, rate
	}
	return s
}

// bound returns the configured rate while the server is cold, and +Inf otherwise.
func (p *Pacer) bound(now time.Time) float64 {
	if p.cold.active(now) {
		return p.cold.rate
	}
	return math.Inf(1)
}

// learnUsual updates the usual number of arrivals while callers send their full share.
func (p *Pacer) learnUsual(now time.Time) {
	if p.share.isFull() && !p.ramp.active {
		p.usual = (p.usual + float64(p.arrivals.count(now))) / 2
	}
}

func (p *Pacer) begin(now time.Time, kind EventKind, rate float64) {
	p.ramp.begin(now, rate)
	p.share.begin(now, rate, p.usual)
	p.failing = 0
	p.ramps++
	p.notify(now, kind)
}

// follow adapts the callers' share and ends the ramp once its rate no longer bounds anything.
func (p *Pacer) follow(now time.Time) {
	rate := p.Rate(now)
	wasFull := p.share.isFull()
	demand := p.share.follow(now, rate)
	enough := p.ramp.judged && demand > 0 && wasFull && rate >= sufficientFactor*demand
	if p.cold.active(now) || !enough && !p.ramp.isHealthy(now) {
		return
	}
	p.ramp.active = false
	p.share.full()
	p.notify(now, Finished)
}

// watch notices a server whose requests begin to fail, which is paced until they don't.
func (p *Pacer) watch(now time.Time, result priority.Result) {
	if !p.learn {
		return
	}
	switch result.Cause {
	case priority.CauseNone, priority.CauseErrored, priority.CauseNested:
		p.failing -= p.failing / failingAnswers
	case priority.CauseRefused, priority.CauseBroken:
		p.failing += (1 - p.failing) / failingAnswers
	case priority.CauseAborted:
	}
	if p.failing > failingShare {
		p.begin(now, Failing, float64(p.cold.starts.count(now))/failingDivisor)
	}
}

func (p *Pacer) notify(now time.Time, kind EventKind) {
	p.onEvent(Event{Kind: kind, Rate: p.Rate(now), Share: p.Share(), ColdLeft: p.cold.left(now)})
}
