package retry

import "sync/atomic"

// An Allowance is the number of extra attempts that one call may still spend or move to the calls below
// it. It is safe for concurrent use.
type Allowance struct {
	left atomic.Int64
}

// NewAllowance returns an allowance of n extra attempts; a negative n counts as none.
func NewAllowance(n int) *Allowance {
	a := &Allowance{}
	a.left.Store(int64(max(n, 0)))
	return a
}

// Take removes up to n attempts and returns how many it removed.
func (a *Allowance) Take(n int) int {
	for {
		left := a.left.Load()
		taken := min(int64(max(n, 0)), left)
		if taken == 0 || a.left.CompareAndSwap(left, left-taken) {
			return int(taken)
		}
	}
}

// Return puts back n attempts that were taken. The caller sees to it that an answer returns them once;
// Move does so by itself.
func (a *Allowance) Return(n int) {
	a.left.Add(int64(max(n, 0)))
}

// Left returns the attempts that are left.
func (a *Allowance) Left() int {
	return int(a.left.Load())
}

// Move takes up to n attempts for one call below.
func (a *Allowance) Move(n int) *Part {
	return &Part{from: a, size: a.Take(n)}
}
