package priority

import (
	"cmp"
	"strings"
)

// workspaceArrivals is the decaying count of requests of one workspace at one priority.
type workspaceArrivals struct {
	name  string
	hash  WorkspaceHash
	share float64
	count float64
}

// compareDemand orders workspaces by demand relative to their share, the lowest first.
func compareDemand(a, b *workspaceArrivals) int {
	if order := cmp.Compare(a.count/a.share, b.count/b.share); order != 0 {
		return order
	}
	return strings.Compare(a.name, b.name)
}
