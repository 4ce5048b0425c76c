// Package replica implements the consensus protocol of one replica of a replicated log, based on Raft: leader election
// with pre-votes, log replication, leader leases, snapshots, membership changes and forced recovery.
//
// The package does no input or output and reads no clock. The caller passes messages to Step and the time to Tick,
// then persists, sends and applies the work that Ready returns, and confirms it with Advance.
//
// At most one leader is elected in a term, a committed entry is never lost or changed, and all replicas apply the same
// sequence of entries. The leases of two leaders never overlap as long as clock rates differ by less than
// ClockRateMargin.
package replica
