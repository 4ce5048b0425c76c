// Package daemon implements the sidecar process of one backend server.
//
// A daemon accepts requests of callers and nested calls of its backend server over HTTP, forwards calls to the daemons
// of other targets and admits the calls that reach its own backend server. The decision logic lives in the packages at
// the repository root; this package connects it to the network and the clock.
package daemon
