package replica_test

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"sapphirespread.example/replica"
)

var (
	start              = time.Unix(1_700_000_000, 0)
	threeVoters        = replica.Members{memberOf("a", 1), memberOf("b", 2), memberOf("c", 3)}
	threeVoterSnapshot = replica.Snapshot{Index: 1, Term: 1, At: start, Members: threeVoters}
	entriesOfTerm1     = []replica.Entry{commandAt(2, 1), commandAt(3, 1), commandAt(4, 1)}
)

func memberOf(name string, id replica.ID) replica.Member {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(7000+id))
	return replica.Member{Name: name, ID: id, Address: address, Role: replica.Voter}
}

func commandAt(index, term uint64) replica.Entry {
	return replica.Entry{Index: index, Term: term, At: start, Kind: replica.CommandEntry, Command: []byte("x")}
}

// newReplicaA returns replica a of threeVoters with the given entries on its disk.
func newReplicaA(t *testing.T, entries ...replica.Entry) *replica.Replica {
	t.Helper()
	disk := replica.Persisted{HardState: replica.HardState{Cluster: 9, Term: 1, Vote: 1}, Snapshot: threeVoterSnapshot, Entries: entries}
	r, err := replica.New(start, "a", 1, threeVoters[0].Address, disk, replica.WithElectionTimeout(electionTimeout),
		replica.WithRandom(rand.New(rand.NewPCG(1, 1))))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func settle(r *replica.Replica, now time.Time) {
	for ready := r.Ready(); !ready.Empty(); ready = r.Ready() {
		r.Advance(now, ready)
	}
}

func step(r *replica.Replica, now time.Time, from replica.ID, term uint64, body replica.Body) {
	r.Step(now, replica.Message{From: from, To: 1, ReplyTo: threeVoters[from-1].Address, Cluster: 9, Term: term, Body: body})
	settle(r, now)
}

// leadTerm2 makes replica a the leader of term 2 with the votes of b, and returns the time of the election.
func leadTerm2(t *testing.T, r *replica.Replica) time.Time {
	t.Helper()
	now := start.Add(2 * electionTimeout)
	r.Tick(now)
	settle(r, now)
	step(r, now, 2, 2, replica.VoteAnswer{PreVote: true, Granted: true})
	step(r, now, 2, 2, replica.VoteAnswer{Granted: true})
	if r.Phase() != replica.Leader {
		t.Fatalf("phase is %s, want leader", r.Phase())
	}
	return now
}

// TestEntriesOfEarlierTermsCommitWithTheLeadersOwn checks that a quorum for an entry of an earlier term doesn't commit
// it until the quorum also has an entry of the leader's own term.
func TestEntriesOfEarlierTermsCommitWithTheLeadersOwn(t *testing.T) {
	r := newReplicaA(t, entriesOfTerm1...)
	now := leadTerm2(t, r)
	for _, want := range []struct{ answered, commit uint64 }{{4, 1}, {5, 5}} {
		step(r, now, 2, 2, replica.AppendAnswer{Index: want.answered, Round: 1})
		if commit := r.Status(now).Commit; commit != want.commit {
			t.Errorf("b has acknowledged entry %d: commit index %d, want %d", want.answered, commit, want.commit)
		}
	}
}

func TestMembersChangeOneAtATime(t *testing.T) {
	r := newReplicaA(t, entriesOfTerm1...)
	now := leadTerm2(t, r)
	remove := func(name string, want error) {
		t.Helper()
		if _, _, err := r.Remove(now, name); !errors.Is(err, want) {
			t.Errorf("removing %s: got error %v, want %v", name, err, want)
		}
		settle(r, now)
	}
	remove("c", replica.ErrChangePending)
	step(r, now, 2, 2, replica.AppendAnswer{Index: 5, Round: 1})
	remove("x", replica.ErrUnknownMember)
	remove("c", nil)
	remove("b", replica.ErrChangePending)
	step(r, now, 2, 2, replica.AppendAnswer{Index: 6, Round: 1})
	remove("b", nil)
	step(r, now, 2, 2, replica.AppendAnswer{Index: 7, Round: 1})
	remove("a", replica.ErrLastVoter)
}

func TestSnapshotThatTheLogCoversKeepsTheLog(t *testing.T) {
	for _, test := range []struct{ index, term, last, commit uint64 }{{3, 1, 4, 3}, {3, 2, 3, 3}, {8, 2, 8, 8}} {
		r := newReplicaA(t, entriesOfTerm1...)
		piece := replica.SnapshotPiece{Snapshot: replica.Snapshot{Index: test.index, Term: test.term, Members: threeVoters}}
		step(r, start, 2, 2, piece)
		if status := r.Status(start); status.Last != test.last || status.Commit != test.commit {
			t.Errorf("snapshot at index %d of term %d: last index %d, commit index %d", test.index, test.term, status.Last, status.Commit)
		}
	}
}

func TestVoterKeepsToLeaderForElectionTimeout(t *testing.T) {
	request := replica.VoteRequest{LastIndex: 9, LastTerm: 9}
	for _, test := range []struct {
		after time.Duration
		body  replica.VoteRequest
		term  uint64
	}{
		{electionTimeout - 1, request, 2},
		{electionTimeout, request, 5},
		{electionTimeout, replica.VoteRequest{LastIndex: 3, LastTerm: 1}, 5},
		{0, replica.VoteRequest{Transfer: true, LastIndex: 9, LastTerm: 9}, 5},
	} {
		r := newReplicaA(t, entriesOfTerm1...)
		contactAt := start.Add(electionTimeout / 2)
		step(r, contactAt, 2, 2, replica.Append{PreviousIndex: 4, PreviousTerm: 1})
		step(r, contactAt.Add(test.after), 3, 5, test.body)
		hard := r.HardState()
		granted := test.term == 5 && test.body.LastIndex == 9
		if hard.Term != test.term || (hard.Vote == 3) != granted {
			t.Errorf("after %s: term %d, vote %d", test.after, hard.Term, hard.Vote)
		}
	}
}

func TestRestartedVoterWaitsOutTheLease(t *testing.T) {
	r := newReplicaA(t)
	step(r, start.Add(electionTimeout-1), 3, 5, replica.VoteRequest{LastIndex: 9, LastTerm: 9})
	if term := r.HardState().Term; term != 1 {
		t.Errorf("term is %d after a vote request, want 1", term)
	}
}

func TestLeaseStartsWhenTheHeartbeatWasSent(t *testing.T) {
	r := newReplicaA(t)
	sent := leadTerm2(t, r)
	step(r, sent.Add(electionTimeout/2), 2, 2, replica.AppendAnswer{Index: 2, Round: 1})
	lease := time.Duration(float64(electionTimeout) * (1 - replica.ClockRateMargin))
	for after, want := range map[time.Duration]bool{electionTimeout / 2: true, lease - 1: true, lease: false} {
		if got := r.HoldsLease(sent.Add(after)); got != want {
			t.Errorf("lease after %s: got %t", after, got)
		}
	}
}

func TestNothingIsSentBeforeTheHardStateIsPersisted(t *testing.T) {
	learner := memberOf("b", 2)
	learner.Role = replica.Learner
	disk := replica.Persisted{
		HardState: replica.HardState{Cluster: 9, Term: 1},
		Snapshot:  replica.Snapshot{Index: 1, Term: 1, Members: replica.Members{threeVoters[0], learner}},
	}
	r, err := replica.New(start, "a", 1, threeVoters[0].Address, disk)
	if err != nil {
		t.Fatal(err)
	}
	r.Tick(start.Add(time.Minute))
	if ready := r.Ready(); ready.HardState == nil || len(ready.Immediate) > 0 || len(ready.Messages) == 0 {
		t.Errorf("got %+v, want a hard state, messages and no prompt messages", ready)
	}
}
