package connection

import "sync/atomic"

// Stats counts how requests got their connections.
type Stats struct {
	// Opened is the number of new connections, and Reused that of requests on a kept one.
	Opened uint64 `json:"opened"`
	Reused uint64 `json:"reused"`
	// Awaited is the number of the reused ones for which a request waited.
	Awaited uint64 `json:"awaited"`
	// Waiting is the number of requests that wait for a connection now.
	Waiting int `json:"waiting"`
}

type counters struct {
	opened, reused, awaited atomic.Uint64
}

// Stats returns the counts since the pool was made.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	waiting := len(p.waiters)
	p.mu.Unlock()
	return Stats{
		Opened: p.counters.opened.Load(), Reused: p.counters.reused.Load(), Awaited: p.counters.awaited.Load(), Waiting: waiting,
	}
}
