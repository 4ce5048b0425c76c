package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/replica/replicapb"
)

// EncodeIdentityRecord returns the record that names the replica that owns a disk.
func EncodeIdentityRecord(id ID, name string) []byte {
	return encodeRecord(&replicapb.Record{Body: &replicapb.Record_Identity{
		Identity: &replicapb.Identity{Id: uint64(id), Name: name},
	}})
}

// EncodeHardStateRecord returns the record that replaces the hard state.
func EncodeHardStateRecord(hard HardState) []byte {
	return encodeRecord(&replicapb.Record{Body: &replicapb.Record_HardState{HardState: EncodeHardState(hard)}})
}

// EncodeEntryRecord returns the record that replaces the log from an entry's index on.
func EncodeEntryRecord(entry Entry) []byte {
	return encodeRecord(&replicapb.Record{Body: &replicapb.Record_Entry{Entry: EncodeEntry(entry)}})
}

func encodeRecord(record *replicapb.Record) []byte {
	encoded, err := proto.Marshal(record)
	if err != nil {
		panic(fmt.Errorf("encoding a record: %w", err))
	}
	return encoded
}
