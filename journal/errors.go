package journal

import "github.com/joomcode/errorx"

var namespace = errorx.NewNamespace("journal")

var (
	// ErrCorrupt reports that acknowledged data is missing or has changed on disk.
	ErrCorrupt = namespace.NewType("corrupt").NewWithNoMessage()
	// ErrNewerFormat reports a file in the format of a newer release.
	ErrNewerFormat = namespace.NewType("newer-format").NewWithNoMessage()
	// ErrFailed reports that a write or sync failed or that the journal is closed. The journal then accepts no more
	// records, unless Repair succeeds.
	ErrFailed = namespace.NewType("failed").NewWithNoMessage()
	// ErrUnsynced reports that Rotate was called before all appended records were synced.
	ErrUnsynced = namespace.NewType("unsynced").NewWithNoMessage()
	// ErrLocked reports that another process has locked the data folder.
	ErrLocked = namespace.NewType("locked").NewWithNoMessage()
)
