package room

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"sapphirespread.example/priority"
)

// Validity is how long a report counts after its target made it. It covers the run of a deep call tree, with whose
// answer the report travels.
const Validity = time.Second

// A Report is what one target of a service has room for: Cut sheds what it has no room for, until Cut.ValidUntil.
// TurnedAway is the share of the calls that its backend server turns away all the same.
type Report struct {
	Service    string
	Target     TargetHash
	Cut        priority.Level
	TurnedAway float64
}

// A TargetHash identifies a target in messages, where its name would take too much space.
type TargetHash uint32

// HashTarget returns the hash of a target name.
func HashTarget(name string) TargetHash {
	return TargetHash(xxhash.Sum64String(name))
}

// NewReport returns the report of a target that made it now, whose admission sheds by level, which may be zero, and whose
// backend server turns the given share away.
func NewReport(now time.Time, service, target string, level priority.Level, turnedAway float64) Report {
	validUntil := now.Add(Validity)
	if level.ValidUntil.IsZero() {
		level = priority.AdmitAll()
	}
	level.ValidUntil = validUntil
	return Report{Service: service, Target: HashTarget(target), Cut: level, TurnedAway: turnedAway}
}
