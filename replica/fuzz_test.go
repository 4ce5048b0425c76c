package replica_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/replica"
	"sapphirespread.example/replica/replicapb"
)

// FuzzRecover checks that the content of a disk is either rejected or starts a replica with all recovered entries.
func FuzzRecover(f *testing.F) {
	snapshot, err := proto.Marshal(replica.EncodeSnapshot(threeVoterSnapshot))
	if err != nil {
		f.Fatal(err)
	}
	hard := replica.EncodeHardStateRecord(replica.HardState{Cluster: 9, Term: 1})
	f.Add(snapshot, replica.EncodeIdentityRecord(1, "a"), hard, replica.EncodeEntryRecord(commandAt(2, 1)))
	f.Add([]byte{}, replica.EncodeEntryRecord(commandAt(1, 1)), replica.EncodeEntryRecord(commandAt(3, 1)), hard)
	f.Fuzz(func(t *testing.T, snapshot, first, second, third []byte) {
		recovery, err := replica.Recover(snapshot, [][]byte{first, second, third})
		if err != nil {
			return
		}
		r, err := replica.New(start, "a", 1, threeVoters[0].Address, recovery.Persisted)
		if err != nil {
			return
		}
		if status := r.Status(start); status.Last != recovery.Persisted.Snapshot.Index+uint64(len(recovery.Persisted.Entries)) {
			t.Errorf("last entry after the start is %d", status.Last)
		}
	})
}

// FuzzStep checks that a malformed message neither panics a replica nor reduces its commit index.
func FuzzStep(f *testing.F) {
	for _, body := range []replica.Body{
		replica.VoteRequest{LastIndex: 9, LastTerm: 9},
		replica.VoteAnswer{Granted: true},
		replica.Append{PreviousIndex: 4, PreviousTerm: 1, Entries: []replica.Entry{commandAt(5, 2)}, Commit: 5},
		replica.AppendAnswer{Rejected: true, Index: 4, Hint: 9},
		replica.Heartbeat{Round: 1},
		replica.HeartbeatAnswer{Round: 1},
		replica.SnapshotPiece{Snapshot: threeVoterSnapshot, Total: 5},
		replica.SnapshotAnswer{Index: 1, Next: 7},
		replica.CampaignNow{},
		replica.Announcement{Name: "d", Address: threeVoters[0].Address},
		replica.AnnouncementAnswer{Name: "d"},
		replica.Superseded{},
	} {
		m := replica.Message{From: 2, To: 1, ReplyTo: threeVoters[1].Address, Cluster: 9, Term: 2, Body: body}
		encoded, err := proto.Marshal(replica.EncodeMessage(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded, true)
		f.Add(encoded, false)
	}
	f.Fuzz(func(t *testing.T, data []byte, leads bool) {
		var encoded replicapb.Message
		if proto.Unmarshal(data, &encoded) != nil {
			return
		}
		m, err := replica.DecodeMessage(&encoded)
		if err != nil {
			return
		}
		r := newReplicaA(t, entriesOfTerm1...)
		now := start
		if leads {
			now = leadTerm2(t, r)
		}
		before := r.Status(now).Commit
		r.Step(now, m)
		settle(r, now)
		r.Tick(now.Add(electionTimeout))
		settle(r, now)
		if after := r.Status(now).Commit; after < before {
			t.Errorf("commit index decreased from %d to %d", before, after)
		}
	})
}
