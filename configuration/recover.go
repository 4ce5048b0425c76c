package configuration

import "time"

// GenerationRevisionSpan is the distance between the first revisions of two generations. A forced recovery starts a new
// generation, and the distance exceeds the number of revisions that it may have lost.
const GenerationRevisionSpan = 1_000_000_000

// Recover publishes the current set again under a revision above any that a forced recovery may have lost, and returns
// that revision. Deltas from an earlier revision then contain the whole set, because a lost revision may have had the
// same number with different content.
func (r *Registry) Recover(at time.Time, author, comment string) uint64 {
	r.revision = (r.revision/GenerationRevisionSpan + 1) * GenerationRevisionSpan
	r.recoveryRevision = r.revision
	rev := revision{Entry: HistoryEntry{Revision: r.revision, At: at.UTC(), ID: "recovery", Author: author, Comment: comment}}
	r.history = append(r.history, rev)
	r.dropOldest()
	return r.revision
}
