package replica

import "net/netip"

// A Message goes from one replica to another.
type Message struct {
	From ID
	// To is zero in an announcement.
	To ID
	// ReplyTo is the address of the sender.
	ReplyTo netip.AddrPort
	Cluster uint64
	Lineage Lineage
	Term    uint64
	Body    Body
}

// An Outbound is a message with the address that it goes to.
type Outbound struct {
	Address netip.AddrPort
	Message Message
}

// A Body is the content of a message: one of the types of this file.
type Body interface {
	body()
}

// VoteRequest asks for a vote, or with PreVote whether one would be given.
type VoteRequest struct {
	PreVote bool
	// Transfer marks a campaign that the leader asked for.
	Transfer  bool
	LastIndex uint64
	LastTerm  uint64
}

// VoteAnswer answers a VoteRequest.
type VoteAnswer struct {
	PreVote bool
	Granted bool
}

// Append carries entries that follow the previous one.
type Append struct {
	PreviousIndex uint64
	PreviousTerm  uint64
	Entries       []Entry
	Commit        uint64
	Round         uint64
}

// AppendAnswer tells up to which index the log is the leader's, or which previous index was rejected.
type AppendAnswer struct {
	Rejected bool
	Index    uint64
	// Hint is the highest index that may match after a rejection.
	Hint  uint64
	Round uint64
}

// Heartbeat keeps a replica that is installing a snapshot from campaigning.
type Heartbeat struct {
	Round uint64
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	Round uint64
}

// SnapshotPiece carries the bytes of a snapshot from an offset; Snapshot.Body is the piece.
type SnapshotPiece struct {
	Snapshot Snapshot
	Offset   uint64
	Total    uint64
	Round    uint64
}

// SnapshotAnswer asks for the piece of a snapshot at offset Next.
type SnapshotAnswer struct {
	Index uint64
	Next  uint64
	Round uint64
}

// CampaignNow asks an up-to-date voter to take over the leadership.
type CampaignNow struct{}

// Announcement tells that a replica with an empty disk has started.
type Announcement struct {
	Name    string
	Address netip.AddrPort
}

// AnnouncementAnswer tells an announced replica that this one is empty too.
type AnnouncementAnswer struct {
	Name string
}

// Superseded answers a message of an older generation.
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
