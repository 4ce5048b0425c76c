package limit

// BucketStats is the state of one bucket at its owner.
type BucketStats struct {
	Workspace string
	// Level is in whole tokens.
	Level int64
	// Outstanding is the number of tokens in open grants.
	Outstanding int64
	// Grants is the number of open grants.
	Grants int
	// Held is the number of asks that are held back.
	Held int
}
