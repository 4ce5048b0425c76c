// Package boottime reads a clock that also runs while the machine is suspended.
//
// The monotonic clock of package time stands still in a suspended machine, and the time of day may be set. Leases and
// grants that other processes count on are measured with this clock instead.
package boottime
