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
const throttleQuiet = time.Second

// An entryThrottle refuses requests at their entry while nearly all of those like them fail after they have run. Calls that a running
// request makes are let through: their refusal would fail what runs already.
type entryThrottle struct {
	logger   zerolog.Logger
	mu       sync.Mutex
	decision *priority.Throttle
	refused  map[priority.Callee]time.Time // when a request of the callee was refused last
}

func newEntryThrottle(logger zerolog.Logger) *entryThrottle {
	return &entryThrottle{logger: logger, decision: priority.NewThrottle(), refused: make(map[priority.Callee]time.Time)}
}

// refuses refuses a request that enters where it would hardly be answered well.
func (e *entryThrottle) refuses(c *call) *attemptError {
	if c.nested {
		return nil
	}
	now := time.Now()
	callee := c.callee()
	e.mu.Lock()
	defer e.mu.Unlock()
	refused := e.decision.ShouldRefuse(now, callee, rand.Float64())
	e.tell(now, callee, refused)
	if !refused {
		return nil
	}
	offered, succeeded := e.decision.RecentCounts(now, callee)
	return refuse(refusal.Overloaded, fmt.Sprintf("nearly all requests like it fail: %.1f of %.1f were answered well lately", succeeded, offered))
}

// tell logs the first refusal of a callee, and that there was none for a while; e.mu is held.
func (e *entryThrottle) tell(now time.Time, callee priority.Callee, refused bool) {
	last, refusing := e.refused[callee]
	state := ""
	switch {
	case refused:
		e.refused[callee] = now
		state = "entry: requests of a route are refused, as nearly all fail"
	case refusing && now.Sub(last) > throttleQuiet:
		delete(e.refused, callee)
		state = "entry: requests of a route are let through again"
	}
	if state == "" || refused && refusing {
		return
	}
	offered, succeeded := e.decision.RecentCounts(now, callee)
	e.logger.Info().Str("service", callee.Service).Str("route", callee.Route).Float64("offered-lately", offered).
		Float64("succeeded-lately", succeeded).Msg(state)
}

// ended takes in how a request that entered and was sent ended; what has not run, or was left, tells nothing.
func (e *entryThrottle) ended(c *call, got *answer, failed *attemptError) {
	if c.nested || failed != nil && (failed.notRun || failed.kind == refusal.Cancelled) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decision.RecordResult(time.Now(), c.callee(), failed == nil && got.status < http.StatusInternalServerError)
}
