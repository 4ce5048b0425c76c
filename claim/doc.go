// Package claim makes requests with an idempotency key run at most once.
//
// A Registry is the replicated state machine: at most one attempt wins the claim of a workspace, route and idempotency
// key, and only that attempt can release the claim, before it runs. An Attempt is the daemon's side: it runs at most
// once and only after winning its claim. A key whose claim was removed stays expired, so that a late resend never runs.
package claim
