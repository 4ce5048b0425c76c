package store

import (
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
	"sapphirespread.example/replica/replicapb"
)

// state is what the records of a journal add up to.
type state struct {
	id        replica.ID
	name      string
	persisted replica.Persisted
}

func newState() *state {
	return &state{}
}

func (s *state) restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		return nil
	}
	var encoded replicapb.Snapshot
	if err := proto.Unmarshal(snapshot, &encoded); err != nil {
		return errorx.Decorate(journal.ErrCorrupt, "decoding the snapshot: %v", err)
	}
	decoded, err := replica.DecodeSnapshot(&encoded)
	if err != nil {
		return errorx.Decorate(journal.ErrCorrupt, "decoding the snapshot: %v", err)
	}
	s.persisted.Snapshot = decoded
	return nil
}

func (s *state) add(record []byte) error {
	var encoded replicapb.Record
	if err := proto.Unmarshal(record, &encoded); err != nil {
		return errorx.Decorate(journal.ErrCorrupt, "decoding: %v", err)
	}
	switch body := encoded.GetBody().(type) {
	case *replicapb.Record_Identity:
		s.id = replica.ID(body.Identity.GetId())
		s.name = body.Identity.GetName()
	case *replicapb.Record_HardState:
		s.persisted.HardState = replica.DecodeHardState(body.HardState)
	case *replicapb.Record_Entry:
		return s.addEntry(body.Entry)
	default:
		return errorx.Decorate(journal.ErrCorrupt, "decoding: unknown kind of record")
	}
	return nil
}

// addEntry appends an entry; one whose index is held drops the held ones from there on.
func (s *state) addEntry(encoded *replicapb.Entry) error {
	entry, err := replica.DecodeEntry(encoded)
	if err != nil {
		return errorx.Decorate(journal.ErrCorrupt, "decoding: %v", err)
	}
	first := s.persisted.Snapshot.Index + 1
	next := first + uint64(len(s.persisted.Entries))
	if entry.Index < first || entry.Index > next {
		return errorx.Decorate(journal.ErrCorrupt, "entry %d does not follow entry %d", entry.Index, next-1)
	}
	s.persisted.Entries = append(s.persisted.Entries[:entry.Index-first], entry)
	return nil
}
