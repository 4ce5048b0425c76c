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
	// SnapshotIndex is the last index that the snapshot covers.
	SnapshotIndex uint64
	Members       []MemberStatus
	// Announced are the empty replicas that ask to join, as the leader sees them.
	Announced []Member
}

// A MemberStatus is a member as the leader sees it; only Member is set at other replicas.
type MemberStatus struct {
	Member
	Match   uint64
	Active  bool
	Install bool
}

// Status returns the replica's view at now.
func (r *Replica) Status(now time.Time) Status {
	status := Status{
		Name: r.self.Name, ID: r.self.ID, Cluster: r.hard.Cluster,
		Phase: r.phase, Term: r.hard.Term, Leader: r.leader,
		Commit: r.commit, Applied: r.applied, Last: r.log.last(), SnapshotIndex: r.snapshot.Index,
	}
	for _, member := range r.Members() {
		status.Members = append(status.Members, r.memberStatus(now, member))
	}
	if r.phase == Leader {
		for _, joining := range r.leading.joiners {
			if now.Before(joining.heardAt.Add(r.electionTimeout)) {
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
		status.Match = r.stable
		status.Active = true
		return status
	}
	p := r.leading.progress[member.ID]
	status.Match = p.match
	status.Active = r.active(now, member.ID, 1)
	status.Install = p.transfer != nil
	return status
}

// Leader returns the member that leads, as far as this replica knows.
func (r *Replica) Leader() (Member, bool) {
	leader, known := r.Members().Find(r.leader)
	if known {
		leader.Address = r.addressOf(leader)
	}
	return leader, known
}

// Phase returns what the replica currently does.
func (r *Replica) Phase() Phase {
	return r.phase
}

// Applied returns the index of the last entry that was passed on to be applied.
func (r *Replica) Applied() uint64 {
	return r.applied
}

// AppliedSnapshot returns a snapshot without a body of all applied entries, or false where there is none newer.
func (r *Replica) AppliedSnapshot() (Snapshot, bool) {
	if r.applied <= r.snapshot.Index {
		return Snapshot{}, false
	}
	entry := r.log.at(r.applied)
	return Snapshot{Index: entry.Index, Term: entry.Term, At: entry.At, Members: r.MembersAt(entry.Index)}, true
}
