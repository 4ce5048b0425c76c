package replica_test

import (
	"testing"

	"sapphirespread.example/replica"
)

// TestEntriesKeptForSlowFollowersAreBoundedInBytes guards against a log that keeps large commands by their number alone
// after a snapshot, until the process runs out of memory.
func TestEntriesKeptForSlowFollowersAreBoundedInBytes(t *testing.T) {
	const (
		count        = 100
		commandBytes = 1 << 20
		bound        = 16 << 20 // the documented default
	)
	var entries []replica.Entry
	for i := range uint64(count) {
		entry := commandAt(i+2, 1)
		entry.Command = make([]byte, commandBytes)
		entries = append(entries, entry)
	}
	r := newReplicaA(t, entries...)
	now := leadTerm2(t, r)
	last := uint64(count + 2) // with the leader's own empty entry
	step(r, now, 2, 2, replica.AppendAnswer{Index: last, Round: 1})
	snapshot, ok := r.AppliedSnapshot()
	if !ok || snapshot.Index != last {
		t.Fatalf("the snapshot covers entry %d, want %d", snapshot.Index, last)
	}
	r.Compact(snapshot)
	if held := r.HeldBytes(); held > bound {
		t.Errorf("the log holds %d bytes after a snapshot, want at most %d", held, bound)
	}
	// A follower that lacks only what was kept still gets entries instead of the snapshot.
	step(r, now, 3, 2, replica.AppendAnswer{Index: last - 10, Round: 1})
	if r.Status(now).Members[2].InstallingSnapshot {
		t.Error("a follower that lacks ten entries gets a snapshot")
	}
}
