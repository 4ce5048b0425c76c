package limit

// BucketStats describes the state of one bucket at its owner.
type BucketStats struct {
	Workspace string
	// Level is the number of whole tokens available for grants.
	Level int64
	// Outstanding is the number of tokens in open grants.
	Outstanding int64
	// Grants is the number of open grants.
	Grants int
	// Held is the number of queued grant requests.
	Held int
}
