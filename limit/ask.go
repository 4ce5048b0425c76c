package limit

// An Ask requests tokens of a workspace from its owner.
type Ask struct {
	// ID is unique among the asks of one holder and increases.
	ID        uint64
	Workspace string
	// Tokens is the number wished for, Waiting included.
	Tokens int64
	// Waiting is the number of tokens for which requests wait now.
	Waiting int64
}
