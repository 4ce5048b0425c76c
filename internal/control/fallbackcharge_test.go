package control_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/limit"
)

// publishAfterHoldOff publishes a workspace once the instance grants tokens, so that it starts with its whole burst, and
// returns a fake daemon that is attached.
func publishAfterHoldOff(ctx context.Context, t *testing.T, c *control.Control, address netip.AddrPort, burst int64) *fakeDaemon {
	t.Helper()
	awaitLevel(ctx, t, c.OperatorsAddress().String(), func(_ int64, leads bool) bool { return leads })
	time.Sleep(2 * limit.DefaultGrantDuration)
	set := configuration.Set{
		Limits:     []configuration.Limit{{Name: "narrow", Rate: 1e-3, Burst: burst}},
		Workspaces: []configuration.Workspace{{Name: "club", Limit: "narrow", Share: 1}},
	}
	if result, err := c.Publish(ctx, configuration.PublishRequest{ID: "first", Set: set}); err != nil || result.Kind != configuration.Accepted {
		t.Fatalf("publishing: %+v %v", result, err)
	}
	awaitLevel(ctx, t, c.OperatorsAddress().String(), func(level int64, _ bool) bool { return level == burst })
	d := &fakeDaemon{number: 1, incarnation: 1}
	pool := peer.NewPool(peer.Identity{Cluster: "test", Process: "daemon-1", Incarnation: 1})
	for d.attach(ctx, pool, address) != nil {
		if ctx.Err() != nil {
			t.Fatal("the daemon could not attach")
		}
	}
	return d
}

// TestLeaderChargesSpendingWithoutItsGrants guards against a leader that grants the tokens that a daemon has spent
// without it, while its answers were late: the workspace would get them twice.
func TestLeaderChargesSpendingWithoutItsGrants(t *testing.T) {
	const (
		burst, spent = 100, 60
		timeout      = 40 * time.Second
	)
	c, address := startSingle(t)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	d := publishAfterHoldOff(ctx, t, c, address, burst)
	returns := &peerpb.Returns{FallbackSpending: []*peerpb.FallbackSpending{{Workspace: "club", Total: spent, Recent: spent, PeriodUs: 1}}}
	for range 2 {
		if err := d.send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Returns{Returns: returns}}); err != nil {
			t.Fatal(err)
		}
	}
	awaitLevel(ctx, t, c.OperatorsAddress().String(), func(level int64, _ bool) bool { return level == burst-spent })
}

// TestLeaderWithoutTokensIsNotSilent guards against daemons that take a leader for lost which has answered, but has no
// tokens ahead: each answer that neither grants tokens nor tells when there are some must be followed by a heartbeat.
func TestLeaderWithoutTokensIsNotSilent(t *testing.T) {
	const timeout = 40 * time.Second
	c, address := startSingle(t)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	d := publishAfterHoldOff(ctx, t, c, address, 1)
	asks := &peerpb.Asks{Asks: []*peerpb.Ask{{Id: 1, Workspace: "club", Tokens: 1}}}
	if err := d.send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Asks{Asks: asks}}); err != nil {
		t.Fatal(err)
	}
	defer context.AfterFunc(ctx, d.stream.Abort)()
	for answered := false; ; {
		message := &peerpb.ControlMessage{}
		if err := d.stream.Receive(message); err != nil {
			t.Fatalf("no heartbeat, answered: %t: %v", answered, err)
		}
		grants := message.GetGrants()
		if grants == nil {
			continue
		}
		if len(grants.GetGrants()) == 0 {
			return
		}
		answered = true
		if tokens := grants.GetGrants()[0].GetTokens(); tokens > 0 {
			t.Fatalf("%d tokens granted ahead of half of a burst of 1", tokens)
		}
	}
}

// awaitLevel polls the metrics of a control instance until reached holds for the level of its only token bucket.
func awaitLevel(ctx context.Context, t *testing.T, operators string, reached func(level int64, leads bool) bool) {
	t.Helper()
	level, leads := int64(-1), false
	for !reached(level, leads) {
		if ctx.Err() != nil {
			t.Fatalf("the level stays at %d", level)
		}
		time.Sleep(10 * time.Millisecond)
		response, err := http.Get("http://" + operators + "/metrics")
		if err != nil {
			continue
		}
		var metrics struct {
			Control struct {
				Readiness struct{ Leads bool }
				Limits    []limit.BucketStats
			}
		}
		err = json.NewDecoder(response.Body).Decode(&metrics)
		_ = response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		leads = metrics.Control.Readiness.Leads
		if len(metrics.Control.Limits) == 1 {
			level = metrics.Control.Limits[0].Level
		}
	}
}
