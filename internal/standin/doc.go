// Package standin implements a simulated backend server for tests, the demo and measurements.
//
// The server has a number of slots, a distribution of service times, a cold start and a drain period.
// It announces itself to its daemon and respects cancellation and deadlines.
// As in a real server, requests beyond the number of slots slow down all requests in flight, and work
// on a request that later fails is wasted.
// Each response carries a digest of its request, so that a caller can verify that the response is
// complete and belongs to its request.
package standin
