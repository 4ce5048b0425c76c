package priority

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// A WorkspaceShare is the share of one workspace's requests that a level sheds, from 0 to 1.
type WorkspaceShare struct {
	Workspace WorkspaceHash
	Share     float64
}

// A WorkspaceHash stands for the name of a workspace where the name would be too long to send.
type WorkspaceHash uint32

// HashWorkspace returns the hash of a workspace's name.
func HashWorkspace(name string) WorkspaceHash {
	return WorkspaceHash(xxhash.Sum64String(name))
}

func compareWorkspace(s WorkspaceShare, workspace WorkspaceHash) int {
	return cmp.Compare(s.Workspace, workspace)
}
