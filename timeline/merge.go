package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of all processes in one order.
func Merge(processes ...[]Event) []Event {
	merged := slices.Concat(processes...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process, b.Process))
	})
	return slices.Compact(merged)
}
