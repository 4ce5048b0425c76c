package daemon_test

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

// TestOddAnnouncementsLeaveTheBackendServerInUse checks that announcements of another writer are refused and neither
// displace the real ones nor detach the daemon from control.
func TestOddAnnouncementsLeaveTheBackendServerInUse(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	served := f.backend("courts-1", "courts", func(http.ResponseWriter, *http.Request) {})
	entry, _, _ := f.daemon("entry")
	answered := func() bool { return ask(entry, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK }
	f.eventually("an answer", answered)
	proper := daemon.Announcement{
		Name: "courts-1", Service: "courts", Address: netip.MustParseAddrPort("127.0.0.1:9"), Slots: 1, State: target.Ready,
	}
	odd := map[string]func(*daemon.Announcement){
		"name in another encoding":    func(a *daemon.Announcement) { a.Name = "courts-\xff" },
		"service in another encoding": func(a *daemon.Announcement) { a.Service = "\xc3\x28" },
		"endless name":                func(a *daemon.Announcement) { a.Name = strings.Repeat("x", 1<<20) },
		"no port":                     func(a *daemon.Announcement) { a.Address = netip.MustParseAddrPort("127.0.0.1:0") },
		"slots beyond 32 bits":        func(a *daemon.Announcement) { a.Slots = 3_000_000_000 },
		"negative slots":              func(a *daemon.Announcement) { a.Slots = -1 },
		"in flight beyond 32 bits":    func(a *daemon.Announcement) { a.InFlight = 1 << 40 },
		"start in the far future":     func(a *daemon.Announcement) { a.StartedAt = time.Now().AddDate(200, 0, 0) },
		"largest sequence":            func(a *daemon.Announcement) { a.Sequence = 1<<64 - 1 },
		"unknown state":               func(a *daemon.Announcement) { a.State = "resting" },
	}
	for name, change := range odd {
		announcement := proper
		change(&announcement)
		if _, err := served.daemon.Announce(announcement); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	for name, body := range map[string]string{
		"deeply nested":     strings.Repeat("[", 4000),
		"number too large":  `{"name":"courts-1","service":"courts","slots":1e400}`,
		"port out of range": `{"name":"courts-1","service":"courts","address":"127.0.0.1:70000","slots":1,"state":"ready"}`,
		"wrong types":       `{"name":1,"service":[],"slots":"8"}`,
		"megabytes":         `{"name":"` + strings.Repeat("x", 1<<20) + `"}`,
	} {
		request, err := http.NewRequest(http.MethodPut, "http://"+served.daemon.SubcallsAddress().String()+"/announce/v1/target", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if got := send(request); got.err == nil && got.status/100 != 4 {
			t.Errorf("%s: status %d", name, got.status)
		}
	}
	// Longer than an announcement lives: the real ones must still be accepted and passed on.
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if !answered() {
			t.Fatal("the backend server is no longer in use")
		}
	}
}

// TestOddTargetsAreLeftOutAlone sends a daemon a list of targets in which one can't be used. The daemon must take the
// others and stay attached.
func TestOddTargetsAreLeftOutAlone(t *testing.T) {
	good := func() *peerpb.Announce {
		return &peerpb.Announce{
			Target: "good", Service: "courts", FailureDomain: "domain-1", PeerAddress: "127.0.0.1:9", Incarnation: 1, Slots: 1,
			State: string(target.Ready), Daemon: "other",
		}
	}
	odd := map[string]func(*peerpb.Announce){
		"port out of range": func(a *peerpb.Announce) { a.PeerAddress = "127.0.0.1:70000" },
		"no port":           func(a *peerpb.Announce) { a.PeerAddress = "127.0.0.1:0" },
		"no address":        func(a *peerpb.Announce) { a.PeerAddress = "" },
		"negative slots":    func(a *peerpb.Announce) { a.Slots = -1 },
		"too many slots":    func(a *peerpb.Announce) { a.Slots = 1<<31 - 1 },
		"unknown state":     func(a *peerpb.Announce) { a.State = "resting" },
		"no name":           func(a *peerpb.Announce) { a.Target = "" },
	}
	for name, change := range odd {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			entry := good()
			entry.Target = "odd"
			change(entry)
			delta := &peerpb.MembershipDelta{Epoch: 1, To: 7, Whole: true, Changes: []*peerpb.MembershipChange{{Target: entry}, {Target: good()}}}
			followed, attached := make(chan uint64, 100), make(chan struct{}, 100)
			server := peer.NewServer(peer.Identity{Cluster: "test", Process: "control-1", Incarnation: 1})
			server.Handle("control", func(_ context.Context, _ peer.Identity, stream *peer.Stream) {
				var message peerpb.DaemonMessage
				if stream.Receive(&message) != nil {
					return
				}
				_ = stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Attached{Attached: &peerpb.Attached{Leader: "control-1"}}})
				attached <- struct{}{}
				for sent := false; stream.Receive(&message) == nil; sent = true {
					if heartbeat := message.GetHeartbeat(); heartbeat != nil {
						_ = stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Confirm{Confirm: &peerpb.Confirm{Sequence: heartbeat.GetSequence()}}})
						followed <- heartbeat.GetMembershipVersion()
					}
					if !sent {
						_ = stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Membership{Membership: delta}})
					}
				}
			})
			listener := listen(t)
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			runDaemon(t, []netip.AddrPort{addressOf(listener)})
			for version := uint64(0); version != delta.GetTo(); {
				select {
				case version = <-followed:
				case <-time.After(testBound):
					t.Fatal("the daemon does not follow the list")
				}
			}
			if len(attached) != 1 {
				t.Errorf("the daemon attached %d times, want once", len(attached))
			}
		})
	}
}
