// Package claim lets a request that may not be repeated run at most once.
//
// A Book is the replicated state: one attempt at most wins the claim for a workspace, route and idempotency key,
// and only that attempt may give it back, before it ran. An Attempt is the daemon's side: it runs at most once
// and only with a claim won. A key whose claim was dropped is expired for good, so an older resend never runs.
package claim
