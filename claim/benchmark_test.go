package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"sapphirespread.example/claim"
)

const benchmarkBodyBytes = 200

// newFilledRegistry returns a registry of finished claims and its heap bytes per claim.
func newFilledRegistry(b *testing.B, claims int) (*claim.Registry, float64) {
	before := heapBytes()
	registry := claim.NewRegistry()
	for i := range claims {
		k := benchmarkKey(i)
		if state, _ := registry.Claim(epoch, k, fmt.Sprintf("daemon-0001/17/%d", i), [32]byte{byte(i)}); state != claim.Won {
			b.Fatalf("claim %d: %s", i, state)
		}
		registry.Finish(epoch, k, fmt.Sprintf("daemon-0001/17/%d", i), claim.Outcome{Status: 201, Body: make([]byte, benchmarkBodyBytes), BodyKept: true})
	}
	return registry, float64(heapBytes()-before) / float64(claims)
}

func benchmarkKey(i int) claim.Key {
	return claim.Key{
		Workspace:      fmt.Sprintf("workspace-%d", i%8),
		Route:          "reservations",
		IdempotencyKey: timedKey(epoch.Add(time.Duration(i)*time.Millisecond), byte(i)),
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkClaimAndFinish applies one claim and its outcome per operation.
func BenchmarkClaimAndFinish(b *testing.B) {
	registry := claim.NewRegistry()
	keys := make([]claim.Key, b.N)
	for i := range keys {
		keys[i] = benchmarkKey(i)
	}
	body := make([]byte, benchmarkBodyBytes)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		registry.Claim(epoch, keys[i], "daemon-0001/17/1", [32]byte{})
		registry.Finish(epoch, keys[i], "daemon-0001/17/1", claim.Outcome{Status: 201, Body: body, BodyKept: true})
	}
}

// BenchmarkSnapshot measures encoding and restoring a snapshot, and reports its size and the memory of a claim.
func BenchmarkSnapshot(b *testing.B) {
	for _, claims := range []int{10_000, 100_000, 400_000} {
		b.Run(fmt.Sprint("claims=", claims), func(b *testing.B) {
			registry, claimBytes := newFilledRegistry(b, claims)
			var snapshot []byte
			b.ResetTimer()
			for range b.N {
				snapshot = encoded(b, registry)
			}
			b.StopTimer()
			started := time.Now()
			if err := claim.NewRegistry().UnmarshalBinary(snapshot); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(time.Since(started).Seconds()*1000, "restore-ms")
			b.ReportMetric(claimBytes, "B/claim")
			b.ReportMetric(float64(len(snapshot))/float64(claims), "snapshot-B/claim")
		})
	}
}
