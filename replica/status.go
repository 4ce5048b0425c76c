package replica

import "time"

// A Status is a replica's view of itself and its cluster.
type Status struct {
	Name    string
	ID      ID
	Cluster uint64
	Phase   Phase
	Term    uint64
	Leader  ID
	Commit  uint64
	Applied uint64
	Last    uint64
	// SnapshotIndex is the last index that the snapshot includes.
	SnapshotIndex uint64
	Members       []MemberStatus
	// Announced holds the replicas that have recently announced themselves and can join; only the leader sets it.
	Announced []Member
}

// A MemberStatus is the leader's view of a member. Other replicas set only Member.
type MemberStatus struct {
	Member
	// Match is the highest index up to which the member's log is known to match the leader's.
	Match uint64
	// Active is set if the member answered within the last election timeout.
	Active bool
	// InstallingSnapshot is set while the leader sends a snapshot to the member.
	InstallingSnapshot bool
}

// Status returns the replica's view of itself and its cluster at now.
func (r *Replica) Status(now time.Time) Status {
	status := Status{
		Name: r.self.Name, ID: r.self.ID, Cluster: r.hardState.Cluster,
		Phase: r.phase, Term: r.hardState.Term, Leader: r.leader,
		Commit: r.commitIndex, Applied: r.appliedIndex, Last: r.log.lastIndex(), SnapshotIndex: r.snapshot.Index,
	}
	for _, member := range r.Members() {
		status.Members = append(status.Members, r.memberStatus(now, member))
	}
	if r.phase == Leader {
		for _, joining := range r.leadership.joiners {
			if now.Before(joining.announcedAt.Add(r.electionTimeout)) {
				status.Announced = append(status.Announced, joining.member)
			}
		}
	}
	return status
}

func (r *Replica) memberStatus(now time.Time, member Member) MemberStatus {
	status := MemberStatus{Member: member}
	if r.phase != Leader {
		return status
	}
	if member.ID == r.self.ID {
		status.Match = r.persistedIndex
		status.Active = true
		return status
	}
	p := r.leadership.progress[member.ID]
	status.Match = p.match
	status.Active = r.isActive(now, member.ID, 1)
	status.InstallingSnapshot = p.snapshotTransfer != nil
	return status
}

// Leader returns the leader with its last known address, or false if this replica knows no leader.
func (r *Replica) Leader() (Member, bool) {
	leader, known := r.Members().FindByID(r.leader)
	if known {
		leader.Address = r.addressOf(leader)
	}
	return leader, known
}

// Phase returns the replica's current phase.
func (r *Replica) Phase() Phase {
	return r.phase
}

// Applied returns the index of the last applied entry, as confirmed by Advance or included in an installed snapshot.
func (r *Replica) Applied() uint64 {
	return r.appliedIndex
}

// AppliedSnapshot returns a snapshot of all applied entries without its body, or false if no entry was applied since
// the previous snapshot.
func (r *Replica) AppliedSnapshot() (Snapshot, bool) {
	if r.appliedIndex <= r.snapshot.Index {
		return Snapshot{}, false
	}
	entry := r.log.entryAt(r.appliedIndex)
	return Snapshot{Index: entry.Index, Term: entry.Term, At: entry.At, Members: r.MembersAt(entry.Index)}, true
}
