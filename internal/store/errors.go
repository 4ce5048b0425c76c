package store

import (
	"github.com/joomcode/errorx"

	"sapphirespread.example/replica"
)

var namespace = errorx.NewNamespace("store")

var (
	// ErrNotLeader reports that this instance does not lead; the command is not and will not be applied.
	ErrNotLeader = replica.ErrNotLeader
	// ErrBusy reports that too many commands wait; the command is not and will not be applied.
	ErrBusy = replica.ErrBusy
	// ErrForming reports that too few founding members have joined; the command is not applied.
	ErrForming = replica.ErrForming
	// ErrUnavailable reports that the outcome is unknown: the command may be applied or not.
	ErrUnavailable = namespace.NewType("unavailable").NewWithNoMessage()
	// ErrTooLarge reports a command above MaxCommandBytes.
	ErrTooLarge = namespace.NewType("too-large").NewWithNoMessage()
	// ErrStopped reports that the store was closed or failed before the command was taken.
	ErrStopped = namespace.NewType("stopped").NewWithNoMessage()
	// ErrSuperseded reports a data folder from before a forced recovery.
	ErrSuperseded = replica.ErrSuperseded
	// ErrOtherInstance reports a data folder that belongs to an instance of another name.
	ErrOtherInstance = namespace.NewType("other-instance").NewWithNoMessage()
)
