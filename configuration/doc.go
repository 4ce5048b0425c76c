// Package configuration defines the objects that operators configure (workspaces, keys, services, priorities, limits,
// routes), validates them as one set and determines which set is in force.
//
// Registry is the replicated state machine. It accepts a publish request only if the request's base is the current
// revision, returns the first response again for a repeated publication ID, and never decreases the revision. View is
// the copy that a daemon serves. It never moves to a lower revision, and it is fresh only if a quorum confirmed its
// revision recently.
package configuration
