// Package target implements the membership of targets and load balancing among them.
//
// The Registry of the control leader turns announcements into versioned deltas. The Table of each daemon applies the
// deltas, and its Chooser picks a target for each call from the daemon's own observations. An older incarnation never
// replaces a newer one, and a target that drains, has left or is silent gets no new calls.
package target
