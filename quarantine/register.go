package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// A Register holds the suspects and the quarantined of the whole fleet. It is replicated: the same calls
// in the same order give the same state. It is called by one goroutine.
type Register struct {
	hold         time.Duration
	trialTimeout time.Duration
	bound        int
	version      uint64
	entries      map[Fingerprint]*Entry
	changed      map[Fingerprint]uint64 // version of the last change, also of cleared ones
	wholeBelow   uint64                 // a list behind this version needs the whole
}

const keptCleared = 4096

// NewRegister returns an empty register.
func NewRegister(opts ...RegisterOption) *Register {
	r := &Register{
		hold:         defaultHold,
		trialTimeout: defaultTrialTimeout,
		bound:        defaultBound,
		entries:      make(map[Fingerprint]*Entry),
		changed:      make(map[Fingerprint]uint64),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Report takes the fingerprints that were in flight at a crash and returns the entries that it changed.
// The same crash counts once for each fingerprint, whoever reports it.
func (r *Register) Report(at time.Time, crashID, target string, fps []Fingerprint) []Entry {
	var changed []Entry
	for _, fp := range fps {
		e := r.entries[fp]
		if e == nil {
			e = &Entry{Fingerprint: fp}
			r.entries[fp] = e
		}
		if e.crashedBy(crashID) {
			continue
		}
		r.accuse(e, Crash{ID: crashID, Target: target, At: at})
		changed = append(changed, e.clone())
	}
	r.makeRoom()
	return changed
}

// Trial asks to run a suspect at target and reports whether it may: it runs nowhere else, and no other
// suspect has a trial there. A fingerprint that nothing is held against may always run.
func (r *Register) Trial(at time.Time, fp Fingerprint, target string) bool {
	e := r.entries[fp]
	if e == nil {
		return true
	}
	if e.State == Quarantined || e.Trial != nil || r.trying(target) {
		return false
	}
	e.Trial = &Trial{Target: target, At: at}
	if held := at.Add(2 * r.trialTimeout); held.After(e.Until) {
		e.Until = held
	}
	r.mark(fp)
	return true
}

// Ran clears a suspect that ran whole at target: in its trial, or where it never crashed.
func (r *Register) Ran(_ time.Time, fp Fingerprint, target string) bool {
	e := r.entries[fp]
	if e == nil || e.State != Suspect || e.crashedAt(target) && !e.triedAt(target) {
		return false
	}
	r.drop(fp)
	return true
}

// EndTrial ends a trial that neither ran whole nor crashed, such as a cancelled one; the suspect stays.
func (r *Register) EndTrial(_ time.Time, fp Fingerprint, target string) bool {
	e := r.entries[fp]
	if e == nil || !e.triedAt(target) {
		return false
	}
	e.Trial = nil
	r.mark(fp)
	return true
}

// Release clears a fingerprint by an operator's will and reports whether it was held.
func (r *Register) Release(_ time.Time, fp Fingerprint) bool {
	if r.entries[fp] == nil {
		return false
	}
	r.drop(fp)
	return true
}

// Expire takes trials that nobody ended for crashes, drops what is held no longer, and returns how many
// entries it changed.
func (r *Register) Expire(at time.Time) int {
	changed := 0
	for _, e := range r.sorted() {
		switch {
		case e.Trial != nil && at.Sub(e.Trial.At) >= r.trialTimeout:
			lost := *e.Trial
			r.accuse(e, Crash{ID: "lost-trial " + lost.At.UTC().Format(time.RFC3339Nano), Target: lost.Target, At: at})
			changed++
		case !at.Before(e.Until) && e.Trial == nil:
			r.drop(e.Fingerprint)
			changed++
		}
	}
	return changed
}

// Entries returns all entries in the order of their fingerprints.
func (r *Register) Entries() []Entry {
	entries := make([]Entry, 0, len(r.entries))
	for _, e := range r.sorted() {
		entries = append(entries, e.clone())
	}
	return entries
}

// Version returns the version that the next delta leads to.
func (r *Register) Version() uint64 {
	return r.version
}

// Delta returns what changed after from: the entries, those cleared, the version that it leads to, and
// whether it is the whole.
func (r *Register) Delta(from uint64) (entries []Entry, cleared []Fingerprint, to uint64, whole bool) {
	if from == 0 || from < r.wholeBelow || from > r.version {
		return r.Entries(), nil, r.version, true
	}
	for fp, version := range r.changed {
		if version <= from {
			continue
		}
		if e := r.entries[fp]; e != nil {
			entries = append(entries, e.clone())
		} else {
			cleared = append(cleared, fp)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	slices.SortFunc(cleared, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return entries, cleared, r.version, false
}

// accuse counts a crash against an entry: the second one quarantines it.
func (r *Register) accuse(e *Entry, crash Crash) {
	e.Crashes = append(e.Crashes, crash)
	e.Trial = nil
	e.Until = crash.At.Add(r.hold)
	e.State = Suspect
	if len(e.Crashes) > 1 {
		e.State = Quarantined
	}
	r.mark(e.Fingerprint)
}

func (r *Register) trying(target string) bool {
	for _, e := range r.entries {
		if e.triedAt(target) {
			return true
		}
	}
	return false
}

func (r *Register) mark(fp Fingerprint) {
	r.version++
	r.changed[fp] = r.version
}

func (r *Register) drop(fp Fingerprint) {
	delete(r.entries, fp)
	r.mark(fp)
	if len(r.changed) > len(r.entries)+keptCleared {
		r.forgetCleared()
	}
}

// forgetCleared drops what is kept of cleared fingerprints; lists that have not heard get the whole.
func (r *Register) forgetCleared() {
	for fp := range r.changed {
		if r.entries[fp] == nil {
			delete(r.changed, fp)
		}
	}
	r.wholeBelow = r.version
}

func (r *Register) makeRoom() {
	if len(r.entries) <= r.bound {
		return
	}
	entries := r.sorted()
	slices.SortStableFunc(entries, func(a, b *Entry) int {
		if a.State != b.State {
			if a.State == Suspect {
				return -1
			}
			return 1
		}
		return a.Until.Compare(b.Until)
	})
	for _, e := range entries[:len(entries)-r.bound] {
		r.drop(e.Fingerprint)
	}
}

func (r *Register) sorted() []*Entry {
	entries := make([]*Entry, 0, len(r.entries))
	for _, e := range r.entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b *Entry) int { return bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return entries
}
