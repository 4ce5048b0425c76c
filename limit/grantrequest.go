package limit

// An GrantRequest is a grant request: a holder sends it to the owner to get tokens of a workspace.
type GrantRequest struct {
	// ID increases with each request of one holder.
	ID        uint64
	Workspace string
	// Tokens is the number of tokens requested, including Waiting.
	Tokens int64
	// Waiting is the number of tokens that waiting requests need now; the rest is prefetch.
	Waiting int64
}
