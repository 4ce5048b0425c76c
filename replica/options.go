package replica

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	defaultElectionTimeout    = time.Second
	defaultHeartbeat          = 100 * time.Millisecond
	defaultRetainedEntries    = 4096
	defaultRetainedBytes      = 16 << 20
	defaultSnapshotPieceBytes = 256 << 10
	defaultAppendMessageBytes = 256 << 10
	maxInFlightAppends        = 32
	maxUncommittedEntries     = 16384
	maxPromotionLag           = 64
	// ClockRateMargin is the fraction of the election timeout by which a lease is shorter. It bounds the tolerated
	// difference between clock rates.
	ClockRateMargin = 0.1
	// lostNonVoterTimeouts is the number of election timeouts after which an inactive non-voter is removed from an open
	// membership.
	lostNonVoterTimeouts = 10
	// lostMemberTimeouts is the number of election timeouts after which an empty replica can replace an inactive member,
	// and an inactive surplus voter is removed from an open membership.
	lostMemberTimeouts = 3
	retainedRounds     = 128
)

// A Peer is a member of the cluster as configured in the settings.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

type options struct {
	electionTimeout    time.Duration
	heartbeat          time.Duration
	peers              []Peer
	join               bool
	openMembershipSize int
	random             *rand.Rand
	retainedEntries    uint64
	retainedBytes      int64
	snapshotPieceBytes int
	appendMessageBytes int
}

// An Option configures a replica.
type Option func(*options)

// WithElectionTimeout sets how long voters refuse to elect another leader after the last message of the current one.
// The default is 1 second.
func WithElectionTimeout(timeout time.Duration) Option {
	return func(o *options) { o.electionTimeout = timeout }
}

// WithHeartbeat sets the interval between a leader's heartbeats. The default is 100 milliseconds.
func WithHeartbeat(interval time.Duration) Option {
	return func(o *options) { o.heartbeat = interval }
}

// WithPeers sets the configured members of the cluster, including this replica.
func WithPeers(peers ...Peer) Option {
	return func(o *options) { o.peers = peers }
}

// WithJoin sets whether a replica with an empty disk only joins an existing cluster and never founds one.
func WithJoin(join bool) Option {
	return func(o *options) { o.join = join }
}

// WithOpenMembership makes the leader admit announced replicas, and remove inactive non-voters and, while there are
// more than size voters, inactive voters. A size of zero leaves membership changes to operators and is the default.
func WithOpenMembership(size int) Option {
	return func(o *options) { o.openMembershipSize = size }
}

// WithRandom sets the random source of election timeouts and cluster ids.
func WithRandom(random *rand.Rand) Option {
	return func(o *options) { o.random = random }
}

// WithRetainedEntries sets how many entries before a snapshot are kept for slow followers. The default is 4096.
func WithRetainedEntries(count uint64) Option {
	return func(o *options) { o.retainedEntries = count }
}

// WithRetainedBytes sets the maximum size in bytes of the entries before a snapshot that are kept for slow followers. The
// default is 16 MiB.
func WithRetainedBytes(size int64) Option {
	return func(o *options) { o.retainedBytes = size }
}

// WithPieceBytes sets the maximum size of a snapshot piece in bytes. The default is 256 KiB.
func WithPieceBytes(size int) Option {
	return func(o *options) { o.snapshotPieceBytes = size }
}

// WithAppendBytes sets the approximate maximum size of the entries in one message in bytes. The default is 256 KiB.
func WithAppendBytes(size int) Option {
	return func(o *options) { o.appendMessageBytes = size }
}

func newOptions(opts []Option) options {
	o := options{
		electionTimeout:    defaultElectionTimeout,
		heartbeat:          defaultHeartbeat,
		retainedEntries:    defaultRetainedEntries,
		retainedBytes:      defaultRetainedBytes,
		snapshotPieceBytes: defaultSnapshotPieceBytes,
		appendMessageBytes: defaultAppendMessageBytes,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.random == nil {
		o.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}
