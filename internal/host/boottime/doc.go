// Package boottime provides a monotonic clock that also advances while the machine is suspended.
//
// The monotonic clock of package time stops while the machine is suspended, and the wall clock can be set. Leases and
// grants that other processes rely on are therefore measured with this clock.
package boottime
