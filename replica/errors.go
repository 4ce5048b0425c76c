package replica

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("replica")

var (
	// ErrNotLeader reports that this replica does not lead; nothing was appended.
	ErrNotLeader = namespace.NewType("not-leader").NewWithNoMessage()
	// ErrBusy reports that too many entries wait to be committed; nothing was appended.
	ErrBusy = namespace.NewType("busy").NewWithNoMessage()
	// ErrForming reports that too few of the founding members have joined; nothing was appended.
	ErrForming = namespace.NewType("forming").NewWithNoMessage()
	// ErrChangePending reports that an earlier change of members is not committed.
	ErrChangePending = namespace.NewType("change-pending").NewWithNoMessage()
	// ErrUnknownMember reports a name that no member has.
	ErrUnknownMember = namespace.NewType("unknown-member").NewWithNoMessage()
	// ErrMemberExists reports a name that a member has already.
	ErrMemberExists = namespace.NewType("member-exists").NewWithNoMessage()
	// ErrNotAnnounced reports a name under which no empty replica has asked to join.
	ErrNotAnnounced = namespace.NewType("not-announced").NewWithNoMessage()
	// ErrNotCaughtUp reports a learner that lacks too many entries to vote.
	ErrNotCaughtUp = namespace.NewType("not-caught-up").NewWithNoMessage()
	// ErrLastVoter reports the removal of the only voter.
	ErrLastVoter = namespace.NewType("last-voter").NewWithNoMessage()
	// ErrNoSuccessor reports that no voter can take over the leadership.
	ErrNoSuccessor = namespace.NewType("no-successor").NewWithNoMessage()
	// ErrSuperseded reports a replica from before a forced recovery, which takes part in nothing any more.
	ErrSuperseded = namespace.NewType("superseded").NewWithNoMessage()
	// ErrOnlyVoter reports a forced recovery of a replica that is the only voter already.
	ErrOnlyVoter = namespace.NewType("only-voter").NewWithNoMessage()
	// ErrNoCluster reports a forced recovery of a replica that belongs to no cluster.
	ErrNoCluster = namespace.NewType("no-cluster").NewWithNoMessage()
	// ErrInvalid reports a persisted state or a message that breaks the protocol.
	ErrInvalid = namespace.NewType("invalid").NewWithNoMessage()
)
