// Package daemon is the process beside one backend server.
//
// It serves callers and the sub-calls of its backend server over HTTP, forwards calls to the
// daemons of other targets, and admits those that reach its own backend server. The decisions are
// those of the packages at the root; this package does their input and output.
package daemon
