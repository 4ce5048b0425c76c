// Package target keeps the announced targets and chooses one of them for a call.
//
// A Registry at the control leader turns announcements into deltas, a Table at each daemon holds what the
// deltas say, and a Chooser picks a target by the daemon's own observations. An older incarnation never
// replaces a newer one, and a target that drained, left or fell silent is given no new call.
package target
