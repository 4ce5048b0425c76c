package daemon

import (
	"net/netip"
	"sync"
	"time"

	"sapphirespread.example/priority"
)

// returnTimeRetention is how long the estimate for a daemon that is no longer called is kept.
const returnTimeRetention = time.Minute

// returnTimes estimates for each other daemon how long a refusal takes to arrive from there.
type returnTimes struct {
	mu       sync.Mutex
	byPeer   map[netip.AddrPort]*peerReturnTime
	prunedAt time.Time
}

type peerReturnTime struct {
	priority.ReturnTime
	observedAt time.Time
}

func newReturnTimes() *returnTimes {
	return &returnTimes{byPeer: make(map[netip.AddrPort]*peerReturnTime)}
}

// observe records the time that a call spent on its way to the daemon at address and back.
func (r *returnTimes) observe(now time.Time, address netip.AddrPort, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	estimate := r.byPeer[address]
	if estimate == nil {
		estimate = &peerReturnTime{}
		r.byPeer[address] = estimate
	}
	estimate.observedAt = now
	estimate.Observe(elapsed)
	r.prune(now)
}

// margin returns how long before its deadline a call must be refused at address for the refusal to arrive in time.
func (r *returnTimes) margin(address netip.AddrPort, remaining time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if estimate := r.byPeer[address]; estimate != nil {
		return estimate.Margin(remaining)
	}
	var unknown priority.ReturnTime
	return unknown.Margin(remaining)
}

func (r *returnTimes) prune(now time.Time) {
	if now.Sub(r.prunedAt) < returnTimeRetention {
		return
	}
	r.prunedAt = now
	for address, estimate := range r.byPeer {
		if now.Sub(estimate.observedAt) >= returnTimeRetention {
			delete(r.byPeer, address)
		}
	}
}
