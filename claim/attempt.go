package claim

import "time"

// An Attempt is the daemon's side of one claim; it is used by one goroutine. Its name must be unique among all
// attempts ever made, also by other incarnations of the daemon.
type Attempt struct {
	name     string
	key      Key
	hash     [32]byte
	within   time.Duration
	firstAsk time.Time
	state    AttemptState
}

// NewAttempt returns an attempt that may start to run only within a bound after its claim was first sent.
func NewAttempt(name string, key Key, requestHash [32]byte, within time.Duration) *Attempt {
	return &Attempt{name: name, key: key, hash: requestHash, within: within, state: AttemptNew}
}

// Name returns the attempt's name.
func (a *Attempt) Name() string { return a.name }

// Key returns what is claimed.
func (a *Attempt) Key() Key { return a.key }

// RequestHash returns the hash of the request.
func (a *Attempt) RequestHash() [32]byte { return a.hash }

// State returns how far the attempt came.
func (a *Attempt) State() AttemptState { return a.state }

// Ask notes that the claim is sent now, and tells whether it may be. An unanswered claim may be sent again.
func (a *Attempt) Ask(now time.Time) bool {
	switch a.state {
	case AttemptNew:
		a.firstAsk = now
		a.state = AttemptAsked
		return true
	case AttemptAsked:
		return now.Sub(a.firstAsk) < a.within
	default:
		return false
	}
}

// Answer takes in the book's answer; a repeated one changes nothing.
func (a *Attempt) Answer(state State) {
	if a.state != AttemptAsked {
		return
	}
	a.state = AttemptLost
	if state == Won {
		a.state = AttemptWon
	}
}

// MayRun tells whether Start would let the request run.
func (a *Attempt) MayRun(now time.Time) bool {
	return a.state == AttemptWon && now.Sub(a.firstAsk) < a.within
}

// Start lets the request run, once. Before it returned true, the backend server sees no byte.
func (a *Attempt) Start(now time.Time) bool {
	if !a.MayRun(now) {
		return false
	}
	a.state = AttemptStarted
	return true
}

// Release gives the attempt up before it ran, and tells whether the book must be told.
func (a *Attempt) Release() bool {
	switch a.state {
	case AttemptAsked, AttemptWon:
		a.state = AttemptReleased
		return true
	case AttemptNew:
		a.state = AttemptReleased
		return false
	default:
		return false
	}
}

// Finish notes that the request ran to its end, and tells whether the book must be told.
func (a *Attempt) Finish() bool {
	if a.state != AttemptStarted {
		return false
	}
	a.state = AttemptFinished
	return true
}
