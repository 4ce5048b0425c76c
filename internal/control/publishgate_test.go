package control_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

// TestPublishesWaitForTheirTurnOnly guards against publishes that are refused for their size before they are decoded, and
// against those of a slow sender that hold up others. A client stops half-way in one, and another publishes a large set.
func TestPublishesWaitForTheirTurnOnly(t *testing.T) {
	const (
		limits     = 30_000
		bodyBytes  = 2 << 20 // more than what the budget of the port counts for a body
		patience   = 20 * time.Second
		stalledFor = 100 * time.Millisecond
	)
	c := startCluster(t)
	leader, _ := c.leaderAndFollowers()
	stalled, err := net.Dial("tcp", leader.operators.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stalled.Close() }()
	_, _ = fmt.Fprintf(stalled, "POST /operator/v1/publications HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n{")
	time.Sleep(stalledFor)
	var set configuration.Set
	for i := range limits {
		set.Limits = append(set.Limits, configuration.Limit{Name: fmt.Sprintf("limit-%05d", i), Rate: 1, Burst: 1})
	}
	if size := set.Size(); size < bodyBytes {
		t.Fatalf("the set has %d bytes, want more than %d", size, bodyBytes)
	}
	client := operator.NewClient([]netip.AddrPort{leader.operators}, operator.WithRetryTimeout(patience), operator.WithRequestTimeout(patience))
	result, err := client.Publish(context.Background(), configuration.PublishRequest{ID: "large", Set: set})
	if err != nil || result.Kind != configuration.Accepted {
		t.Errorf("the large set: %+v, %v", result, err)
	}
}
