// Package store runs a replica. It persists the state of the replica in a journal, exchanges messages with other
// instances over peer streams and applies committed commands to a state machine.
//
// Proposals that arrive during a journal sync are persisted together by the next sync. Propose returns a result after
// the command is committed and applied on this instance. Every error except ErrUnavailable means that the command is
// never applied.
package store
