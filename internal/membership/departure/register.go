package departure

import (
	"time"
)

// A Register holds the last departure of each target name. It is not safe for concurrent use.
type Register struct {
	retention time.Duration
	entries   map[string]entry
}

// An entry is a departure with the time at which it is forgotten.
type entry struct {
	startedAt time.Time
	phase     Phase
	until     time.Time
}

// NewRegister returns an empty register.
func NewRegister(opts ...RegisterOption) *Register {
	r := &Register{retention: defaultRetention, entries: make(map[string]entry)}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Record records a departure and forgets those whose retention is over. It reports false for an invalid departure, or for
// one of a process that another has replaced.
func (r *Register) Record(at time.Time, d Departure) bool {
	r.expire(at)
	if d.Target == "" || d.StartedAt.IsZero() || d.Phase != Draining && d.Phase != Left {
		return false
	}
	known, exists := r.entries[d.Target]
	if exists && d.StartedAt.Before(known.startedAt) {
		return false
	}
	phase := d.Phase
	if exists && d.StartedAt.Equal(known.startedAt) {
		phase = max(phase, known.phase)
	}
	r.entries[d.Target] = entry{startedAt: d.StartedAt, phase: phase, until: at.Add(r.retention)}
	return true
}

// Phase returns the phase of the process of target that started at startedAt. A process that started before a leaving one
// has left.
func (r *Register) Phase(target string, startedAt time.Time) Phase {
	known, exists := r.entries[target]
	switch {
	case !exists || startedAt.IsZero() || startedAt.After(known.startedAt):
		return None
	case startedAt.Before(known.startedAt):
		return Left
	default:
		return known.phase
	}
}

func (r *Register) expire(at time.Time) {
	for target, known := range r.entries {
		if !at.Before(known.until) {
			delete(r.entries, target)
		}
	}
}
