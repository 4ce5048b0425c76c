package daemon_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
)

// TestDaemonRefusesLeadersOfOlderGenerations checks that a daemon detaches from a leader of an older generation, or of
// the same generation recovered from another disk. Such a leader belongs to a cluster that a forced recovery replaced.
func TestDaemonRefusesLeadersOfOlderGenerations(t *testing.T) {
	answers := []struct {
		name                string
		generation, cluster uint64
		used                bool
	}{
		{"never recovered", 0, 5, true},
		{"recovered", 1, 7, true},
		{"from before the recovery", 0, 5, false},
		{"recovered from another disk", 1, 8, false},
		{"the same again", 1, 7, true},
		{"recovered again", 2, 9, true},
	}
	used := make(chan bool, len(answers))
	streams := make(chan int, len(answers))
	for i := range answers {
		streams <- i
	}
	server := peer.NewServer(peer.Identity{Cluster: "test", Process: "control-1", Incarnation: 1})
	server.Handle("control", func(ctx context.Context, _ peer.Identity, stream *peer.Stream) {
		select {
		case i := <-streams:
			attached := &peerpb.Attached{Leader: "control-1", Generation: answers[i].generation, Cluster: answers[i].cluster}
			var message peerpb.DaemonMessage
			_ = stream.Receive(&message)
			_ = stream.Send(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_Attached{Attached: attached}})
			used <- stream.Receive(&message) == nil
		case <-ctx.Done():
		}
	})
	listener := listen(t)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	runDaemon(t, []netip.AddrPort{addressOf(listener)})
	for _, answer := range answers {
		select {
		case got := <-used:
			if got != answer.used {
				t.Errorf("%s: used %t, want %t", answer.name, got, answer.used)
			}
		case <-time.After(testBound):
			t.Fatalf("%s: no attach", answer.name)
		}
	}
}
