package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	resendShards          = 16
	defaultResendWindow   = time.Minute
	defaultResendsOfShard = 1024
)

// A ResendKey names one request that its client may send again.
type ResendKey struct {
	Workspace      string
	Route          string
	IdempotencyKey string
}

// A ResendsOption configures Resends.
type ResendsOption func(*Resends)

// WithResendWindow sets how long after its first sending a request is known.
func WithResendWindow(d time.Duration) ResendsOption {
	return func(r *Resends) { r.window = d }
}

// WithResendBound sets how many requests each of the 16 shards knows; the oldest make room.
func WithResendBound(n int) ResendsOption {
	return func(r *Resends) { r.bound = max(n, 1) }
}

// Resends gives all sendings of one request the same allowance, as far as they reach one daemon. It is
// safe for concurrent use.
type Resends struct {
	window time.Duration
	bound  int
	shards [resendShards]resendShard
}

type resendShard struct {
	mu     sync.Mutex
	known  map[ResendKey]*Allowance
	oldest []resend // in the order of their first sending
}

type resend struct {
	key ResendKey
	at  time.Time
}

// NewResends returns a record of no requests.
func NewResends(opts ...ResendsOption) *Resends {
	r := &Resends{window: defaultResendWindow, bound: defaultResendsOfShard}
	for _, opt := range opts {
		opt(r)
	}
	for i := range r.shards {
		r.shards[i].known = make(map[ResendKey]*Allowance)
	}
	return r
}

// Enter returns the allowance of a request: n extra attempts at its first sending, and later what the
// earlier sendings left, less one for the sending itself.
func (r *Resends) Enter(now time.Time, key ResendKey, n int) *Allowance {
	s := &r.shards[xxhash.Sum64String(key.IdempotencyKey)%resendShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(now.Add(-r.window), r.bound)
	if allowance, known := s.known[key]; known {
		allowance.Take(1)
		return allowance
	}
	allowance := NewAllowance(n)
	s.known[key] = allowance
	s.oldest = append(s.oldest, resend{key: key, at: now})
	return allowance
}

// forget drops the requests first sent at or before until, and the oldest where there is no room for one more.
func (s *resendShard) forget(until time.Time, bound int) {
	n := 0
	for n < len(s.oldest) && (!s.oldest[n].at.After(until) || len(s.oldest)-n >= bound) {
		delete(s.known, s.oldest[n].key)
		n++
	}
	s.oldest = s.oldest[n:]
}
