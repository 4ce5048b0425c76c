package daemon

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/priority"
)

const workspaceShareScale = 10_000 // encoded value of a workspace share of 1

// encodeLevel encodes level for a peer, or returns nil if level has expired.
func encodeLevel(level priority.Level, now time.Time) *peerpb.Level {
	if !now.Before(level.ValidUntil) {
		return nil
	}
	encoded := &peerpb.Level{
		Priority: int32(level.Priority),
		Share:    level.Share,
		ValidUs:  level.ValidUntil.Sub(now).Microseconds(),
	}
	for _, share := range level.Workspaces {
		encoded.Workspaces = append(encoded.Workspaces, uint32(share.Workspace))
		encoded.WorkspaceShares = append(encoded.WorkspaceShares, uint32(math.Round(share.Share*workspaceShareScale)))
	}
	return encoded
}

// decodeLevel returns the decoded level, or the zero level if encoded is absent or its lists differ in length.
func decodeLevel(encoded *peerpb.Level, now time.Time) priority.Level {
	shares := encoded.GetWorkspaceShares()
	if encoded.GetValidUs() <= 0 || len(shares) != len(encoded.GetWorkspaces()) {
		return priority.Level{}
	}
	level := priority.Level{
		Priority:   int(encoded.GetPriority()),
		Share:      encoded.GetShare(),
		ValidUntil: now.Add(time.Duration(encoded.GetValidUs()) * time.Microsecond),
	}
	for i, workspace := range encoded.GetWorkspaces() {
		share := priority.WorkspaceShare{Workspace: priority.WorkspaceHash(workspace), Share: float64(shares[i]) / workspaceShareScale}
		level.Workspaces = append(level.Workspaces, share)
	}
	slices.SortFunc(level.Workspaces, func(a, b priority.WorkspaceShare) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return level
}
