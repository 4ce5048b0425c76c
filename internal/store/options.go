package store

import (
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

const (
	// MaxCommandBytes bounds one command.
	MaxCommandBytes      = 4 << 20
	defaultSnapshotBytes = 16 << 20
	queueLength          = 4096
)

type options struct {
	logger        zerolog.Logger
	fsys          journal.FS
	snapshotBytes int64
	replica       []replica.Option
	now           func() time.Time
}

// An Option changes how a store works.
type Option func(*options)

// WithLogger sets where the store logs.
func WithLogger(logger zerolog.Logger) Option {
	return func(o *options) { o.logger = logger }
}

// WithFS sets the files of the journal in place of the data folder.
func WithFS(fsys journal.FS) Option {
	return func(o *options) { o.fsys = fsys }
}

// WithSnapshotBytes sets the length of the log at which a snapshot is taken; 16 MiB by default.
func WithSnapshotBytes(size int64) Option {
	return func(o *options) { o.snapshotBytes = size }
}

// WithClock sets the clock that leases are measured with, in place of one that counts the time of a suspended machine.
func WithClock(now func() time.Time) Option {
	return func(o *options) { o.now = now }
}

// WithReplicaOptions passes options on to the replica.
func WithReplicaOptions(opts ...replica.Option) Option {
	return func(o *options) { o.replica = append(o.replica, opts...) }
}

func newOptions(opts []Option) options {
	o := options{logger: zerolog.Nop(), snapshotBytes: defaultSnapshotBytes, now: boottime.Now}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
