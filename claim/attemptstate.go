package claim

// An AttemptState is the state of an Attempt at its daemon.
type AttemptState string

// The states of an attempt.
const (
	AttemptNew      AttemptState = "new"
	AttemptSent     AttemptState = "asked"
	AttemptWon      AttemptState = "won"
	AttemptLost     AttemptState = "lost"
	AttemptStarted  AttemptState = "started"
	AttemptFinished AttemptState = "finished"
	AttemptReleased AttemptState = "released"
)
