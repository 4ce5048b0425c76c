package replica

import (
	"fmt"
	"net/netip"
	"time"
)

// termsPerGeneration is the distance between the first terms of two generations. It is larger than any term that the
// lost replicas can have reached.
const termsPerGeneration = 1_000_000_000

// A GenerationSpec describes the cluster that a forced recovery creates.
type GenerationSpec struct {
	// ID is the survivor's new random id; it must not be zero.
	ID ID
	// Cluster is the random id of the new cluster.
	Cluster uint64
	// Address is the survivor's address.
	Address netip.AddrPort
	// Command is applied after all entries of the survivor's log.
	Command []byte
}

// Member returns the member that the disk belongs to. It returns ErrNoCluster, ErrSuperseded or ErrUnknownMember if the
// replica can't be recovered by force, and ErrOnlyVoter if it doesn't need to be.
func (r RecoveredState) Member() (Member, error) {
	if r.ID == 0 || r.Persisted.HardState.Cluster == 0 {
		return Member{}, ErrNoCluster
	}
	if supersededBy := r.Persisted.HardState.SupersededBy; supersededBy != 0 {
		return Member{}, supersededError(r.Persisted.HardState.Lineage.Generation, supersededBy)
	}
	members := r.Members()
	member, ok := members.FindByID(r.ID)
	switch {
	case !ok:
		return Member{}, ErrUnknownMember
	case member.Role == Voter && members.countRole(Voter) == 1:
		return Member{}, ErrOnlyVoter
	}
	return member, nil
}

// Members returns the newest membership on the disk, committed or not.
func (r RecoveredState) Members() Members {
	history := configurations{{index: r.Persisted.Snapshot.Index, members: r.Persisted.Snapshot.Members}}
	history.append(r.Persisted.Entries...)
	return history.latest().members
}

// LastEntry returns the index, term and time of the last entry on the disk.
func (r RecoveredState) LastEntry() (index, term uint64, at time.Time) {
	if n := len(r.Persisted.Entries); n > 0 {
		last := r.Persisted.Entries[n-1]
		return last.Index, last.Term, last.At
	}
	return r.Persisted.Snapshot.Index, r.Persisted.Snapshot.Term, r.Persisted.Snapshot.At
}

// Force returns the records that make the disk's replica the only voter of a new generation. The caller must append
// them atomically. All entries on the disk are kept, committed or not. Force fails with the errors of Member.
func (r RecoveredState) Force(now time.Time, generation GenerationSpec) ([][]byte, error) {
	self, err := r.Member()
	if err != nil {
		return nil, fmt.Errorf("forcing the recovery of %q: %w", r.Name, err)
	}
	index, _, at := r.LastEntry()
	if now.After(at) {
		at = now
	}
	previous := r.Persisted.HardState
	hard := HardState{
		Cluster: generation.Cluster, Term: (previous.Term/termsPerGeneration + 1) * termsPerGeneration, Vote: generation.ID,
		Lineage: previous.Lineage.next(previous.Cluster),
	}
	soleVoter := Members{{Name: self.Name, ID: generation.ID, Address: generation.Address, Role: Voter}}
	entry := Entry{Index: index + 1, Term: hard.Term, At: at, Kind: MembersEntry, Members: soleVoter}
	command := Entry{Index: index + 2, Term: hard.Term, At: at, Kind: CommandEntry, Command: generation.Command}
	return [][]byte{
		EncodeIdentityRecord(generation.ID, r.Name), EncodeHardStateRecord(hard), EncodeEntryRecord(entry), EncodeEntryRecord(command),
	}, nil
}
