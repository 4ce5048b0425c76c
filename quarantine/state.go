package quarantine

// A State determines whether requests with a fingerprint may run.
type State string

// States of a fingerprint. A clear fingerprint runs without restriction, a suspect runs only in a trial, and a
// quarantined fingerprint doesn't run.
const (
	Clear       State = "clear"
	Suspect     State = "suspect"
	Quarantined State = "quarantined"
)
