package store

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"sapphirespread.example/journal"
	"sapphirespread.example/replica"
	"sapphirespread.example/replica/replicapb"
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
		return nil, replica.Persisted{}, errorx.Decorate(err, "opening the journal")
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
	state := newState()
	if err := state.restore(recovered.Snapshot); err != nil {
		return replica.Persisted{}, err
	}
	for i, record := range recovered.Records {
		if err := state.add(record); err != nil {
			return replica.Persisted{}, errorx.Decorate(err, "reading record %d of the journal", i)
		}
	}
	if state.id != 0 && state.name != d.name {
		return replica.Persisted{}, errorx.Decorate(ErrOtherInstance, "opening the data folder of %q as %q", state.name, d.name)
	}
	d.id = state.id
	return state.persisted, nil
}

func (d *disk) initialize() error {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return errorx.Decorate(err, "drawing a replica id")
	}
	d.id = replica.ID(binary.LittleEndian.Uint64(random[:]) | 1)
	d.journal.Append(d.identity())
	return d.journal.Sync()
}

// persist returns once the hard state and entries of a Ready last.
func (d *disk) persist(ready replica.Ready) error {
	if ready.HardState != nil {
		d.journal.Append(encodeHardState(*ready.HardState))
	}
	for _, entry := range ready.Entries {
		d.journal.Append(encodeEntry(entry))
	}
	return d.journal.Sync()
}

// rotate puts a written snapshot in force, followed by the hard state and the entries after it.
func (d *disk) rotate(written *journal.WrittenSnapshot, size int64, hard replica.HardState, entries []replica.Entry) error {
	records := [][]byte{d.identity(), encodeHardState(hard)}
	for _, entry := range entries {
		records = append(records, encodeEntry(entry))
	}
	if err := d.journal.Rotate(written, records...); err != nil {
		return err
	}
	d.snapshot = size
	return nil
}

func (d *disk) identity() []byte {
	return encodeRecord(&replicapb.Record{Body: &replicapb.Record_Identity{
		Identity: &replicapb.Identity{Id: uint64(d.id), Name: d.name},
	}})
}

func encodeHardState(hard replica.HardState) []byte {
	return encodeRecord(&replicapb.Record{Body: &replicapb.Record_HardState{HardState: replica.EncodeHardState(hard)}})
}

func encodeEntry(entry replica.Entry) []byte {
	return encodeRecord(&replicapb.Record{Body: &replicapb.Record_Entry{Entry: replica.EncodeEntry(entry)}})
}

func encodeRecord(record *replicapb.Record) []byte {
	encoded, err := proto.Marshal(record)
	if err != nil {
		panic(errorx.Decorate(err, "encoding a record"))
	}
	return encoded
}
