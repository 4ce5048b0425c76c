package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/replica/replicapb"
)

// A RecoveredState is the state of a replica as read from the snapshot and the records of its disk.
type RecoveredState struct {
	// ID is the replica's id; zero for an empty disk.
	ID        ID
	Name      string
	Persisted Persisted
}

// Recover decodes the snapshot of a disk and applies its records in order. An empty snapshot stands for none. Recover
// returns ErrInvalid if the snapshot or a record is malformed, or an entry doesn't follow the previous one.
func Recover(snapshot []byte, records [][]byte) (RecoveredState, error) {
	var r RecoveredState
	if err := r.restoreSnapshot(snapshot); err != nil {
		return RecoveredState{}, fmt.Errorf("reading snapshot: %w", err)
	}
	for i, record := range records {
		if err := r.addRecord(record); err != nil {
			return RecoveredState{}, fmt.Errorf("reading record %d: %w", i, err)
		}
	}
	return r, nil
}

func (r *RecoveredState) restoreSnapshot(snapshot []byte) error {
	if len(snapshot) == 0 {
		return nil
	}
	var encoded replicapb.Snapshot
	if err := proto.Unmarshal(snapshot, &encoded); err != nil {
		return fmt.Errorf("decoding: %v: %w", err, ErrInvalid)
	}
	decoded, err := DecodeSnapshot(&encoded)
	if err != nil {
		return err
	}
	r.Persisted.Snapshot = decoded
	return nil
}

func (r *RecoveredState) addRecord(record []byte) error {
	var encoded replicapb.Record
	if err := proto.Unmarshal(record, &encoded); err != nil {
		return fmt.Errorf("decoding: %v: %w", err, ErrInvalid)
	}
	switch body := encoded.GetBody().(type) {
	case *replicapb.Record_Identity:
		r.ID = ID(body.Identity.GetId())
		r.Name = body.Identity.GetName()
	case *replicapb.Record_HardState:
		r.Persisted.HardState = DecodeHardState(body.HardState)
	case *replicapb.Record_Entry:
		return r.addEntry(body.Entry)
	default:
		return fmt.Errorf("decoding: unknown kind of record: %w", ErrInvalid)
	}
	return nil
}

// addEntry appends an entry. An entry at an existing index replaces the entries from that index on.
func (r *RecoveredState) addEntry(encoded *replicapb.Entry) error {
	entry, err := DecodeEntry(encoded)
	if err != nil {
		return err
	}
	entries := &r.Persisted.Entries
	first := r.Persisted.Snapshot.Index + 1
	next := first + uint64(len(*entries))
	if entry.Index < first || entry.Index > next {
		return fmt.Errorf("entry %d does not follow entry %d: %w", entry.Index, next-1, ErrInvalid)
	}
	*entries = append((*entries)[:entry.Index-first], entry)
	return nil
}
