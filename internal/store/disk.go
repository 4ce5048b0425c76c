package store

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

// disk keeps a replica's state in a journal.
type disk struct {
	journal  *journal.Journal
	id       replica.ID
	name     string
	snapshot int64
}

// openDisk recovers what the journal holds; an empty one gets a new replica id.
func openDisk(fsys journal.FS, name string) (*disk, replica.Persisted, error) {
	j, recovered, err := journal.Open(fsys)
	if err != nil {
		return nil, replica.Persisted{}, fmt.Errorf("opening the journal: %w", err)
	}
	d := &disk{journal: j, name: name, snapshot: int64(len(recovered.Snapshot))}
	persisted, err := d.load(recovered)
	if err == nil && d.id == 0 {
		err = d.initialize()
	}
	if err != nil {
		_ = j.Close()
		return nil, replica.Persisted{}, err
	}
	return d, persisted, nil
}

func (d *disk) load(recovered journal.Recovered) (replica.Persisted, error) {
	recovery, err := replica.Recover(recovered.Snapshot, recovered.Records)
	if err != nil {
		return replica.Persisted{}, err
	}
	if recovery.ID != 0 && recovery.Name != d.name {
		return replica.Persisted{}, fmt.Errorf("opening the data folder of %q as %q: %w", recovery.Name, d.name, ErrOtherInstance)
	}
	d.id = recovery.ID
	return recovery.Persisted, nil
}

func (d *disk) initialize() error {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("drawing a replica id: %w", err)
	}
	d.id = replica.ID(binary.LittleEndian.Uint64(random[:]) | 1)
	d.journal.Append(replica.EncodeIdentityRecord(d.id, d.name))
	return d.journal.Sync()
}

// persist returns once the hard state and entries of a Ready last.
func (d *disk) persist(ready replica.Ready) error {
	if ready.HardState != nil {
		d.journal.Append(replica.EncodeHardStateRecord(*ready.HardState))
	}
	for _, entry := range ready.Entries {
		d.journal.Append(replica.EncodeEntryRecord(entry))
	}
	return d.journal.Sync()
}

// rotate puts a written snapshot in force, followed by the hard state and the entries after it.
func (d *disk) rotate(written *journal.StagedSnapshot, size int64, hard replica.HardState, entries []replica.Entry) error {
	records := [][]byte{replica.EncodeIdentityRecord(d.id, d.name), replica.EncodeHardStateRecord(hard)}
	for _, entry := range entries {
		records = append(records, replica.EncodeEntryRecord(entry))
	}
	if err := d.journal.Rotate(written, records...); err != nil {
		return err
	}
	d.snapshot = size
	return nil
}
