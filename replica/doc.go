// Package replica decides for one replica of the replicated log: election, replication, leases, snapshots
// and changes of members.
//
// It has no sockets, clocks or files. Its caller passes messages and the time to Step and Tick, then
// persists, sends and applies what Ready returns and confirms that with Advance. At most one leader is
// elected in a term, a committed entry is never lost or changed, all replicas apply the same prefix, and
// the leases of two leaders never overlap, as long as clocks differ in rate by less than ClockRateMargin.
package replica
