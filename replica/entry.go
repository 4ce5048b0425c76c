package replica

import "time"

// An EntryKind says what an entry carries.
type EntryKind string

// The kinds of entries.
const (
	// CommandEntry carries a command for the state machine.
	CommandEntry EntryKind = "command"
	// MembersEntry carries the members from this entry on.
	MembersEntry EntryKind = "members"
	// EmptyEntry is the first entry of a term.
	EmptyEntry EntryKind = "empty"
)

// An Entry is one place of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	// At is the leader's time, which never decreases along the log.
	At      time.Time
	Kind    EntryKind
	Command []byte
	Members Members
}

func (e Entry) size() int {
	const overhead = 64
	return overhead + len(e.Command) + overhead*len(e.Members)
}
