package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"sapphirespread.example/configuration"
)

// workspaceCounts are the numbers of workspaces in the benchmarks. Each set has as many routes.
var workspaceCounts = []int{50, 500, 5000}

func BenchmarkCurrent(b *testing.B) {
	view := configuration.NewView()
	if err := view.Apply(0, 1, true, validSet(50, 50, 0).Changes(configuration.Set{})); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if snapshot, _ := view.Current(start); snapshot.Revision != 1 {
				b.Error("wrong revision")
			}
		}
	})
}

// BenchmarkPublish measures a publish request that changes one object of a set.
func BenchmarkPublish(b *testing.B) {
	for _, size := range workspaceCounts {
		b.Run(fmt.Sprintf("objects=%d", 2*size), func(b *testing.B) {
			registry := configuration.NewRegistry()
			registry.Publish(start, configuration.PublishRequest{ID: "first", Set: validSet(size, size, 0)})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				publish := configuration.PublishRequest{ID: fmt.Sprint(i), Base: registry.Revision(), Changes: limitChange(i)}
				if result := registry.Publish(start, publish); result.Kind != configuration.Accepted {
					b.Fatal(describe(result))
				}
			}
		})
	}
}

// BenchmarkApply measures applying a change of one object to a view.
func BenchmarkApply(b *testing.B) {
	for _, size := range workspaceCounts {
		b.Run(fmt.Sprintf("objects=%d", 2*size), func(b *testing.B) {
			view := configuration.NewView()
			if err := view.Apply(0, 1, true, validSet(size, size, 0).Changes(configuration.Set{})); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for revision := uint64(1); b.Loop(); revision++ {
				if err := view.Apply(revision, revision+1, false, limitChange(int(revision))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures encoding a registry with 4,096 revisions and 4,097 kept responses.
func BenchmarkSnapshot(b *testing.B) {
	registry := configuration.NewRegistry()
	registry.Publish(start, configuration.PublishRequest{ID: "first", Set: validSet(50, 50, 0)})
	for i := range 4096 {
		registry.Publish(start.Add(time.Duration(i)), configuration.PublishRequest{ID: fmt.Sprint(i), Base: registry.Revision(), Changes: limitChange(i)})
	}
	size := 0
	for b.Loop() {
		encoded, err := registry.MarshalBinary()
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size), "bytes")
}

// limitChange returns a change that sets the limit "small" with a rate derived from the given number.
func limitChange(rate int) []configuration.Change {
	body := fmt.Sprintf(`{"name":"small","rate":%d,"burst":10}`, rate%1000+1)
	return []configuration.Change{{Kind: configuration.KindLimit, Name: "small", Body: []byte(body)}}
}
