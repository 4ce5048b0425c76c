package replica_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/replica"
)

// BenchmarkHeartbeat measures one round of heartbeats of a leader of three voters, including both answers. It also
// reports the bytes sent in a round.
func BenchmarkHeartbeat(b *testing.B) {
	r := newReplicaA(&testing.T{}, entriesOfTerm1...)
	now := leadTerm2(&testing.T{}, r)
	sent := 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(electionTimeout)
		for _, member := range threeVoters[1:] {
			answer := replica.AppendAnswer{Index: 5, Round: 1}
			r.Step(now, replica.Message{From: member.ID, To: 1, ReplyTo: member.Address, Cluster: 9, Term: 2, Body: answer})
		}
		r.Tick(now)
		ready := r.Ready()
		for _, out := range append(ready.Immediate, ready.Messages...) {
			sent += proto.Size(replica.EncodeMessage(out.Message))
		}
		r.Advance(now, ready)
	}
	b.ReportMetric(float64(sent)/float64(b.N), "sent-bytes/op")
}
