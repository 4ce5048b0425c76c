package priority

import (
	"slices"
	"time"
)

// A Level tells upstream daemons what a target sheds: every request below Priority, and of Priority itself a
// share of the hash space, until ValidUntil. The share is that of the request's workspace where Workspaces,
// sorted by hash, names it, and Share otherwise.
type Level struct {
	Priority   int
	Share      float64
	Workspaces []WorkspaceShare
	ValidUntil time.Time
}

// Sheds reports whether a request of origin is shed at now.
func (l *Level) Sheds(now time.Time, origin Origin) bool {
	return origin.ShedBy(l.ShareAt(now, origin))
}

// ShareAt returns the share that is shed at now of the requests that have origin's priority and workspace.
func (l *Level) ShareAt(now time.Time, origin Origin) float64 {
	switch {
	case !now.Before(l.ValidUntil) || origin.Priority < l.Priority:
		return 0
	case origin.Priority > l.Priority:
		return 1
	default:
		return l.shareOf(origin.Workspace)
	}
}

// partial reports whether the level sheds some requests of Priority itself.
func (l *Level) partial() bool {
	return l.Share > 0 || len(l.Workspaces) > 0
}

// priorityAt returns the priority at which the level sheds at now, beyond all others where it sheds nothing.
func (l *Level) priorityAt(now time.Time) int {
	if !now.Before(l.ValidUntil) {
		return priorities
	}
	return l.Priority
}

func (l *Level) sumOfShares(now time.Time) float64 {
	if !now.Before(l.ValidUntil) {
		return 0
	}
	sum := l.Share
	for _, s := range l.Workspaces {
		sum += s.Share
	}
	return sum
}

func (l *Level) shareOf(workspace string) float64 {
	if len(l.Workspaces) == 0 {
		return l.Share
	}
	return l.shareOfHash(HashWorkspace(workspace))
}

func (l *Level) shareOfHash(workspace WorkspaceHash) float64 {
	i, found := slices.BinarySearchFunc(l.Workspaces, workspace, compareWorkspace)
	if !found {
		return l.Share
	}
	return l.Workspaces[i].Share
}
