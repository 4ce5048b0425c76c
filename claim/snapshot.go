package claim

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"sapphirespread.example/claim/claimpb"
)

// MarshalBinary returns the snapshot of the book. Books with the same claims have the same snapshot.
func (b *Book) MarshalBinary() ([]byte, error) {
	encoder := proto.MarshalOptions{Deterministic: true}
	room := make([]byte, 0, len(b.entries)*entryBytes+int(b.outcomeBytes))
	encoded, err := encoder.MarshalAppend(room, &claimpb.Snapshot{
		AtNs: b.at.UnixNano(), Sequence: b.sequence,
		TimedDoubtNs: encodeDoubtTime(b.doubt.timedUntil), UntimedDoubtNs: encodeDoubtTime(b.doubt.untimedUntil),
	})
	if err != nil {
		return nil, fmt.Errorf("encoding the claim snapshot: %w", err)
	}
	var message claimpb.Entry
	for _, e := range b.order {
		if e.dropped {
			continue
		}
		e.fill(&message)
		encoded = protowire.AppendTag(encoded, entriesField, protowire.BytesType)
		encoded = protowire.AppendVarint(encoded, uint64(encoder.Size(&message)))
		encoded, err = encoder.MarshalAppend(encoded, &message)
		if err != nil {
			return nil, fmt.Errorf("encoding a claim of workspace %q: %w", e.key.Workspace, err)
		}
	}
	return encoded, nil
}

// UnmarshalBinary replaces the book's claims by those of a snapshot. On an error the book is unchanged.
func (b *Book) UnmarshalBinary(encoded []byte) error {
	var snapshot claimpb.Snapshot
	if err := proto.Unmarshal(encoded, &snapshot); err != nil {
		return fmt.Errorf("decoding the claim snapshot: %w", err)
	}
	restored := *b
	restored.at = time.Unix(0, snapshot.GetAtNs())
	restored.sequence = snapshot.GetSequence()
	restored.doubt = doubt{decodeDoubtTime(snapshot.GetTimedDoubtNs()), decodeDoubtTime(snapshot.GetUntimedDoubtNs())}
	restored.entries = make(map[Key]*entry, len(snapshot.GetEntries()))
	restored.order = nil
	restored.expiry = nil
	restored.tenancies = make(map[string]*tenancy)
	restored.outcomeBytes = 0
	for i, message := range snapshot.GetEntries() {
		if err := restored.restore(message); err != nil {
			return fmt.Errorf("decoding claim %d of the snapshot: %w", i, err)
		}
	}
	restored.restoreOutcomes()
	*b = restored
	return nil
}

const (
	entriesField protowire.Number = 3
	entryBytes                    = 192 // room for an entry without its outcome
)

// fill sets all fields of a message that is used for one entry after the other.
func (e *entry) fill(message *claimpb.Entry) {
	message.Workspace = e.key.Workspace
	message.Route = e.key.Route
	message.IdempotencyKey = e.key.IdempotencyKey
	message.Attempt = e.attempt
	message.RequestHash = e.hash[:]
	message.ClaimedAtNs = e.claimedAt
	message.ExpiresAtNs = e.expiresAt
	message.Sequence = e.sequence
	message.State = claimpb.EntryState(e.state)
	message.Outcome = nil
	if e.outcome != nil {
		message.Outcome = e.outcome.message()
	}
}

func (o *storedOutcome) message() *claimpb.Outcome {
	message := &claimpb.Outcome{
		Status:   int32(o.Status),
		Body:     o.Body,
		BodyKept: o.BodyKept,
		Sequence: o.sequence,
	}
	for _, h := range o.Headers {
		header := &claimpb.Header{Name: []byte(h.Name)}
		for _, value := range h.Values {
			header.Values = append(header.Values, []byte(value))
		}
		message.Headers = append(message.Headers, header)
	}
	return message
}

func (b *Book) restore(message *claimpb.Entry) error {
	e := &entry{
		key:       Key{message.GetWorkspace(), message.GetRoute(), message.GetIdempotencyKey()},
		attempt:   message.GetAttempt(),
		claimedAt: message.GetClaimedAtNs(),
		expiresAt: message.GetExpiresAtNs(),
		sequence:  message.GetSequence(),
		state:     entryState(message.GetState()),
	}
	if message.GetOutcome() != nil {
		e.outcome = restoredOutcome(message.GetOutcome())
	}
	if err := b.checkRestored(e, len(message.GetRequestHash())); err != nil {
		return err
	}
	copy(e.hash[:], message.GetRequestHash())
	t := b.tenancy(e.key.Workspace)
	e.key.Workspace = t.name
	b.insert(e, t)
	return nil
}

func (b *Book) checkRestored(e *entry, hashBytes int) error {
	_, twice := b.entries[e.key]
	switch {
	case !e.key.Valid() || !validAttempt(e.attempt):
		return fmt.Errorf("key %+v or attempt %q is malformed", e.key, e.attempt)
	case twice:
		return fmt.Errorf("key %+v stands twice", e.key)
	case hashBytes != len(e.hash):
		return fmt.Errorf("request hash has %d bytes, want %d", hashBytes, len(e.hash))
	case e.state < entryRunning || e.state > entryFinished:
		return fmt.Errorf("state %d is not known", e.state)
	case (e.state == entryFinished) != (e.outcome != nil):
		return fmt.Errorf("state %d does not fit its outcome", e.state)
	case e.sequence > b.sequence || e.outcome != nil && e.outcome.sequence > b.sequence:
		return fmt.Errorf("sequence is above the snapshot's %d", b.sequence)
	case len(b.order) > 0 && e.sequence <= b.order[len(b.order)-1].sequence:
		return fmt.Errorf("sequence %d does not follow", e.sequence)
	}
	return nil
}

func restoredOutcome(message *claimpb.Outcome) *storedOutcome {
	outcome := Outcome{
		Status:   int(message.GetStatus()),
		Body:     message.GetBody(),
		BodyKept: message.GetBodyKept(),
	}
	for _, h := range message.GetHeaders() {
		header := Header{Name: string(h.GetName())}
		for _, value := range h.GetValues() {
			header.Values = append(header.Values, string(value))
		}
		outcome.Headers = append(outcome.Headers, header)
	}
	return &storedOutcome{Outcome: outcome.bounded(), sequence: message.GetSequence()}
}

// restoreOutcomes puts the kept outcomes in the order in which they came.
func (b *Book) restoreOutcomes() {
	var kept []*entry
	for _, e := range b.order {
		if e.outcome != nil && e.outcome.BodyKept {
			kept = append(kept, e)
		}
	}
	slices.SortFunc(kept, func(x, y *entry) int { return cmp.Compare(x.outcome.sequence, y.outcome.sequence) })
	for _, e := range kept {
		b.tenancies[e.key.Workspace].keep(e)
		b.outcomeBytes += e.outcome.bytes()
	}
}
