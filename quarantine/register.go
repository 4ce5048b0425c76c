package quarantine

import (
	"bytes"
	"slices"
	"time"
)

// A Register holds the suspect and quarantined fingerprints of the whole fleet. It is a replicated state machine: the
// same calls in the same order produce the same state. It is not safe for concurrent use.
type Register struct {
	retention           time.Duration
	trialTimeout        time.Duration
	maximumEntries      int
	version             uint64
	entries             map[Fingerprint]*Entry
	changeVersions      map[Fingerprint]uint64 // version of the last change, including cleared fingerprints
	minimumDeltaVersion uint64                 // a list with an older version needs the full register
}

// maximumCleared is the number of cleared fingerprints whose versions are kept for deltas.
const maximumCleared = 4096

// NewRegister returns an empty register.
func NewRegister(opts ...RegisterOption) *Register {
	r := &Register{
		retention:      defaultRetention,
		trialTimeout:   defaultTrialTimeout,
		maximumEntries: defaultMaximumEntries,
		entries:        make(map[Fingerprint]*Entry),
		changeVersions: make(map[Fingerprint]uint64),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// RecordCrash records a crash for the fingerprints that were in flight and returns the changed entries. A crash counts
// once per fingerprint, even if several daemons report it.
func (r *Register) RecordCrash(at time.Time, crashID, target string, fps []Fingerprint) []Entry {
	var changed []Entry
	for _, fp := range fps {
		e := r.entries[fp]
		if e == nil {
			e = &Entry{Fingerprint: fp}
			r.entries[fp] = e
		}
		if e.hasCrash(crashID) {
			continue
		}
		r.addCrash(e, Crash{ID: crashID, Target: target, At: at})
		changed = append(changed, e.clone())
	}
	r.evictExcess()
	return changed
}

// RequestTrial requests a trial of a suspect at target and reports whether the suspect may run there. The request is
// denied if the fingerprint is quarantined, if it already has a trial, or if another suspect has a trial at target. A
// fingerprint without an entry may always run.
func (r *Register) RequestTrial(at time.Time, fp Fingerprint, target string) bool {
	e := r.entries[fp]
	if e == nil {
		return true
	}
	if e.State == Quarantined || e.Trial != nil || r.targetHasTrial(target) {
		return false
	}
	e.Trial = &Trial{Target: target, At: at}
	if trialUntil := at.Add(2 * r.trialTimeout); trialUntil.After(e.Until) {
		e.Until = trialUntil
	}
	r.markChanged(fp)
	return true
}

// RecordCompletion records that a suspect completed a run at target, and reports whether this cleared it. The run
// clears the suspect if it was its trial or if the suspect never crashed target.
func (r *Register) RecordCompletion(_ time.Time, fp Fingerprint, target string) bool {
	e := r.entries[fp]
	if e == nil || e.State != Suspect || e.crashedTarget(target) && !e.hasTrialAt(target) {
		return false
	}
	r.remove(fp)
	return true
}

// EndTrial ends a trial that neither completed nor crashed, for example a cancelled one, and reports whether there was
// one at target. The fingerprint remains a suspect.
func (r *Register) EndTrial(_ time.Time, fp Fingerprint, target string) bool {
	e := r.entries[fp]
	if e == nil || !e.hasTrialAt(target) {
		return false
	}
	e.Trial = nil
	r.markChanged(fp)
	return true
}

// Release clears a fingerprint at an operator's request and reports whether it had an entry.
func (r *Register) Release(_ time.Time, fp Fingerprint) bool {
	if r.entries[fp] == nil {
		return false
	}
	r.remove(fp)
	return true
}

// Expire counts trials that were not ended within the trial timeout as crashes, removes expired entries, and returns
// the number of entries that it changed.
func (r *Register) Expire(at time.Time) int {
	changed := 0
	for _, e := range r.sorted() {
		switch {
		case e.Trial != nil && at.Sub(e.Trial.At) >= r.trialTimeout:
			lost := *e.Trial
			r.addCrash(e, Crash{ID: "lost-trial " + lost.At.UTC().Format(time.RFC3339Nano), Target: lost.Target, At: at})
			changed++
		case !at.Before(e.Until) && e.Trial == nil:
			r.remove(e.Fingerprint)
			changed++
		}
	}
	return changed
}

// Entries returns all entries, sorted by fingerprint.
func (r *Register) Entries() []Entry {
	entries := make([]Entry, 0, len(r.entries))
	for _, e := range r.sorted() {
		entries = append(entries, e.clone())
	}
	return entries
}

// Version returns the current version. Every change increments it.
func (r *Register) Version() uint64 {
	return r.version
}

// Delta returns the entries that changed after version from, the fingerprints cleared since, and the current version.
// If the register can't compute the difference, it returns all entries and sets full.
func (r *Register) Delta(from uint64) (entries []Entry, cleared []Fingerprint, to uint64, full bool) {
	if from == 0 || from < r.minimumDeltaVersion || from > r.version {
		return r.Entries(), nil, r.version, true
	}
	for fp, version := range r.changeVersions {
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

// addCrash adds a crash to an entry, ends its trial and restarts its retention. The second crash quarantines the entry.
func (r *Register) addCrash(e *Entry, crash Crash) {
	e.Crashes = append(e.Crashes, crash)
	e.Trial = nil
	e.Until = crash.At.Add(r.retention)
	e.State = Suspect
	if len(e.Crashes) > 1 {
		e.State = Quarantined
	}
	r.markChanged(e.Fingerprint)
}

func (r *Register) targetHasTrial(target string) bool {
	for _, e := range r.entries {
		if e.hasTrialAt(target) {
			return true
		}
	}
	return false
}

func (r *Register) markChanged(fp Fingerprint) {
	r.version++
	r.changeVersions[fp] = r.version
}

func (r *Register) remove(fp Fingerprint) {
	delete(r.entries, fp)
	r.markChanged(fp)
	if len(r.changeVersions) > len(r.entries)+maximumCleared {
		r.pruneCleared()
	}
}

// pruneCleared removes the versions of cleared fingerprints. Lists with an older version then need the full register.
func (r *Register) pruneCleared() {
	for fp := range r.changeVersions {
		if r.entries[fp] == nil {
			delete(r.changeVersions, fp)
		}
	}
	r.minimumDeltaVersion = r.version
}

func (r *Register) evictExcess() {
	if len(r.entries) <= r.maximumEntries {
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
	for _, e := range entries[:len(entries)-r.maximumEntries] {
		r.remove(e.Fingerprint)
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
