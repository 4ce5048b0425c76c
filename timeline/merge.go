package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all processes in timestamp order, without duplicates. Events with equal timestamps are
// ordered by process name.
func Merge(processes ...[]Event) []Event {
	merged := slices.Concat(processes...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	return slices.Compact(merged)
}
