package store

import (
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

const (
	// MaxCommandBytes is the maximum size of a command.
	MaxCommandBytes      = 4 << 20
	defaultSnapshotBytes = 16 << 20
	queueLength          = 4096
)

type options struct {
	logger         zerolog.Logger
	fsys           journal.FS
	snapshotBytes  int64
	replicaOptions []replica.Option
	now            func() time.Time
}

// An Option configures a Store.
type Option func(*options)

// WithLogger sets the logger; by default nothing is logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// WithFS stores the journal in fsys instead of the data folder.
func WithFS(fsys journal.FS) Option {
	return func(o *options) { o.fsys = fsys }
}

// WithSnapshotBytes sets the size of the log from which on a snapshot is taken, 16 MiB by default.
func WithSnapshotBytes(size int64) Option {
	return func(o *options) { o.snapshotBytes = size }
}

// WithRetainedBytes sets the maximum size of the entries before a snapshot that are kept for slow followers, see
// replica.WithRetainedBytes.
func WithRetainedBytes(size int64) Option {
	return WithReplicaOptions(replica.WithRetainedBytes(size))
}

// WithClock sets the clock that measures leases. The default clock includes the time during which the machine is
// suspended.
func WithClock(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

// WithReplicaOptions adds options for the replica.
func WithReplicaOptions(opts ...replica.Option) Option {
	return func(o *options) { o.replicaOptions = append(o.replicaOptions, opts...) }
}

func newOptions(opts []Option) options {
	o := options{logger: zerolog.Nop(), snapshotBytes: defaultSnapshotBytes, now: boottime.Now}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
