package claim

// An AttemptState is how far an attempt came at its daemon.
type AttemptState string

// The states of an attempt.
const (
	AttemptNew      AttemptState = "new"
	AttemptAsked    AttemptState = "asked"
	AttemptWon      AttemptState = "won"
	AttemptLost     AttemptState = "lost"
	AttemptStarted  AttemptState = "started"
	AttemptFinished AttemptState = "finished"
	AttemptReleased AttemptState = "released"
)
