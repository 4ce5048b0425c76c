package claim

import "time"

// An Attempt is the daemon's state machine for one claim. It is not safe for concurrent use. Its name must be unique
// among all attempts ever made, including those of other incarnations of the daemon.
type Attempt struct {
	name         string
	key          Key
	requestHash  [32]byte
	startTimeout time.Duration
	firstSent    time.Time
	state        AttemptState
}

// NewAttempt returns an Attempt whose request may start only within startTimeout after its claim was first sent.
func NewAttempt(name string, key Key, requestHash [32]byte, startTimeout time.Duration) *Attempt {
	return &Attempt{name: name, key: key, requestHash: requestHash, startTimeout: startTimeout, state: AttemptNew}
}

// Name returns the attempt's name.
func (a *Attempt) Name() string { return a.name }

// Key returns the claimed key.
func (a *Attempt) Key() Key { return a.key }

// RequestHash returns the hash of the request.
func (a *Attempt) RequestHash() [32]byte { return a.requestHash }

// State returns the state of the attempt.
func (a *Attempt) State() AttemptState { return a.state }

// MarkSent records that the claim is being sent and reports whether it may be. An unanswered claim may be sent again
// until the start timeout is over.
func (a *Attempt) MarkSent(now time.Time) bool {
	switch a.state {
	case AttemptNew:
		a.firstSent = now
		a.state = AttemptSent
		return true
	case AttemptSent:
		return now.Sub(a.firstSent) < a.startTimeout
	default:
		return false
	}
}

// Resolve records the answer to the claim. Only the first answer counts.
func (a *Attempt) Resolve(state State) {
	if a.state != AttemptSent {
		return
	}
	a.state = AttemptLost
	if state == Won {
		a.state = AttemptWon
	}
}

// MayRun reports whether Start would allow the request to run at now.
func (a *Attempt) MayRun(now time.Time) bool {
	return a.state == AttemptWon && now.Sub(a.firstSent) < a.startTimeout
}

// Start allows the request to run and returns true at most once. No byte of the request may reach the backend server
// before Start has returned true.
func (a *Attempt) Start(now time.Time) bool {
	if !a.MayRun(now) {
		return false
	}
	a.state = AttemptStarted
	return true
}

// Release gives up an attempt that has not started. It reports whether a release must be sent to the Registry.
func (a *Attempt) Release() bool {
	switch a.state {
	case AttemptSent, AttemptWon:
		a.state = AttemptReleased
		return true
	case AttemptNew:
		a.state = AttemptReleased
		return false
	default:
		return false
	}
}

// Finish records that the request has run to its end. It reports whether the outcome must be sent to the Registry.
func (a *Attempt) Finish() bool {
	if a.state != AttemptStarted {
		return false
	}
	a.state = AttemptFinished
	return true
}
