package priority

import (
	"cmp"
	"strings"
)

// workspaceArrivals is the demand of one workspace at one priority, in fading counts.
type workspaceArrivals struct {
	name  string
	hash  WorkspaceHash
	share float64
	count float64
}

// compareDemand sorts the least demanding for its share first.
func compareDemand(a, b *workspaceArrivals) int {
	if order := cmp.Compare(a.count/a.share, b.count/b.share); order != 0 {
		return order
	}
	return strings.Compare(a.name, b.name)
}
