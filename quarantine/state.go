package quarantine

// A State is what is held against a fingerprint.
type State string

// The states of a fingerprint: a suspect needs a trial to run, a quarantined one doesn't run.
const (
	Clear       State = "clear"
	Suspect     State = "suspect"
	Quarantined State = "quarantined"
)
