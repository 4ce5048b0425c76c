package replica

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("replica")

var (
	// ErrNotLeader means that this replica is not the leader or is transferring its leadership; nothing was appended.
	ErrNotLeader = namespace.NewType("not-leader").NewWithNoMessage()
	// ErrBusy means that too many entries are uncommitted; nothing was appended.
	ErrBusy = namespace.NewType("busy").NewWithNoMessage()
	// ErrForming means that too few founding members are voters yet; nothing was appended.
	ErrForming = namespace.NewType("forming").NewWithNoMessage()
	// ErrChangePending means that an earlier membership change, or the first entry of the leader's term, is not committed.
	ErrChangePending = namespace.NewType("change-pending").NewWithNoMessage()
	// ErrUnknownMember means that no suitable member has the given name or id.
	ErrUnknownMember = namespace.NewType("unknown-member").NewWithNoMessage()
	// ErrMemberExists means that a member already has the given name.
	ErrMemberExists = namespace.NewType("member-exists").NewWithNoMessage()
	// ErrNotAnnounced means that no empty replica has recently announced itself under the given name.
	ErrNotAnnounced = namespace.NewType("not-announced").NewWithNoMessage()
	// ErrNotCaughtUp means that a learner is inactive or lacks too many entries to become a voter.
	ErrNotCaughtUp = namespace.NewType("not-caught-up").NewWithNoMessage()
	// ErrLastVoter means that the only voter can't be removed.
	ErrLastVoter = namespace.NewType("last-voter").NewWithNoMessage()
	// ErrNoSuccessor means that no other voter is active to take over the leadership.
	ErrNoSuccessor = namespace.NewType("no-successor").NewWithNoMessage()
	// ErrSuperseded means that a forced recovery has replaced the replica's generation of the cluster for good.
	ErrSuperseded = namespace.NewType("superseded").NewWithNoMessage()
	// ErrOnlyVoter means that a replica needs no forced recovery because it already is the only voter.
	ErrOnlyVoter = namespace.NewType("only-voter").NewWithNoMessage()
	// ErrNoCluster means that a replica can't be recovered by force because it belongs to no cluster.
	ErrNoCluster = namespace.NewType("no-cluster").NewWithNoMessage()
	// ErrInvalid means that a persisted state or a message is malformed or violates the protocol.
	ErrInvalid = namespace.NewType("invalid").NewWithNoMessage()
)
