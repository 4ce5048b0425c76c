// Package priority decides which requests a target runs, queues and sheds.
//
// No request that could still meet its deadline is shed while one of lower priority waits in the same
// queue or is admitted in its place.
package priority
