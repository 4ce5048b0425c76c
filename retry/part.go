package retry

import "sync/atomic"

// A Part is the share of an allowance that was moved to one call. What a lost answer doesn't return is
// lost. It is safe for concurrent use.
type Part struct {
	from    *Allowance
	size    int
	settled atomic.Bool
}

// Size returns the attempts that were moved.
func (p *Part) Size() int {
	return p.size
}

// Return puts back the unused attempts that the call's answer reports, at most the part's size, and
// returns how many; only the first answer counts.
func (p *Part) Return(unused int) int {
	if !p.settled.CompareAndSwap(false, true) {
		return 0
	}
	returned := min(max(unused, 0), p.size)
	p.from.Return(returned)
	return returned
}
