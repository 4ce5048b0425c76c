// Package store runs a replica: it persists through the journal, exchanges messages over peer streams and
// applies committed commands to one state machine.
//
// All proposals that arrive during one sync share the next one. Propose returns a result only once its
// command is committed and applied here; every error but ErrUnavailable means that it never will be.
package store
