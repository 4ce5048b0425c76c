package replica

import (
	"fmt"
	"net/netip"
	"time"
)

// termsOfGeneration is the distance between the first terms of two generations, beyond any term that lost replicas reached.
const termsOfGeneration = 1_000_000_000

// A NewGeneration is what a forced recovery writes to the survivor's disk.
type NewGeneration struct {
	// ID is the survivor's new id; zero is none.
	ID ID
	// Cluster is the id of the new cluster, drawn at random.
	Cluster uint64
	Address netip.AddrPort
	// Command is applied after all entries that the survivor holds.
	Command []byte
}

// Member returns the replica that owns the disk, or ErrNoCluster, ErrSuperseded or ErrUnknownMember where it
// can't be recovered by force, and ErrOnlyVoter where it needs not.
func (r Recovery) Member() (Member, error) {
	if r.ID == 0 || r.Persisted.HardState.Cluster == 0 {
		return Member{}, ErrNoCluster
	}
	if newer := r.Persisted.HardState.Superseded; newer != 0 {
		return Member{}, supersededBy(r.Persisted.HardState.Lineage.Generation, newer)
	}
	members := r.Members()
	member, ok := members.Find(r.ID)
	switch {
	case !ok:
		return Member{}, ErrUnknownMember
	case member.Role == Voter && members.count(Voter) == 1:
		return Member{}, ErrOnlyVoter
	}
	return member, nil
}

// Members returns the members by the newest entry on the disk.
func (r Recovery) Members() Members {
	known := configurations{{index: r.Persisted.Snapshot.Index, members: r.Persisted.Snapshot.Members}}
	known.append(r.Persisted.Entries...)
	return known.latest().members
}

// Last returns the index, term and time of the last entry on the disk.
func (r Recovery) Last() (index, term uint64, at time.Time) {
	if n := len(r.Persisted.Entries); n > 0 {
		last := r.Persisted.Entries[n-1]
		return last.Index, last.Term, last.At
	}
	return r.Persisted.Snapshot.Index, r.Persisted.Snapshot.Term, r.Persisted.Snapshot.At
}

// Force returns the records that make the disk's replica the only voter of a new generation; they must be written
// as one. All entries of the disk are kept, committed or not. It fails as Member does.
func (r Recovery) Force(now time.Time, to NewGeneration) ([][]byte, error) {
	self, err := r.Member()
	if err != nil {
		return nil, fmt.Errorf("forcing the recovery of %q: %w", r.Name, err)
	}
	index, _, at := r.Last()
	if now.After(at) {
		at = now
	}
	old := r.Persisted.HardState
	hard := HardState{
		Cluster: to.Cluster, Term: (old.Term/termsOfGeneration + 1) * termsOfGeneration, Vote: to.ID,
		Lineage: old.Lineage.next(old.Cluster),
	}
	alone := Members{{Name: self.Name, ID: to.ID, Address: to.Address, Role: Voter}}
	entry := Entry{Index: index + 1, Term: hard.Term, At: at, Kind: MembersEntry, Members: alone}
	command := Entry{Index: index + 2, Term: hard.Term, At: at, Kind: CommandEntry, Command: to.Command}
	return [][]byte{
		EncodeIdentityRecord(to.ID, r.Name), EncodeHardStateRecord(hard), EncodeEntryRecord(entry), EncodeEntryRecord(command),
	}, nil
}
