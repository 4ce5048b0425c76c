package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/internal/settings"
)

// controlFault is how a control instance of a test treats a daemon that attaches.
type controlFault int

const (
	faultless controlFault = iota
	powerLost              // its kernel accepts connections, nothing answers
	silent                 // opens sessions but never answers an attach
)

// attachEvent is a step of a daemon that attaches, in the order seen by the control instances.
type attachEvent string

const (
	answered  attachEvent = "an instance answered"
	abandoned attachEvent = "the daemon gave up a silent instance"
	used      attachEvent = "the daemon used a session"
)

// controlInstances are fake control instances that report how daemons attach to them.
type controlInstances struct {
	addresses []netip.AddrPort
	events    chan attachEvent
}

func newControlInstances(t *testing.T, faults []controlFault) *controlInstances {
	t.Helper()
	c := &controlInstances{events: make(chan attachEvent, 100)}
	for i, fault := range faults {
		listener := listen(t)
		c.addresses = append(c.addresses, addressOf(listener))
		if fault == powerLost {
			t.Cleanup(func() { _ = listener.Close() })
			continue
		}
		c.serve(t, listener, fmt.Sprintf("control-%d", i), fault)
	}
	return c
}

func (c *controlInstances) serve(t *testing.T, listener net.Listener, name string, fault controlFault) {
	server := peer.NewServer(peer.Identity{Cluster: "test", Process: name, Incarnation: 1})
	server.Handle("control", func(_ context.Context, _ peer.Identity, stream *peer.Stream) {
		var message peerpb.DaemonMessage
		if stream.Receive(&message) != nil {
			return
		}
		if fault == silent {
			_ = stream.Receive(&message)
			c.events <- abandoned
			return
		}
		c.events <- answered
		attached := &peerpb.Attached{Leader: name}
		if stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Attached{Attached: attached}}) != nil || stream.Receive(&message) != nil {
			return
		}
		c.events <- used
		for err := error(nil); err == nil; {
			err = stream.Receive(&message)
		}
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

func (c *controlInstances) nextEvent(t *testing.T) attachEvent {
	t.Helper()
	select {
	case event := <-c.events:
		return event
	case <-time.After(testBound):
		t.Fatal("the daemon did not attach")
		return ""
	}
}

// runDaemon runs a daemon that knows the given control instances until the test ends.
func runDaemon(t *testing.T, addresses []netip.AddrPort) {
	t.Helper()
	s := settings.Daemon{
		Name: "daemon-1", Cluster: "test", FailureDomain: "domain-1", Freshness: time.Second, Control: addresses,
		Timeouts: settings.Timeouts{ReadHeader: time.Second, Idle: time.Minute, BodyStall: time.Second, Dial: time.Second, Drain: time.Second},
	}
	d := daemon.New(s, daemon.WithListeners(daemon.Listeners{Callers: listen(t), Peers: listen(t), Subcalls: listen(t), Operators: listen(t)}))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// TestDaemonAttachesPastTwoLostInstances checks that a daemon reaches a working control instance while its attempts at
// two lost ones are still open, wherever these are in the list. A daemon that tried one instance after another had no
// new configuration for more than two seconds after the leader and another instance lost power.
func TestDaemonAttachesPastTwoLostInstances(t *testing.T) {
	const instances = 5
	for first := range instances {
		for second := first + 1; second < instances; second++ {
			for _, fault := range []controlFault{powerLost, silent} {
				t.Run(fmt.Sprintf("%d and %d lost, fault %d", first, second, fault), func(t *testing.T) {
					t.Parallel()
					faults := make([]controlFault, instances)
					faults[first], faults[second] = fault, silent
					control := newControlInstances(t, faults)
					runDaemon(t, control.addresses)
					if first := control.nextEvent(t); first != answered {
						t.Errorf("first event: %s, want that %s", first, answered)
					}
					for event := abandoned; event != used; {
						event = control.nextEvent(t)
					}
				})
			}
		}
	}
}
