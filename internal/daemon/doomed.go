package daemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

// doomed refuses requests at their entry while nearly all of those like them fail after they have run. Calls that a running
// request makes are let through: their refusal would fail what runs already.
type doomed struct {
	mu       sync.Mutex
	throttle *priority.Throttle
}

func newDoomed() *doomed {
	return &doomed{throttle: priority.NewThrottle()}
}

// refuses refuses a request that enters where it would hardly be answered well.
func (d *doomed) refuses(c *call) *attemptError {
	if c.nested {
		return nil
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.throttle.Refuses(now, c.callee(), rand.Float64()) {
		return nil
	}
	offered, succeeded := d.throttle.Lately(now, c.callee())
	return refuse(refusal.Overloaded, fmt.Sprintf("nearly all requests like it fail: %.1f of %.1f were answered well lately", succeeded, offered))
}

// ended takes in how a request that entered and was sent ended; what has not run, or was left, tells nothing.
func (d *doomed) ended(c *call, got *answer, failed *attemptError) {
	if c.nested || failed != nil && (failed.notRun || failed.kind == refusal.Cancelled) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.throttle.Ended(time.Now(), c.callee(), failed == nil && got.status < http.StatusInternalServerError)
}
