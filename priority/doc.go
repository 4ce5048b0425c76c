// Package priority implements admission control, queueing and load shedding for a target.
//
// A request that can still meet its deadline is not shed while a less important one waits in the same queue
// or is admitted in its place.
package priority
