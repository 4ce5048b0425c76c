// Package pace finds how fast a backend server that has just started or recovered may be given requests.
//
// A Pacer stands in front of the concurrency limit at the server's own daemon, through which every request to the server
// passes. It bounds the starts a second: to the rate that the configuration allows a cold server, and from there, or from a
// low rate without one, to a rate that doubles with each round of good answers and halves with a bad one. It also computes
// the share of their usual requests that callers should send meanwhile. It has no clock, socket or goroutine; the caller
// passes the time in and serializes all calls.
package pace
