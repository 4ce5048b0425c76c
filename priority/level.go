package priority

import (
	"slices"
	"time"
)

// A Level tells upstream daemons which requests a target sheds until ValidUntil: all requests less important
// than Priority, and a share of the requests of Priority, selected by hash. Workspaces, sorted by hash,
// holds the shares of individual workspaces. Share applies to the other workspaces.
type Level struct {
	Priority   int
	Share      float64
	Workspaces []WorkspaceShare
	ValidUntil time.Time
}

// AdmitAll returns a level that sheds nothing, without an end of validity.
func AdmitAll() Level {
	return Level{Priority: priorityCount}
}

// Sheds reports whether the level sheds a request with origin at now.
func (l *Level) Sheds(now time.Time, origin Origin) bool {
	return origin.ShedBy(l.ShareAt(now, origin))
}

// ShareAt returns the share of requests with origin's priority and workspace that the level sheds at now,
// from 0 to 1.
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

// shedsPartially reports whether the level sheds some requests of Priority itself.
func (l *Level) shedsPartially() bool {
	return l.Share > 0 || len(l.Workspaces) > 0
}

// priorityAt returns the priority of the level, or priorityCount if it has expired at now.
func (l *Level) priorityAt(now time.Time) int {
	if !now.Before(l.ValidUntil) {
		return priorityCount
	}
	return l.Priority
}

func (l *Level) totalShareAt(now time.Time) float64 {
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
