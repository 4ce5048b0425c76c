package claim

// A State is the answer to a claim.
type State string

// The states of a claim.
const (
	// Won means that the attempt holds the claim and may run.
	Won State = "won"
	// Running means that another attempt holds the claim, or that the attempt itself has released it.
	Running State = "running"
	// Finished means that an attempt has or may have run. It comes with the outcome, which may be unknown.
	Finished State = "finished"
	// Expired means that the key is older than the retention.
	Expired State = "expired"
	// Full means that a limit on the number of keys is reached.
	Full State = "full"
	// Invalid means that the key or the attempt is malformed.
	Invalid State = "invalid"
	// Reused means that the key belongs to a request with another hash.
	Reused State = "reused"
)
