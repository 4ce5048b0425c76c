package retry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	resendShards        = 16
	defaultResendWindow = time.Minute
	defaultShardBound   = 1024
)

// A ResendKey identifies a request that its client may resend.
type ResendKey struct {
	Workspace      string
	Route          string
	IdempotencyKey string
}

// A ResendTrackerOption configures a ResendTracker.
type ResendTrackerOption func(*ResendTracker)

// WithResendWindow sets how long a request is remembered after it was first sent.
func WithResendWindow(d time.Duration) ResendTrackerOption {
	return func(r *ResendTracker) { r.window = d }
}

// WithResendBound sets how many requests each of the 16 shards remembers. The oldest are evicted first.
func WithResendBound(n int) ResendTrackerOption {
	return func(r *ResendTracker) { r.bound = max(n, 1) }
}

// A ResendTracker gives all sends of the same request one shared allowance, as far as they arrive at the same
// daemon. It is safe for concurrent use.
type ResendTracker struct {
	window time.Duration
	bound  int
	shards [resendShards]resendShard
}

type resendShard struct {
	mu          sync.Mutex
	allowances  map[ResendKey]*Allowance
	oldestFirst []resend // ordered by firstSentAt
}

type resend struct {
	key         ResendKey
	firstSentAt time.Time
}

// NewResendTracker returns a ResendTracker that remembers no requests yet.
func NewResendTracker(opts ...ResendTrackerOption) *ResendTracker {
	r := &ResendTracker{window: defaultResendWindow, bound: defaultShardBound}
	for _, opt := range opts {
		opt(r)
	}
	for i := range r.shards {
		r.shards[i].allowances = make(map[ResendKey]*Allowance)
	}
	return r
}

// AllowanceFor returns the allowance of the request identified by key. The first send gets n extra attempts. A
// resend gets what the earlier sends left, less one attempt for the resend itself.
func (r *ResendTracker) AllowanceFor(now time.Time, key ResendKey, n int) *Allowance {
	s := &r.shards[xxhash.Sum64String(key.IdempotencyKey)%resendShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(now.Add(-r.window), r.bound)
	if allowance, known := s.allowances[key]; known {
		allowance.Take(1)
		return allowance
	}
	allowance := NewAllowance(n)
	s.allowances[key] = allowance
	s.oldestFirst = append(s.oldestFirst, resend{key: key, firstSentAt: now})
	return allowance
}

// evict removes the requests first sent at or before cutoff, and the oldest ones as needed to add one more.
func (s *resendShard) evict(cutoff time.Time, bound int) {
	n := 0
	for n < len(s.oldestFirst) && (!s.oldestFirst[n].firstSentAt.After(cutoff) || len(s.oldestFirst)-n >= bound) {
		delete(s.allowances, s.oldestFirst[n].key)
		n++
	}
	s.oldestFirst = s.oldestFirst[n:]
}
