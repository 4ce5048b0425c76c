package replica

import "net/netip"

// A Message is a protocol message between two replicas.
type Message struct {
	From ID
	// To is zero in an announcement that has not been forwarded.
	To ID
	// ReplyTo is the address of the replica From, also in a forwarded message.
	ReplyTo netip.AddrPort
	Cluster uint64
	Lineage Lineage
	Term    uint64
	Body    Body
}

// An Outbound is a message to be sent to an address.
type Outbound struct {
	Address netip.AddrPort
	Message Message
}

// A Body is the content of a message. All implementations are in this file.
type Body interface {
	body()
}

// VoteRequest requests a vote. With PreVote, it only asks whether the receiver would grant one.
type VoteRequest struct {
	PreVote bool
	// Transfer marks an election that the leader itself requested. Voters don't wait for its lease to expire, because it
	// has released the lease.
	Transfer  bool
	LastIndex uint64
	LastTerm  uint64
}

// VoteAnswer answers a VoteRequest.
type VoteAnswer struct {
	PreVote bool
	Granted bool
}

// Append replicates the entries that follow a previous one. Without entries it is a heartbeat.
type Append struct {
	PreviousIndex uint64
	PreviousTerm  uint64
	Entries       []Entry
	Commit        uint64
	Round         uint64
}

// AppendAnswer acknowledges that the log matches the leader's up to Index, or rejects an Append whose previous entry
// was at Index.
type AppendAnswer struct {
	Rejected bool
	Index    uint64
	// Hint is the highest index that may match the leader's log; it is set in a rejection only.
	Hint  uint64
	Round uint64
}

// Heartbeat keeps a replica from campaigning while it receives a snapshot, and probes the configured address of an
// inactive member.
type Heartbeat struct {
	Round uint64
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	Round uint64
}

// SnapshotPiece carries a part of a snapshot. Snapshot.Body holds the bytes from Offset on; Total is the size of the
// whole body in bytes.
type SnapshotPiece struct {
	Snapshot Snapshot
	Offset   uint64
	Total    uint64
	Round    uint64
}

// SnapshotAnswer requests the piece at offset Next of the snapshot at Index.
type SnapshotAnswer struct {
	Index uint64
	Next  uint64
	Round uint64
}

// CampaignNow tells an up-to-date voter to start an election at once, to take over the leadership.
type CampaignNow struct{}

// Announcement announces a replica that has an empty disk or has lost contact with its leader, and its address.
type Announcement struct {
	Name    string
	Address netip.AddrPort
}

// AnnouncementAnswer answers an Announcement. Only an empty replica sends it.
type AnnouncementAnswer struct {
	Name string
}

// Superseded answers a message of an older generation. Its receiver stops for good.
type Superseded struct{}

func (VoteRequest) body()        {}
func (VoteAnswer) body()         {}
func (Append) body()             {}
func (AppendAnswer) body()       {}
func (Heartbeat) body()          {}
func (HeartbeatAnswer) body()    {}
func (SnapshotPiece) body()      {}
func (SnapshotAnswer) body()     {}
func (CampaignNow) body()        {}
func (Announcement) body()       {}
func (AnnouncementAnswer) body() {}
func (Superseded) body()         {}
