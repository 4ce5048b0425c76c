// Package standin is a small backend server for tests, the demo and measurements.
//
// It has slots, a distribution of service times, a cold start and a drain, announces itself to its
// daemon, and obeys cancellation and deadlines. Requests beyond its slots slow all others down, so
// that work spent on a request that later fails is wasted, as in a real server.
// Each answer carries a digest of its request: a caller can tell that the answer is whole and its own.
package standin
