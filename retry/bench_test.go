package retry_test

import (
	"testing"

	"sapphirespread.example/retry"
)

// BenchmarkCall measures the overhead per call: reserving a part of the allowance, releasing it, and recording
// a success.
func BenchmarkCall(b *testing.B) {
	budget := retry.NewBudget(0.1, 1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			allowance := retry.NewAllowance(2)
			reservation := allowance.Reserve(1)
			reservation.Release(reservation.Size())
			budget.Success(start)
		}
	})
}
