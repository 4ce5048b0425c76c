package retry_test

import (
	"testing"

	"sapphirespread.example/retry"
)

// BenchmarkCall measures the overhead per call: moving and returning a part of the allowance, and recording
// a success.
func BenchmarkCall(b *testing.B) {
	budget := retry.NewBudget(0.1, 1)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			allowance := retry.NewAllowance(2)
			part := allowance.Reserve(1)
			part.Release(part.Size())
			budget.Success(start)
		}
	})
}
