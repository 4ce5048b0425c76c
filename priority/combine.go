package priority

import (
	"cmp"
	"slices"
	"time"
)

// Stricter returns a level that sheds what either of the two sheds at now.
func Stricter(now time.Time, a, b Level) Level {
	switch {
	case !now.Before(a.ValidUntil):
		return b
	case !now.Before(b.ValidUntil) || a.Priority < b.Priority:
		return a
	case b.Priority < a.Priority:
		return b
	default:
		return combine(a, b)
	}
}

// CompareStrictness sorts the level that sheds less at now first.
func CompareStrictness(now time.Time, a, b Level) int {
	return cmp.Or(
		cmp.Compare(b.priorityAt(now), a.priorityAt(now)),
		cmp.Compare(a.sumOfShares(now), b.sumOfShares(now)),
	)
}

// combine joins two levels of one priority by the larger share of each workspace, for as long as both count.
func combine(a, b Level) Level {
	joined := Level{Priority: a.Priority, Share: max(a.Share, b.Share), ValidUntil: a.ValidUntil}
	if b.ValidUntil.Before(a.ValidUntil) {
		joined.ValidUntil = b.ValidUntil
	}
	for _, workspace := range workspacesOf(a, b) {
		share := max(a.shareOfHash(workspace), b.shareOfHash(workspace))
		joined.Workspaces = append(joined.Workspaces, WorkspaceShare{Workspace: workspace, Share: share})
	}
	return joined
}

// workspacesOf returns the workspaces that either level names, sorted.
func workspacesOf(a, b Level) []WorkspaceHash {
	named := make([]WorkspaceHash, 0, len(a.Workspaces)+len(b.Workspaces))
	for _, s := range slices.Concat(a.Workspaces, b.Workspaces) {
		named = append(named, s.Workspace)
	}
	slices.SortFunc(named, cmp.Compare[WorkspaceHash])
	return slices.Compact(named)
}
