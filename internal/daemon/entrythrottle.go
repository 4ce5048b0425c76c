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

// throttleQuiet is how long no request of a callee is refused before that is told as its end: the memory of the throttle.
const throttleEndDelay = time.Second

// An entryThrottle refuses requests at their entry while nearly all of those like them fail after they have run. Calls that a running
// request makes are let through: their refusal would fail what runs already.
type entryThrottle struct {
	logger      zerolog.Logger
	mu          sync.Mutex
	throttle    *priority.Throttle
	lastRefused map[priority.Callee]time.Time // when a request of the callee was refused last
}

func newEntryThrottle(logger zerolog.Logger) *entryThrottle {
	return &entryThrottle{logger: logger, throttle: priority.NewThrottle(), lastRefused: make(map[priority.Callee]time.Time)}
}

// refuses refuses a request that enters where it would hardly be answered well.
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

// tell logs the first refusal of a callee, and that there was none for a while; e.mu is held.
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

// ended takes in how a request that entered and was sent ended; what has not run, or was left, tells nothing.
func (e *entryThrottle) recordResult(c *call, got *answer, failed *attemptError) {
	if c.nested || failed != nil && (failed.notRun || failed.kind == refusal.Cancelled) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.throttle.RecordResult(time.Now(), c.callee(), failed == nil && got.status < http.StatusInternalServerError)
}
