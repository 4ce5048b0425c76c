package retry

import "sync/atomic"

// An Allowance is the number of extra attempts that a call may still make or pass on to its nested calls. It
// is safe for concurrent use.
type Allowance struct {
	remaining atomic.Int64
}

// NewAllowance returns an Allowance of n extra attempts, or of none if n is negative.
func NewAllowance(n int) *Allowance {
	a := &Allowance{}
	a.remaining.Store(int64(max(n, 0)))
	return a
}

// Take removes up to n attempts and returns the number removed.
func (a *Allowance) Take(n int) int {
	for {
		remaining := a.remaining.Load()
		taken := min(int64(max(n, 0)), remaining)
		if taken == 0 || a.remaining.CompareAndSwap(remaining, remaining-taken) {
			return int(taken)
		}
	}
}

// Return puts back n attempts that were taken. The caller must ensure that the same attempts are returned
// only once. A Reservation ensures it itself.
func (a *Allowance) Return(n int) {
	a.remaining.Add(int64(max(n, 0)))
}

// Left returns the number of remaining attempts.
func (a *Allowance) Left() int {
	return int(a.remaining.Load())
}

// Reserve takes up to n attempts for one nested call.
func (a *Allowance) Reserve(n int) *Reservation {
	return &Reservation{source: a, size: a.Take(n)}
}
