package replica

import (
	"fmt"
	"net/netip"

	"sapphirespread.example/replica/replicapb"
)

// EncodeMessage converts a message to protobuf.
func EncodeMessage(m Message) *replicapb.Message {
	encoded := &replicapb.Message{
		From:    uint64(m.From),
		To:      uint64(m.To),
		ReplyTo: m.ReplyTo.String(),
		Cluster: m.Cluster,
		Lineage: encodeLineage(m.Lineage),
		Term:    m.Term,
	}
	encodeBody(encoded, m.Body)
	return encoded
}

func encodeBody(to *replicapb.Message, body Body) {
	switch body := body.(type) {
	case VoteRequest:
		to.Body = &replicapb.Message_VoteRequest{VoteRequest: &replicapb.VoteRequest{
			PreVote: body.PreVote, Transfer: body.Transfer, LastIndex: body.LastIndex, LastTerm: body.LastTerm,
		}}
	case VoteAnswer:
		to.Body = &replicapb.Message_VoteAnswer{VoteAnswer: &replicapb.VoteAnswer{
			PreVote: body.PreVote, Granted: body.Granted,
		}}
	case Append:
		to.Body = &replicapb.Message_Append{Append: encodeAppend(body)}
	case AppendAnswer:
		to.Body = &replicapb.Message_AppendAnswer{AppendAnswer: &replicapb.AppendAnswer{
			Rejected: body.Rejected, Index: body.Index, Hint: body.Hint, Round: body.Round,
		}}
	case Heartbeat:
		to.Body = &replicapb.Message_Heartbeat{Heartbeat: &replicapb.Heartbeat{Round: body.Round}}
	case HeartbeatAnswer:
		to.Body = &replicapb.Message_HeartbeatAnswer{HeartbeatAnswer: &replicapb.HeartbeatAnswer{Round: body.Round}}
	case SnapshotPiece:
		to.Body = &replicapb.Message_SnapshotPiece{SnapshotPiece: &replicapb.SnapshotPiece{
			Snapshot: EncodeSnapshot(body.Snapshot), Offset: body.Offset, Total: body.Total, Round: body.Round,
		}}
	case SnapshotAnswer:
		to.Body = &replicapb.Message_SnapshotAnswer{SnapshotAnswer: &replicapb.SnapshotAnswer{
			Index: body.Index, Next: body.Next, Round: body.Round,
		}}
	case CampaignNow:
		to.Body = &replicapb.Message_CampaignNow{CampaignNow: &replicapb.CampaignNow{}}
	case Announcement:
		to.Body = &replicapb.Message_Announcement{Announcement: &replicapb.Announcement{
			Name: body.Name, Address: body.Address.String(),
		}}
	case AnnouncementAnswer:
		to.Body = &replicapb.Message_AnnouncementAnswer{AnnouncementAnswer: &replicapb.AnnouncementAnswer{Name: body.Name}}
	case Superseded:
		to.Body = &replicapb.Message_Superseded{Superseded: &replicapb.Superseded{}}
	}
}

func encodeAppend(body Append) *replicapb.Append {
	encoded := &replicapb.Append{
		PreviousIndex: body.PreviousIndex,
		PreviousTerm:  body.PreviousTerm,
		Commit:        body.Commit,
		Round:         body.Round,
	}
	for _, entry := range body.Entries {
		encoded.Entries = append(encoded.Entries, EncodeEntry(entry))
	}
	return encoded
}

// DecodeMessage converts a message from protobuf. It returns ErrInvalid for a malformed address, entry or snapshot, or
// a body of unknown kind.
func DecodeMessage(encoded *replicapb.Message) (Message, error) {
	address, err := netip.ParseAddrPort(encoded.GetReplyTo())
	if err != nil {
		return Message{}, fmt.Errorf("decoding message: invalid sender address: %v: %w", err, ErrInvalid)
	}
	body, err := decodeBody(encoded)
	if err != nil {
		return Message{}, fmt.Errorf("decoding message from %s: %w", address, err)
	}
	return Message{
		From:    ID(encoded.GetFrom()),
		To:      ID(encoded.GetTo()),
		ReplyTo: address,
		Cluster: encoded.GetCluster(),
		Lineage: decodeLineage(encoded.GetLineage()),
		Term:    encoded.GetTerm(),
		Body:    body,
	}, nil
}

