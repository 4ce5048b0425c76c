package replica

import "time"

// An EntryKind is the kind of an entry's content.
type EntryKind string

// The kinds of entries.
const (
	// CommandEntry carries a command for the state machine.
	CommandEntry EntryKind = "command"
	// MembersEntry carries the membership that is in force from this entry on.
	MembersEntry EntryKind = "members"
	// EmptyEntry has no content. A new leader appends it as the first entry of its term.
	EmptyEntry EntryKind = "empty"
)

// An Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	// At is the leader's time when it appended the entry. It never decreases along the log.
	At      time.Time
	Kind    EntryKind
	Command []byte
	Members Members
}

// size returns the approximate size of an encoded entry in bytes.
func (e Entry) size() int {
	const overhead = 64
	return overhead + len(e.Command) + overhead*len(e.Members)
}
