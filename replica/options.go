package replica

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

const (
	defaultElectionTimeout = time.Second
	defaultHeartbeat       = 100 * time.Millisecond
	defaultRetainedEntries = 4096
	defaultPieceBytes      = 256 << 10
	defaultAppendBytes     = 256 << 10
	maxInFlightAppends     = 32
	maxUncommittedEntries  = 16384
	promotionLag           = 64
	// ClockRateMargin is the share by which a lease is shorter than the time for which voters keep it.
	ClockRateMargin = 0.1
	// forgottenTimeouts is how many election timeouts a member without a vote is silent before it is taken out.
	forgottenTimeouts = 10
	// silentTimeouts is how many election timeouts a member is silent before an empty replica replaces it.
	silentTimeouts = 3
	roundsKept     = 128
)

// A Peer is a configured member of a cluster.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

type options struct {
	electionTimeout time.Duration
	heartbeat       time.Duration
	peers           []Peer
	join            bool
	openSize        int
	random          *rand.Rand
	retained        uint64
	pieceBytes      int
	appendBytes     int
}

// An Option changes how a replica acts.
type Option func(*options)

// WithElectionTimeout sets for how long voters keep to a leader that they last heard from; one second by default.
func WithElectionTimeout(timeout time.Duration) Option {
	return func(o *options) { o.electionTimeout = timeout }
}

// WithHeartbeat sets the interval between a leader's heartbeats; 100 milliseconds by default.
func WithHeartbeat(interval time.Duration) Option {
	return func(o *options) { o.heartbeat = interval }
}

// WithPeers sets the configured members, this one included.
func WithPeers(peers ...Peer) Option {
	return func(o *options) { o.peers = peers }
}

// WithJoin keeps a replica with an empty disk from founding a cluster.
func WithJoin(join bool) Option {
	return func(o *options) { o.join = join }
}

// WithOpenMembership makes the leader admit replicas that announce themselves, and take silent voters out while there are
// more than size, without an operator; zero leaves both to operators.
func WithOpenMembership(size int) Option {
	return func(o *options) { o.openSize = size }
}

// WithRandom sets the source of election timeouts and cluster ids.
func WithRandom(random *rand.Rand) Option {
	return func(o *options) { o.random = random }
}

// WithRetainedEntries sets how many entries before a snapshot are kept for slow followers.
func WithRetainedEntries(count uint64) Option {
	return func(o *options) { o.retained = count }
}

// WithPieceBytes sets the size of a snapshot's pieces.
func WithPieceBytes(size int) Option {
	return func(o *options) { o.pieceBytes = size }
}

// WithAppendBytes sets about how many bytes of entries one message carries.
func WithAppendBytes(size int) Option {
	return func(o *options) { o.appendBytes = size }
}

func newOptions(opts []Option) options {
	o := options{
		electionTimeout: defaultElectionTimeout,
		heartbeat:       defaultHeartbeat,
		retained:        defaultRetainedEntries,
		pieceBytes:      defaultPieceBytes,
		appendBytes:     defaultAppendBytes,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.random == nil {
		o.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return o
}
