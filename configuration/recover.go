package configuration

import "time"

// RevisionsOfGeneration is the distance between the first revisions of two generations, beyond any revision
// that was lost.
const RevisionsOfGeneration = 1_000_000_000

// Recover publishes the current set again, under a revision above any that a forced recovery may have lost.
// Whoever holds a revision from before it is sent the whole set: the lost part may have given the same numbers
// to other sets.
func (r *Registry) Recover(at time.Time, author, comment string) uint64 {
	r.revision = (r.revision/RevisionsOfGeneration + 1) * RevisionsOfGeneration
	r.recovered = r.revision
	made := revision{Entry: Entry{Revision: r.revision, At: at.UTC(), ID: "recovery", Author: author, Comment: comment}}
	r.revisions = append(r.revisions, made)
	r.dropOldest()
	return r.revision
}
