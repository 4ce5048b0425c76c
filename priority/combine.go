package priority

import (
	"cmp"
	"slices"
	"time"
)

// Stricter returns a level that sheds every request that a or b sheds at now.
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

// CompareStrictness orders levels by how much they shed at now, the least strict first.
func CompareStrictness(now time.Time, a, b Level) int {
	return cmp.Or(
		cmp.Compare(b.priorityAt(now), a.priorityAt(now)),
		cmp.Compare(a.totalShareAt(now), b.totalShareAt(now)),
	)
}

// combine merges two levels of the same priority. It takes the larger share for each workspace and the
// earlier end of validity.
func combine(a, b Level) Level {
	combined := Level{Priority: a.Priority, Share: max(a.Share, b.Share), ValidUntil: a.ValidUntil}
	if b.ValidUntil.Before(a.ValidUntil) {
		combined.ValidUntil = b.ValidUntil
	}
	for _, workspace := range namedWorkspaces(a, b) {
		share := max(a.shareOfHash(workspace), b.shareOfHash(workspace))
		combined.Workspaces = append(combined.Workspaces, WorkspaceShare{Workspace: workspace, Share: share})
	}
	return combined
}

// namedWorkspaces returns the sorted hashes of the workspaces that have their own share in either level.
func namedWorkspaces(a, b Level) []WorkspaceHash {
	named := make([]WorkspaceHash, 0, len(a.Workspaces)+len(b.Workspaces))
	for _, s := range slices.Concat(a.Workspaces, b.Workspaces) {
		named = append(named, s.Workspace)
	}
	slices.SortFunc(named, cmp.Compare[WorkspaceHash])
	return slices.Compact(named)
}
