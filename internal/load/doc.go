// Package load generates the requests of many workspaces and classifies the responses.
//
// The load is open-loop: requests arrive at times planned from a seed, regardless of how slow the responses are. An
// answer counts as good only if it is complete, belongs to its own request and arrives within the deadline. A refusal
// counts as wrongful if a reference token bucket on the caller's side finds that the workspace was within its rate
// and burst.
package load
