package claim

// A State answers a claim.
type State string

// The states of a claim.
const (
	// Won is the answer to the one attempt that may run.
	Won State = "won"
	// Running means that another attempt holds the claim.
	Running State = "running"
	// Finished comes with the outcome of the attempt that ran.
	Finished State = "finished"
	// Expired means that the key is older than claims are kept.
	Expired State = "expired"
	// Full means that the book takes no further key like this.
	Full State = "full"
	// Invalid means that the key or the attempt is malformed.
	Invalid State = "invalid"
	// Reused means that the key was used for another request.
	Reused State = "reused"
)
