package priority_test

import (
	"testing"

	"sapphirespread.example/priority"
)

// TestBegunRequestsAreNotShedOnTheirWay answers the pattern of deep overload: a request of twelve nested calls, each of which
// another level could shed, comes through whole or is shed at its entry.
func TestBegunRequestsAreNotShedOnTheirWay(t *testing.T) {
	const requests, calls = 1000, 12
	level := priority.Level{Priority: 1, Share: 0.3}
	whole, wasted := 0, 0
	for hash := range uint64(requests) {
		entry := priority.Origin{Priority: 1, WholeHash: hash}
		if entry.ShedBy(level.Share) {
			continue
		}
		lost := false
		for call := range calls {
			// The level has risen since the entry, by more the deeper the call is.
			nested := priority.Origin{Priority: 1, WholeHash: hash, Begun: true}
			lost = lost || nested.ShedBy(level.Share+0.05*float64(call))
		}
		if lost {
			wasted++
		} else {
			whole++
		}
	}
	if wasted > 0 || whole < requests*6/10 {
		t.Errorf("%d whole, %d begun and wasted", whole, wasted)
	}
}
