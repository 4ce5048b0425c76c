package quarantine

import "time"

// A Crash is one crash of a backend server while a fingerprint was in flight there.
type Crash struct {
	ID     string    `json:"id"`
	Target string    `json:"target"`
	At     time.Time `json:"at"`
}

// A Trial is the one run that a suspect is granted at a time.
type Trial struct {
	Target string    `json:"target"`
	At     time.Time `json:"at"`
}

// An Entry is what the register holds against one fingerprint until Until.
type Entry struct {
	Fingerprint Fingerprint
	State       State
	Until       time.Time
	Crashes     []Crash
	Trial       *Trial
}

func (e *Entry) crashedBy(id string) bool {
	for _, crash := range e.Crashes {
		if crash.ID == id {
			return true
		}
	}
	return false
}

func (e *Entry) crashedAt(target string) bool {
	for _, crash := range e.Crashes {
		if crash.Target == target {
			return true
		}
	}
	return false
}

func (e *Entry) triedAt(target string) bool {
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
