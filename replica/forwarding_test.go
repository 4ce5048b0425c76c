package replica_test

import (
	"net/netip"
	"testing"
	"time"

	"sapphirespread.example/replica"
)

// TestFollowerTellsItsLeaderWhereAMovedMemberIs sends a pre-vote request of c from a new address to a follower of b.
// The follower must forward it, and a leader that receives it must send to the new address.
func TestFollowerTellsItsLeaderWhereAMovedMemberIs(t *testing.T) {
	moved := netip.AddrPortFrom(threeVoters[2].Address.Addr(), 8003)
	preVote := replica.Message{
		From: 3, To: 1, ReplyTo: moved, Cluster: 9, Term: 2,
		Body: replica.VoteRequest{PreVote: true, LastIndex: 4, LastTerm: 1},
	}
	follower := newReplicaA(t, entriesOfTerm1...)
	now := start.Add(time.Millisecond)
	step(follower, now, 2, 1, replica.Append{PreviousIndex: 4, PreviousTerm: 1, Commit: 4})

	follower.Step(now, preVote)
	forwarded := false
	for _, out := range follower.Ready().Messages {
		forwarded = forwarded || out.Address == threeVoters[1].Address && out.Message.From == 3 && out.Message.ReplyTo == moved && out.Message.To == 2
	}
	if !forwarded {
		t.Fatal("the follower doesn't forward the pre-vote request to the leader")
	}

	leader := newReplicaA(t, entriesOfTerm1...)
	now = leadTerm2(t, leader)
	preVote.Term = 3
	leader.Step(now, preVote)
	later := now.Add(electionTimeout / 2)
	leader.Tick(later)
	ready := leader.Ready()
	contacted := false
	for _, out := range append(ready.Immediate, ready.Messages...) {
		contacted = contacted || out.Address == moved && out.Message.To == 3
	}
	if !contacted {
		t.Error("the leader doesn't send to the new address")
	}
}
