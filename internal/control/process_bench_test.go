package control_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"sapphirespread.example/configuration"
)

const benchLimits = 50

// BenchmarkPublish measures publishing a set of 50 limits, one changed, to three processes with real fsync.
func BenchmarkPublish(b *testing.B) {
	p := startThree(b)
	p.publish(1)
	p.waitForAll()
	set := configuration.Set{}
	for i := range benchLimits {
		set.Limits = append(set.Limits, configuration.Limit{Name: fmt.Sprintf("limit-%d", i), Rate: 1, Burst: 10})
	}
	var took []time.Duration
	for i := 0; b.Loop(); i++ {
		set.Limits[i%benchLimits].Rate++
		publish := configuration.PublishRequest{ID: fmt.Sprintf("bench-%d", i), Base: p.revision, Set: set}
		began := time.Now()
		published, err := p.client.Publish(context.Background(), publish)
		if err != nil || published.Kind != configuration.Accepted {
			b.Fatalf("%+v, %v", published, err)
		}
		took = append(took, time.Since(began))
		p.revision = published.Revision
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
}
