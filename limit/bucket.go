package limit

// A Bucket holds the rate and burst limits of one workspace.
type Bucket struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst int64
}

// A NamedBucket assigns a bucket to a workspace.
type NamedBucket struct {
	Workspace string
	Bucket    Bucket
}
