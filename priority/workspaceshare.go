package priority

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// A WorkspaceShare is the share of a workspace's requests that a level sheds, from 0 to 1.
type WorkspaceShare struct {
	Workspace WorkspaceHash
	Share     float64
}

// A WorkspaceHash identifies a workspace in messages, where its name would take too much space.
type WorkspaceHash uint32

// HashWorkspace returns the hash of a workspace name.
func HashWorkspace(name string) WorkspaceHash {
	return WorkspaceHash(xxhash.Sum64String(name))
}

func compareWorkspace(s WorkspaceShare, workspace WorkspaceHash) int {
	return cmp.Compare(s.Workspace, workspace)
}
