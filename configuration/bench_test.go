package configuration_test

import (
	"fmt"
	"testing"
	"time"

	"sapphirespread.example/configuration"
)

// sizes are numbers of workspaces, each with a route.
var sizes = []int{50, 500, 5000}

func BenchmarkCurrent(b *testing.B) {
	view := configuration.NewView()
	if err := view.Apply(0, 1, true, wholeSet(50, 50, 0).Changes(configuration.Set{})); err != nil {
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

// BenchmarkPublish publishes one changed object of a set.
func BenchmarkPublish(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("objects=%d", 2*size), func(b *testing.B) {
			registry := configuration.NewRegistry()
			registry.Publish(start, configuration.Publish{ID: "first", Set: wholeSet(size, size, 0)})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				publish := configuration.Publish{ID: fmt.Sprint(i), Base: registry.Revision(), Changes: limitOf(i)}
				if published := registry.Publish(start, publish); published.Kind != configuration.Accepted {
					b.Fatal(show(published))
				}
			}
		})
	}
}

// BenchmarkApply applies one changed object at a view.
func BenchmarkApply(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("objects=%d", 2*size), func(b *testing.B) {
			view := configuration.NewView()
			if err := view.Apply(0, 1, true, wholeSet(size, size, 0).Changes(configuration.Set{})); err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for revision := uint64(1); b.Loop(); revision++ {
				if err := view.Apply(revision, revision+1, false, limitOf(int(revision))); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSnapshot encodes a registry with 4,096 revisions and as many answers.
func BenchmarkSnapshot(b *testing.B) {
	registry := configuration.NewRegistry()
	registry.Publish(start, configuration.Publish{ID: "first", Set: wholeSet(50, 50, 0)})
	for i := range 4096 {
		registry.Publish(start.Add(time.Duration(i)), configuration.Publish{ID: fmt.Sprint(i), Base: registry.Revision(), Changes: limitOf(i)})
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

// limitOf returns the change that gives the limit "small" a rate.
func limitOf(rate int) []configuration.Change {
	body := fmt.Sprintf(`{"name":"small","rate":%d,"burst":10}`, rate%1000+1)
	return []configuration.Change{{Kind: configuration.KindLimit, Name: "small", Body: []byte(body)}}
}
