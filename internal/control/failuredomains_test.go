package control_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"sapphirespread.example/internal/membership/evacuation"
)

// order takes a failure domain out of use or back, through any control instance.
func (c *cluster) order(domain string, out bool) {
	c.t.Helper()
	if err := c.client.OrderFailureDomain(context.Background(), evacuation.Order{Domain: domain, Out: out}); err != nil {
		c.t.Fatal(err)
	}
}

// requireOutOfUse checks which failure domains are out of use, by the leader's word.
func (c *cluster) requireOutOfUse(want ...string) {
	c.t.Helper()
	domains, err := c.client.FailureDomains(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	var got []string
	for _, d := range domains.Domains {
		if d.OutOfUse {
			got = append(got, d.Name)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		c.t.Errorf("out of use: %v, want %v", got, want)
	}
}

// TestOrderSurvivesALeaderLostAroundItsCommit kills the leader at different times after it was sent an order, and sends
// the order again. It is acknowledged and holds, also after all instances were killed.
func TestOrderSurvivesALeaderLostAroundItsCommit(t *testing.T) {
	c := startCluster(t)
	c.publish(1)
	c.awaitCaughtUp()
	for round, delay := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond} {
		leader, _ := c.leaderAndFollowers()
		out := round%2 == 0
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			_ = clientOf(leader).OrderFailureDomain(context.Background(), evacuation.Order{Domain: "east", Out: out})
		}()
		time.Sleep(delay)
		c.kill(leader)
		<-answered
		c.order("east", out)
		c.start(leader)
		if out {
			c.requireOutOfUse("east")
		} else {
			c.requireOutOfUse()
		}
	}
	c.order("east", true)
	for _, instance := range c.instances {
		c.kill(instance)
	}
	for _, instance := range c.instances {
		c.start(instance)
	}
	c.requireOutOfUse("east")
}

// TestOrderAtAFrozenLeaderIsNotTakenLater guards against an order that a frozen leader takes when it wakes up, after the
// operator has sent it elsewhere and has withdrawn it.
func TestOrderAtAFrozenLeaderIsNotTakenLater(t *testing.T) {
	c := startCluster(t)
	c.publish(1)
	c.awaitCaughtUp()
	frozen, _ := c.leaderAndFollowers()
	c.signal(frozen, syscall.SIGSTOP)
	if clientOf(frozen).OrderFailureDomain(context.Background(), evacuation.Order{Domain: "east", Out: true}) == nil {
		t.Fatal("a frozen leader has answered")
	}
	c.order("east", true)
	c.order("east", false)
	c.signal(frozen, syscall.SIGCONT)
	c.awaitCaughtUp()
	c.requireOutOfUse()
}
