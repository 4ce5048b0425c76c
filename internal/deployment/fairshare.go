package deployment

import "slices"

// FairShares divides total by max-min fairness: no share exceeds its demand, and what a demand leaves over is
// divided evenly among the larger ones.
func FairShares(total float64, demands []float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case demands[a] < demands[b]:
			return -1
		case demands[a] > demands[b]:
			return 1
		default:
			return a - b
		}
	})
	shares := make([]float64, len(demands))
	for i, index := range order {
		even := total / float64(len(order)-i)
		shares[index] = min(demands[index], even)
		total -= shares[index]
	}
	return shares
}
