package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/replica/replicapb"
)

// A Recovery is what the snapshot and the records of a disk add up to.
type Recovery struct {
	// ID is zero for an empty disk.
	ID        ID
	Name      string
	Persisted Persisted
}

// Recover reads the snapshot of a disk, empty for none, and its records in order; it fails with ErrInvalid.
func Recover(snapshot []byte, records [][]byte) (Recovery, error) {
	var r Recovery
	if err := r.restore(snapshot); err != nil {
		return Recovery{}, fmt.Errorf("reading the snapshot: %w", err)
	}
	for i, record := range records {
		if err := r.add(record); err != nil {
			return Recovery{}, fmt.Errorf("reading record %d: %w", i, err)
		}
	}
	return r, nil
}

func (r *Recovery) restore(snapshot []byte) error {
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

func (r *Recovery) add(record []byte) error {
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

// addEntry appends an entry; one whose index is held drops the held ones from there on.
func (r *Recovery) addEntry(encoded *replicapb.Entry) error {
	entry, err := DecodeEntry(encoded)
	if err != nil {
		return err
	}
	held := &r.Persisted.Entries
	first := r.Persisted.Snapshot.Index + 1
	next := first + uint64(len(*held))
	if entry.Index < first || entry.Index > next {
		return fmt.Errorf("entry %d does not follow entry %d: %w", entry.Index, next-1, ErrInvalid)
	}
	*held = append((*held)[:entry.Index-first], entry)
	return nil
}
