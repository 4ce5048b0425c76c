package journal

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("journal")

var (
	// ErrCorrupt reports that acknowledged bytes have changed on disk.
	ErrCorrupt = namespace.NewType("corrupt").NewWithNoMessage()
	// ErrNewerFormat reports a file written by a newer release.
	ErrNewerFormat = namespace.NewType("newer-format").NewWithNoMessage()
	// ErrFailed reports that an earlier write or sync failed and that the journal takes no more records.
	ErrFailed = namespace.NewType("failed").NewWithNoMessage()
	// ErrUnsynced reports a rotation while appended records were not yet synced.
	ErrUnsynced = namespace.NewType("unsynced").NewWithNoMessage()
	// ErrLocked reports that another process uses the data folder.
	ErrLocked = namespace.NewType("locked").NewWithNoMessage()
)
