// Package load sends the requests of many workspaces and judges their answers.
//
// The load is open: requests arrive at times planned from a seed, however slow the answers are. An
// answer counts as good only where it is whole, belongs to its own request and came within the
// deadline. A refusal counts as wrongful where a reference token bucket at the caller's side finds
// that its workspace was within its rate and burst.
package load
