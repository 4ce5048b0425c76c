package replica_test

import (
	"net/netip"
	"testing"
	"time"

	"sapphirespread.example/replica"
)

// TestFollowerTellsItsLeaderWhereAMovedMemberIs asks a follower of b for a vote from an address of c that only the
// follower hears of, and expects b to be told of it.
func TestFollowerTellsItsLeaderWhereAMovedMemberIs(t *testing.T) {
	moved := netip.AddrPortFrom(trio[2].Address.Addr(), 8003)
	question := replica.Message{
		From: 3, To: 1, ReplyTo: moved, Cluster: 9, Term: 2,
		Body: replica.VoteRequest{PreVote: true, LastIndex: 4, LastTerm: 1},
	}
	follower := newA(t, ofTerm1...)
	now := start.Add(time.Millisecond)
	step(follower, now, 2, 1, replica.Append{PreviousIndex: 4, PreviousTerm: 1, Commit: 4})

	follower.Step(now, question)
	told := false
	for _, out := range follower.Ready().Messages {
		told = told || out.Address == trio[1].Address && out.Message.From == 3 && out.Message.ReplyTo == moved && out.Message.To == 2
	}
	if !told {
		t.Fatal("the leader is not told where the moved member is")
	}

	leader := newA(t, ofTerm1...)
	now = leadTerm2(t, leader)
	question.Term = 3
	leader.Step(now, question)
	later := now.Add(electionTimeout / 2)
	leader.Tick(later)
	ready := leader.Ready()
	asked := false
	for _, out := range append(ready.Prompt, ready.Messages...) {
		asked = asked || out.Address == moved && out.Message.To == 3
	}
	if !asked {
		t.Error("the leader does not send to the address that it was told")
	}
}
