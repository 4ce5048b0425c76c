package replica

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/replica/replicapb"
)

// EncodeIdentityRecord encodes a record of the id and name of the replica that a disk belongs to.
func EncodeIdentityRecord(id ID, name string) []byte {
	return encodeRecord(&replicapb.Record{Body: &replicapb.Record_Identity{
		Identity: &replicapb.Identity{Id: uint64(id), Name: name},
	}})
}

// EncodeHardStateRecord encodes a record that replaces the hard state.
func EncodeHardStateRecord(hard HardState) []byte {
	return encodeRecord(&replicapb.Record{Body: &replicapb.Record_HardState{HardState: EncodeHardState(hard)}})
}

// EncodeEntryRecord encodes a record that replaces the log from the entry's index on.
func EncodeEntryRecord(entry Entry) []byte {
	return encodeRecord(&replicapb.Record{Body: &replicapb.Record_Entry{Entry: EncodeEntry(entry)}})
}

func encodeRecord(record *replicapb.Record) []byte {
	encoded, err := proto.Marshal(record)
	if err != nil {
		panic(fmt.Errorf("encoding record: %w", err))
	}
	return encoded
}
