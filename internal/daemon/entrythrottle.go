package daemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

// throttleEndDelay is the time without a refusal after which the throttling of a callee is logged as over. It equals
// the time constant of the throttle's counts.
const throttleEndDelay = time.Second

// An entryThrottle refuses requests of callers while nearly all requests to the same callee fail after they have run.
// It lets nested calls through, because refusing one would fail the request that made it and already runs.
type entryThrottle struct {
	logger      zerolog.Logger
	mu          sync.Mutex
	throttle    *priority.Throttle
	lastRefused map[priority.Callee]time.Time // time of the last refusal of each throttled callee
}

func newEntryThrottle(logger zerolog.Logger) *entryThrottle {
	return &entryThrottle{logger: logger, throttle: priority.NewThrottle(), lastRefused: make(map[priority.Callee]time.Time)}
}

// check returns a refusal if c is a caller's request that is likely to fail, or nil.
func (e *entryThrottle) check(c *call) *attemptError {
	if c.nested {
		return nil
	}
	now := time.Now()
	callee := c.callee()
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := e.throttle.ShouldRefuse(now, callee, rand.Float64())
	e.logTransition(now, callee, refused)
	if !refused {
		return nil
	}
	offered, succeeded := e.throttle.RecentCounts(now, callee)
	return refuse(refusal.Overloaded, fmt.Sprintf("nearly all requests like it fail: %.1f of %.1f were answered well lately", succeeded, offered))
}

// logTransition logs the first refusal of a callee, and the end of the throttling after throttleEndDelay without one.
// The caller must hold e.mu.
func (e *entryThrottle) logTransition(now time.Time, callee priority.Callee, refused bool) {
	last, refusing := e.lastRefused[callee]
	transition := ""
	switch {
	case refused:
		e.lastRefused[callee] = now
		transition = "entry: requests of a route are refused, as nearly all fail"
	case refusing && now.Sub(last) > throttleEndDelay:
		delete(e.lastRefused, callee)
		transition = "entry: requests of a route are let through again"
	}
	if transition == "" || refused && refusing {
		return
	}
	offered, succeeded := e.throttle.RecentCounts(now, callee)
	e.logger.Info().Str("service", callee.Service).Str("route", callee.Route).Float64("offered-lately", offered).
		Float64("succeeded-lately", succeeded).Msg(transition)
}

// recordResult records whether a caller's request succeeded. It ignores requests that have not run and cancelled ones,
// because their results say nothing about the callee.
func (e *entryThrottle) recordResult(c *call, got *answer, failed *attemptError) {
	if c.nested || failed != nil && (failed.notRun || failed.kind == refusal.Cancelled) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.throttle.RecordResult(time.Now(), c.callee(), failed == nil && got.status < http.StatusInternalServerError)
}
