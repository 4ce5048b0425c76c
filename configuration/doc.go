// Package configuration holds the operators' objects (workspaces, keys, services, priorities, limits, routes),
// checks them as one set, and decides which set is in force.
//
// Registry is the replicated side: a publish is accepted only on the revision it builds on, a publication id
// keeps its first answer, and revisions never reverse. View is the side of a daemon: it never applies a lower
// revision and calls itself fresh only while a quorum confirmed its revision recently.
package configuration
