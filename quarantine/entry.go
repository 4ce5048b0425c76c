package quarantine

import "time"

// A Crash is a crash of a backend server while a request with the fingerprint was in flight there.
type Crash struct {
	ID     string    `json:"id"`
	Target string    `json:"target"`
	At     time.Time `json:"at"`
}

// A Trial is a permitted run of a suspect. A suspect has at most one trial at a time.
type Trial struct {
	Target string    `json:"target"`
	At     time.Time `json:"at"`
}

// An Entry records the state, the crashes and the trial of one fingerprint. It expires at Until.
type Entry struct {
	Fingerprint Fingerprint
	State       State
	Until       time.Time
	Crashes     []Crash
	Trial       *Trial
}

func (e *Entry) hasCrash(id string) bool {
	for _, crash := range e.Crashes {
		if crash.ID == id {
			return true
		}
	}
	return false
}

func (e *Entry) crashedTarget(target string) bool {
	for _, crash := range e.Crashes {
		if crash.Target == target {
			return true
		}
	}
	return false
}

func (e *Entry) hasTrialAt(target string) bool {
	return e.Trial != nil && e.Trial.Target == target
}

func (e *Entry) clone() Entry {
	c := *e
	c.Crashes = append([]Crash(nil), e.Crashes...)
	if e.Trial != nil {
		trial := *e.Trial
		c.Trial = &trial
	}
	return c
}
