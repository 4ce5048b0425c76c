package control_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/internal/settings"
)

// startSingle runs a single-member control instance in this process and returns it with its peer address.
func startSingle(t *testing.T) (*control.Control, netip.AddrPort) {
	t.Helper()
	var listeners [2]net.Listener
	for i := range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = listener
	}
	address := netip.MustParseAddrPort(listeners[0].Addr().String())
	c := control.New(settings.Control{
		Name:            "control-1",
		Cluster:         "test",
		DataFolder:      t.TempDir(),
		PeerAdvertise:   address,
		Members:         []settings.Member{{Name: "control-1", Address: address}},
		ElectionTimeout: 2 * time.Second,
		Heartbeat:       100 * time.Millisecond,
	}, control.WithListeners(control.Listeners{Peers: listeners[0], Operators: listeners[1]}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	<-c.Opened()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("control instance failed: %v", err)
		}
	})
	return c, address
}

// TestHeldGrantRequestsAreServedUnderLoad sends a grant request from each daemon every three milliseconds, more often
// than the leader polls for held requests. It guards against requests postponing that poll: the tokens that the
// workspace's rate allows must still be granted.
func TestHeldGrantRequestsAreServedUnderLoad(t *testing.T) {
	const (
		daemons  = 3
		rate     = 100 // tokens per second
		window   = time.Second
		minShare = 0.8 // of the rate, within one window
		timeout  = 40 * time.Second
	)
	c, address := startSingle(t)
	set := configuration.Set{
		Limits:     []configuration.Limit{{Name: "narrow", Rate: rate, Burst: 10}},
		Workspaces: []configuration.Workspace{{Name: "club", Limit: "narrow", Share: 1}},
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	for {
		result, err := c.Publish(ctx, configuration.PublishRequest{ID: "first", Set: set})
		if err == nil && result.Kind == configuration.Accepted {
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("publishing: %+v %v", result, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	var granted atomic.Int64
	for i := range daemons {
		go requestAndSpend(ctx, i, address, &granted)
	}
	best := 0.0
	for best < minShare*rate && ctx.Err() == nil {
		before, began := granted.Load(), time.Now()
		time.Sleep(window)
		best = max(best, float64(granted.Load()-before)/time.Since(began).Seconds())
	}
	if best < minShare*rate {
		t.Errorf("at most %.0f tokens per second granted, want about the rate of %d", best, rate)
	}
}

// requestAndSpend keeps a fake daemon attached that continuously requests tokens of the workspace and spends them.
func requestAndSpend(ctx context.Context, number int, address netip.AddrPort, granted *atomic.Int64) {
	const period = 3 * time.Millisecond
	pool := peer.NewPool(peer.Identity{Cluster: "test", Process: fmt.Sprintf("daemon-%d", number), Incarnation: 1})
	for incarnation := uint64(1); ctx.Err() == nil; incarnation++ {
		d := &fakeDaemon{number: number, incarnation: incarnation}
		if d.attach(ctx, pool, address) != nil {
			continue
		}
		spent := make(chan *peerpb.Return, 1000)
		go d.spendTokens(granted, spent)
		d.requestGrants(ctx, period, spent)
	}
}

// requestGrants requests one token every period for a waiting call, returns spent grants, and sends heartbeats.
func (d *fakeDaemon) requestGrants(ctx context.Context, period time.Duration, spent <-chan *peerpb.Return) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var lastHeartbeat time.Time
	for id := uint64(1); ; id++ {
		if now := time.Now(); now.Sub(lastHeartbeat) >= fakeHeartbeatPeriod {
			heartbeat := &peerpb.Heartbeat{Sequence: id, Revision: d.revision.Load()}
			if d.send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Heartbeat{Heartbeat: heartbeat}}) != nil {
				return
			}
			lastHeartbeat = now
		}
		requests := &peerpb.Asks{Asks: []*peerpb.Ask{{Id: id, Workspace: "club", Tokens: 1, Waiting: 1}}}
		if d.send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Asks{Asks: requests}}) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case grant := <-spent:
			returns := &peerpb.Returns{Returns: []*peerpb.Return{grant}}
			if d.send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Returns{Returns: returns}}) != nil {
				return
			}
		case <-ticker.C:
		}
	}
}

// spendTokens spends all granted tokens immediately and adds them to granted, until the session ends.
func (d *fakeDaemon) spendTokens(granted *atomic.Int64, spent chan<- *peerpb.Return) {
	for {
		message := &peerpb.ControlMessage{}
		if d.stream.Receive(message) != nil {
			return
		}
		for _, grant := range message.GetGrants().GetGrants() {
			granted.Add(grant.GetTokens())
			if grant.GetTokens() > 0 {
				spent <- &peerpb.Return{GrantId: grant.GetId(), Workspace: grant.GetWorkspace()}
			}
		}
	}
}
