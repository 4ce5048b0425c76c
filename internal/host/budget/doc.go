// Package budget adds up what the clients of a process hold in it and decides which of them are given up when that would
// exceed its bounds.
//
// The package does no I/O and has no clock: the time is passed in, and a connection that is given up is closed by the
// function that was passed with it.
package budget
