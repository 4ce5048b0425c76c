package limit

// A Bucket is the rate and the burst of one workspace.
type Bucket struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst int64
}

// A NamedBucket is the bucket of the named workspace.
type NamedBucket struct {
	Workspace string
	Bucket    Bucket
}
