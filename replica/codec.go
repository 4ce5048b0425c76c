package replica

import (
	"fmt"
	"net/netip"
	"time"

	"sapphirespread.example/replica/replicapb"
)

// EncodeEntry converts an entry to protobuf.
func EncodeEntry(entry Entry) *replicapb.Entry {
	return &replicapb.Entry{
		Index:   entry.Index,
		Term:    entry.Term,
		At:      entry.At.UnixNano(),
		Kind:    string(entry.Kind),
		Command: entry.Command,
		Members: encodeMembers(entry.Members),
	}
}

// DecodeEntry converts an entry from protobuf. It returns ErrInvalid for an unknown kind, a malformed member, or a zero
// index or term.
func DecodeEntry(encoded *replicapb.Entry) (Entry, error) {
	members, err := decodeMembers(encoded.GetMembers())
	if err != nil {
		return Entry{}, fmt.Errorf("decoding entry %d: %w", encoded.GetIndex(), err)
	}
	kind := EntryKind(encoded.GetKind())
	switch kind {
	case CommandEntry, MembersEntry, EmptyEntry:
	default:
		return Entry{}, fmt.Errorf("decoding entry %d: unknown kind %q: %w", encoded.GetIndex(), kind, ErrInvalid)
	}
	if encoded.GetIndex() == 0 || encoded.GetTerm() == 0 {
		return Entry{}, fmt.Errorf("decoding entry: index and term must not be zero: %w", ErrInvalid)
	}
	return Entry{
		Index:   encoded.GetIndex(),
		Term:    encoded.GetTerm(),
		At:      time.Unix(0, encoded.GetAt()).UTC(),
		Kind:    kind,
		Command: encoded.GetCommand(),
		Members: members,
	}, nil
}

// EncodeSnapshot converts a snapshot to protobuf.
func EncodeSnapshot(snapshot Snapshot) *replicapb.Snapshot {
	return &replicapb.Snapshot{
		Index:   snapshot.Index,
		Term:    snapshot.Term,
		At:      snapshot.At.UnixNano(),
		Members: encodeMembers(snapshot.Members),
		Body:    snapshot.Body,
	}
}

// DecodeSnapshot converts a snapshot from protobuf. It returns ErrInvalid for a malformed member.
func DecodeSnapshot(encoded *replicapb.Snapshot) (Snapshot, error) {
	members, err := decodeMembers(encoded.GetMembers())
	if err != nil {
		return Snapshot{}, fmt.Errorf("decoding snapshot %d: %w", encoded.GetIndex(), err)
	}
	return Snapshot{
		Index:   encoded.GetIndex(),
		Term:    encoded.GetTerm(),
		At:      time.Unix(0, encoded.GetAt()).UTC(),
		Members: members,
		Body:    encoded.GetBody(),
	}, nil
}

// EncodeHardState converts a hard state to protobuf.
func EncodeHardState(hard HardState) *replicapb.HardState {
	return &replicapb.HardState{
		Cluster: hard.Cluster, Term: hard.Term, Vote: uint64(hard.Vote),
		Lineage: encodeLineage(hard.Lineage), Superseded: hard.SupersededBy,
	}
}

// DecodeHardState converts a hard state from protobuf.
func DecodeHardState(encoded *replicapb.HardState) HardState {
	return HardState{
		Cluster: encoded.GetCluster(), Term: encoded.GetTerm(), Vote: ID(encoded.GetVote()),
		Lineage: decodeLineage(encoded.GetLineage()), SupersededBy: encoded.GetSuperseded(),
	}
}

// encodeLineage returns nil for a cluster without a forced recovery.
func encodeLineage(lineage Lineage) *replicapb.Lineage {
	if lineage == (Lineage{}) {
		return nil
	}
	return &replicapb.Lineage{Origin: lineage.Origin, Generation: lineage.Generation}
}

func decodeLineage(encoded *replicapb.Lineage) Lineage {
	return Lineage{Origin: encoded.GetOrigin(), Generation: encoded.GetGeneration()}
}

func encodeMembers(members Members) []*replicapb.Member {
	var encoded []*replicapb.Member
	for _, member := range members {
		encoded = append(encoded, &replicapb.Member{
			Name:    member.Name,
			Id:      uint64(member.ID),
			Address: member.Address.String(),
			Role:    string(member.Role),
		})
	}
	return encoded
}

func decodeMembers(encoded []*replicapb.Member) (Members, error) {
	var members Members
	for _, encodedMember := range encoded {
		member, err := decodeMember(encodedMember)
		if err != nil {
			return nil, err
		}
		members = append(members, member)
	}
	return members, nil
}

func decodeMember(encoded *replicapb.Member) (Member, error) {
	address, err := netip.ParseAddrPort(encoded.GetAddress())
	if err != nil {
		return Member{}, fmt.Errorf("decoding member %q: %v: %w", encoded.GetName(), err, ErrInvalid)
	}
	role := Role(encoded.GetRole())
	switch role {
	case Voter, Learner, Returning:
	default:
		return Member{}, fmt.Errorf("decoding member %q: unknown role %q: %w", encoded.GetName(), role, ErrInvalid)
	}
	if encoded.GetId() == 0 {
		return Member{}, fmt.Errorf("decoding member %q: id is zero: %w", encoded.GetName(), ErrInvalid)
	}
	return Member{Name: encoded.GetName(), ID: ID(encoded.GetId()), Address: address, Role: role}, nil
}
