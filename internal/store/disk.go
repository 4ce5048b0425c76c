package store

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"

	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
)

// disk persists the state of a replica in a journal.
type disk struct {
	journal       *journal.Journal
	id            replica.ID
	instance      string
	snapshotBytes int64
}

// openDisk opens the journal and returns its recovered state. It assigns a new replica ID to an empty journal.
func openDisk(fsys journal.FS, name string) (*disk, replica.Persisted, error) {
	j, recovered, err := journal.Open(fsys)
	if err != nil {
		return nil, replica.Persisted{}, fmt.Errorf("opening the journal: %w", err)
	}
	d := &disk{journal: j, instance: name, snapshotBytes: int64(len(recovered.Snapshot))}
	persisted, err := d.load(recovered)
	if err == nil && d.id == 0 {
		err = d.assignID()
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
	if recovery.ID != 0 && recovery.Name != d.instance {
		return replica.Persisted{}, fmt.Errorf("opening the data folder of %q as %q: %w", recovery.Name, d.instance, ErrOtherInstance)
	}
	d.id = recovery.ID
	return recovery.Persisted, nil
}

func (d *disk) assignID() error {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return fmt.Errorf("drawing a replica id: %w", err)
	}
	d.id = replica.ID(binary.LittleEndian.Uint64(random[:]) | 1)
	d.journal.Append(replica.EncodeIdentityRecord(d.id, d.instance))
	return d.journal.Sync()
}

// persist appends the hard state and the entries of a Ready to the journal and syncs it.
func (d *disk) persist(ready replica.Ready) error {
	if ready.HardState != nil {
		d.journal.Append(replica.EncodeHardStateRecord(*ready.HardState))
	}
	for _, entry := range ready.Entries {
		d.journal.Append(replica.EncodeEntryRecord(entry))
	}
	return d.journal.Sync()
}

// retryPersist repairs the journal and writes the records again that persist could not write.
func (d *disk) retryPersist() error {
	if d.journal.Repairable() {
		if err := d.journal.Repair(); err != nil {
			return err
		}
	}
	return d.journal.Sync()
}

// rotate activates a staged snapshot and starts a new log with the hard state and the given entries, which follow the
// snapshot.
func (d *disk) rotate(staged *journal.StagedSnapshot, snapshotBytes int64, hard replica.HardState, entries []replica.Entry) error {
	records := [][]byte{replica.EncodeIdentityRecord(d.id, d.instance), replica.EncodeHardStateRecord(hard)}
	for _, entry := range entries {
		records = append(records, replica.EncodeEntryRecord(entry))
	}
	if err := d.journal.Rotate(staged, records...); err != nil {
		return err
	}
	d.snapshotBytes = snapshotBytes
	return nil
}
