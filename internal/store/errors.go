package store

import (
	"github.com/joomcode/errorx"

	"sapphirespread.example/replica"
)

var namespace = errorx.NewNamespace("store")

var (
	// ErrNotLeader reports that this instance is not the leader. The command is never applied.
	ErrNotLeader = replica.ErrNotLeader
	// ErrBusy reports that too many commands are queued. The command is never applied.
	ErrBusy = replica.ErrBusy
	// ErrForming reports that too few founding members have joined the cluster. The command is never applied.
	ErrForming = replica.ErrForming
	// ErrUnavailable reports that the outcome is unknown. The command may or may not be applied.
	ErrUnavailable = namespace.NewType("unavailable").NewWithNoMessage()
	// ErrTooLarge reports a command that is larger than MaxCommandBytes.
	ErrTooLarge = namespace.NewType("too-large").NewWithNoMessage()
	// ErrStopped reports that the store was closed or failed before it accepted the command.
	ErrStopped = namespace.NewType("stopped").NewWithNoMessage()
	// ErrSuperseded reports a data folder whose state predates a forced recovery of the cluster.
	ErrSuperseded = replica.ErrSuperseded
	// ErrOtherInstance reports a data folder that belongs to an instance with another name.
	ErrOtherInstance = namespace.NewType("other-instance").NewWithNoMessage()
)
