package retry

import "sync/atomic"

// A Reservation is the portion of an Allowance that was moved to one nested call. If the answer of that call is
// lost, so are its unused attempts. It is safe for concurrent use.
type Reservation struct {
	source  *Allowance
	size    int
	settled atomic.Bool
}

// Size returns the number of attempts that were moved.
func (r *Reservation) Size() int {
	return r.size
}

// Release puts back the unused attempts reported by the answer of the nested call, at most the size of the
// reservation, and returns the number put back. Only the first answer counts: later calls put back nothing.
func (r *Reservation) Release(unused int) int {
	if !r.settled.CompareAndSwap(false, true) {
		return 0
	}
	returned := min(max(unused, 0), r.size)
	r.source.Return(returned)
	return returned
}
