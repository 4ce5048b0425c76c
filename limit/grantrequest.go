package limit

// A GrantRequest asks the owner for tokens of a workspace on behalf of a holder.
type GrantRequest struct {
	// ID increases with each request of one holder.
	ID        uint64
	Workspace string
	// Tokens is the number of tokens requested, including Waiting.
	Tokens int64
	// Waiting is the number of tokens that waiting requests need now; the rest is prefetch.
	Waiting int64
}
