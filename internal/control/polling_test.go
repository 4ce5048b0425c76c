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

// startAlone runs a control instance of one member in this process, and returns where daemons reach it.
func startAlone(t *testing.T) (*control.Control, netip.AddrPort) {
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
			t.Errorf("control ended: %v", err)
		}
	})
	return c, address
}

// TestHeldAsksAreAnsweredUnderManyAsks lets daemons ask for a workspace's tokens every three milliseconds, each for a call that waits: what
// the workspace's rate allows is granted all the same.
func TestHeldAsksAreAnsweredUnderManyAsks(t *testing.T) {
	const (
		daemons = 3
		rate    = 100 // tokens a second
		window  = time.Second
		least   = 0.8 // of the rate, in one window
		bound   = 40 * time.Second
	)
	c, address := startAlone(t)
	set := configuration.Set{
		Limits:     []configuration.Limit{{Name: "narrow", Rate: rate, Burst: 10}},
		Workspaces: []configuration.Workspace{{Name: "club", Limit: "narrow", Share: 1}},
	}
	ctx, cancel := context.WithTimeout(t.Context(), bound)
	defer cancel()
	for {
		published, err := c.Publish(ctx, configuration.PublishRequest{ID: "first", Set: set})
		if err == nil && published.Kind == configuration.Accepted {
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("publishing: %+v %v", published, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	var granted atomic.Int64
	for i := range daemons {
		go askAndSpend(ctx, i, address, &granted)
	}
	best := 0.0
	for best < least*rate && ctx.Err() == nil {
		before, began := granted.Load(), time.Now()
		time.Sleep(window)
		best = max(best, float64(granted.Load()-before)/time.Since(began).Seconds())
	}
	if best < least*rate {
		t.Errorf("%.0f tokens a second granted at best, the rate is %d", best, rate)
	}
}

// askAndSpend keeps a fake daemon attached, which asks for the workspace's tokens all the while.
func askAndSpend(ctx context.Context, number int, address netip.AddrPort, granted *atomic.Int64) {
	const period = 3 * time.Millisecond
	pool := peer.NewPool(peer.Identity{Cluster: "test", Process: fmt.Sprintf("daemon-%d", number), Incarnation: 1})
	for incarnation := uint64(1); ctx.Err() == nil; incarnation++ {
		d := &fakeDaemon{number: number, incarnation: incarnation}
		if d.attach(ctx, pool, address) != nil {
			continue
		}
		spent := make(chan *peerpb.Return, 1000)
		go d.spendTokens(granted, spent)
		d.keepAsking(ctx, period, spent)
	}
}

// keepAsking asks for a token every period, as for a call that waits, closes the grants that were spent, and sends heartbeats.
func (d *fakeDaemon) keepAsking(ctx context.Context, period time.Duration, spent <-chan *peerpb.Return) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	var beaten time.Time
	for id := uint64(1); ; id++ {
		if now := time.Now(); now.Sub(beaten) >= slopeHeartbeat {
			heartbeat := &peerpb.Heartbeat{Sequence: id, Revision: d.revision.Load()}
			if d.send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Heartbeat{Heartbeat: heartbeat}}) != nil {
				return
			}
			beaten = now
		}
		asks := &peerpb.Asks{Asks: []*peerpb.Ask{{Id: id, Workspace: "club", Tokens: 1, Waiting: 1}}}
		if d.send(&peerpb.DaemonMessage{Body: &peerpb.DaemonMessage_Asks{Asks: asks}}) != nil {
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

// spendTokens adds up what is granted, all of which is spent at once, until the session ends.
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
