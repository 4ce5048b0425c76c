// Package evacuation records which failure domains operators have taken out of use, as a part of the replicated state, and
// holds a daemon's view of them.
package evacuation
