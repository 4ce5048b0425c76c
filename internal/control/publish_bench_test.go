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

// BenchmarkPublish measures publishing a set of 50 limits, one of them changed, to three processes that fsync to disk.
func BenchmarkPublish(b *testing.B) {
	c := startCluster(b)
	c.publish(1)
	c.awaitCaughtUp()
	set := configuration.Set{}
	for i := range benchLimits {
		set.Limits = append(set.Limits, configuration.Limit{Name: fmt.Sprintf("limit-%d", i), Rate: 1, Burst: 10})
	}
	var took []time.Duration
	for i := 0; b.Loop(); i++ {
		set.Limits[i%benchLimits].Rate++
		publish := configuration.PublishRequest{ID: fmt.Sprintf("bench-%d", i), Base: c.revision, Set: set}
		began := time.Now()
		result, err := c.client.Publish(context.Background(), publish)
		if err != nil || result.Kind != configuration.Accepted {
			b.Fatalf("%+v, %v", result, err)
		}
		took = append(took, time.Since(began))
		c.revision = result.Revision
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
}