func decodeBody(encoded *replicapb.Message) (Body, error) {
	switch body := encoded.GetBody().(type) {
	case *replicapb.Message_VoteRequest:
		request := body.VoteRequest
		return VoteRequest{
			PreVote: request.GetPreVote(), Transfer: request.GetTransfer(),
			LastIndex: request.GetLastIndex(), LastTerm: request.GetLastTerm(),
		}, nil
	case *replicapb.Message_VoteAnswer:
		return VoteAnswer{PreVote: body.VoteAnswer.GetPreVote(), Granted: body.VoteAnswer.GetGranted()}, nil
	case *replicapb.Message_Append:
		return decodeAppend(body.Append)
	case *replicapb.Message_AppendAnswer:
		answer := body.AppendAnswer
		return AppendAnswer{
			Rejected: answer.GetRejected(), Index: answer.GetIndex(), Hint: answer.GetHint(), Round: answer.GetRound(),
		}, nil
	case *replicapb.Message_Heartbeat:
		return Heartbeat{Round: body.Heartbeat.GetRound()}, nil
	case *replicapb.Message_HeartbeatAnswer:
		return HeartbeatAnswer{Round: body.HeartbeatAnswer.GetRound()}, nil
	case *replicapb.Message_SnapshotPiece:
		return decodePiece(body.SnapshotPiece)
	case *replicapb.Message_SnapshotAnswer:
		answer := body.SnapshotAnswer
		return SnapshotAnswer{Index: answer.GetIndex(), Next: answer.GetNext(), Round: answer.GetRound()}, nil
	case *replicapb.Message_CampaignNow:
		return CampaignNow{}, nil
	case *replicapb.Message_Announcement:
		return decodeAnnouncement(body.Announcement)
	case *replicapb.Message_AnnouncementAnswer:
		return AnnouncementAnswer{Name: body.AnnouncementAnswer.GetName()}, nil
	case *replicapb.Message_Superseded:
		return Superseded{}, nil
	default:
		return nil, fmt.Errorf("unknown kind of body: %w", ErrInvalid)
	}
}

func decodeAppend(encoded *replicapb.Append) (Body, error) {
	decoded := Append{
		PreviousIndex: encoded.GetPreviousIndex(),
		PreviousTerm:  encoded.GetPreviousTerm(),
		Commit:        encoded.GetCommit(),
		Round:         encoded.GetRound(),
	}
	for i, encodedEntry := range encoded.GetEntries() {
		entry, err := DecodeEntry(encodedEntry)
		if err != nil {
			return nil, err
		}
		if entry.Index != decoded.PreviousIndex+uint64(i)+1 {
			return nil, fmt.Errorf("entry %d is out of sequence after entry %d: %w", entry.Index, decoded.PreviousIndex, ErrInvalid)
		}
		decoded.Entries = append(decoded.Entries, entry)
	}
	return decoded, nil
}

func decodePiece(encoded *replicapb.SnapshotPiece) (Body, error) {
	snapshot, err := DecodeSnapshot(encoded.GetSnapshot())
	if err != nil {
		return nil, err
	}
	return SnapshotPiece{
		Snapshot: snapshot, Offset: encoded.GetOffset(), Total: encoded.GetTotal(), Round: encoded.GetRound(),
	}, nil
}

func decodeAnnouncement(encoded *replicapb.Announcement) (Body, error) {
	address, err := netip.ParseAddrPort(encoded.GetAddress())
	if err != nil {
		return nil, fmt.Errorf("decoding announcement of %q: %v: %w", encoded.GetName(), err, ErrInvalid)
	}
	return Announcement{Name: encoded.GetName(), Address: address}, nil
}
