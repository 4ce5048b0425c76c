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

// MarshalBinary returns a snapshot of the Registry. Registries with equal claims have equal snapshots.
func (r *Registry) MarshalBinary() ([]byte, error) {
	encoder := proto.MarshalOptions{Deterministic: true}
	buffer := make([]byte, 0, len(r.entries)*entrySizeHint+int(r.outcomeBytes))
	encoded, err := encoder.MarshalAppend(buffer, &claimpb.Snapshot{
		AtNs: r.logTime.UnixNano(), Sequence: r.sequence,
		TimedDoubtNs: encodeTime(r.lostClaims.timedUntil), UntimedDoubtNs: encodeTime(r.lostClaims.untimedUntil),
	})
	if err != nil {
		return nil, fmt.Errorf("encoding the claim snapshot: %w", err)
	}
	var message claimpb.Entry
	for _, e := range r.ordered {
		if e.removed {
			continue
		}
		e.encodeTo(&message)
		encoded = protowire.AppendTag(encoded, entriesField, protowire.BytesType)
		encoded = protowire.AppendVarint(encoded, uint64(encoder.Size(&message)))
		encoded, err = encoder.MarshalAppend(encoded, &message)
		if err != nil {
			return nil, fmt.Errorf("encoding a claim of workspace %q: %w", e.key.Workspace, err)
		}
	}
	return encoded, nil
}

// UnmarshalBinary replaces the claims of the Registry with those of a snapshot. On an error the Registry is unchanged.
func (r *Registry) UnmarshalBinary(encoded []byte) error {
	var snapshot claimpb.Snapshot
	if err := proto.Unmarshal(encoded, &snapshot); err != nil {
		return fmt.Errorf("decoding the claim snapshot: %w", err)
	}
	restored := *r
	restored.logTime = time.Unix(0, snapshot.GetAtNs())
	restored.sequence = snapshot.GetSequence()
	restored.lostClaims = lostClaims{decodeTime(snapshot.GetTimedDoubtNs()), decodeTime(snapshot.GetUntimedDoubtNs())}
	restored.entries = make(map[Key]*entry, len(snapshot.GetEntries()))
	restored.ordered = nil
	restored.expiryHeap = nil
	restored.workspaces = make(map[string]*workspaceClaims)
	restored.outcomeBytes = 0
	for i, message := range snapshot.GetEntries() {
		if err := restored.restoreEntry(message); err != nil {
			return fmt.Errorf("decoding claim %d of the snapshot: %w", i, err)
		}
	}
	restored.restoreOutcomes()
	*r = restored
	return nil
}

const (
	entriesField  protowire.Number = 3
	entrySizeHint                  = 192 // encoded size of an entry without its outcome
)

// encodeTo sets all fields of message, which is reused for all entries.
func (e *entry) encodeTo(message *claimpb.Entry) {
	message.Workspace = e.key.Workspace
	message.Route = e.key.Route
	message.IdempotencyKey = e.key.IdempotencyKey
	message.Attempt = e.attempt
	message.RequestHash = e.requestHash[:]
	message.ClaimedAtNs = e.claimedAt
	message.ExpiresAtNs = e.expiresAt
	message.Sequence = e.sequence
	message.State = claimpb.EntryState(e.state)
	message.Outcome = nil
	if e.outcome != nil {
		message.Outcome = e.outcome.encode()
	}
}

func (o *storedOutcome) encode() *claimpb.Outcome {
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

func (r *Registry) restoreEntry(message *claimpb.Entry) error {
	e := &entry{
		key:       Key{message.GetWorkspace(), message.GetRoute(), message.GetIdempotencyKey()},
		attempt:   message.GetAttempt(),
		claimedAt: message.GetClaimedAtNs(),
		expiresAt: message.GetExpiresAtNs(),
		sequence:  message.GetSequence(),
		state:     entryState(message.GetState()),
	}
	if message.GetOutcome() != nil {
		e.outcome = decodeOutcome(message.GetOutcome())
	}
	if err := r.validateRestored(e, len(message.GetRequestHash())); err != nil {
		return err
	}
	copy(e.requestHash[:], message.GetRequestHash())
	w := r.ensureWorkspace(e.key.Workspace)
	e.key.Workspace = w.name
	r.insert(e, w)
	return nil
}

func (r *Registry) validateRestored(e *entry, hashBytes int) error {
	_, duplicate := r.entries[e.key]
	switch {
	case !e.key.Valid() || !validAttempt(e.attempt):
		return fmt.Errorf("key %+v or attempt %q is malformed", e.key, e.attempt)
	case duplicate:
		return fmt.Errorf("duplicate key %+v", e.key)
	case hashBytes != len(e.requestHash):
		return fmt.Errorf("request hash has %d bytes, want %d", hashBytes, len(e.requestHash))
	case e.state < entryRunning || e.state > entryFinished:
		return fmt.Errorf("unknown entry state %d", e.state)
	case (e.state == entryFinished) != (e.outcome != nil):
		return fmt.Errorf("entry state %d does not match the presence of an outcome", e.state)
	case e.sequence > r.sequence || e.outcome != nil && e.outcome.sequence > r.sequence:
		return fmt.Errorf("sequence number exceeds the snapshot's %d", r.sequence)
	case len(r.ordered) > 0 && e.sequence <= r.ordered[len(r.ordered)-1].sequence:
		return fmt.Errorf("sequence number %d does not exceed the previous entry's", e.sequence)
	}
	return nil
}

func decodeOutcome(message *claimpb.Outcome) *storedOutcome {
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
	return &storedOutcome{Outcome: outcome.limited(), sequence: message.GetSequence()}
}

// restoreOutcomes restores the order in which the kept outcomes were stored.
func (r *Registry) restoreOutcomes() {
	var kept []*entry
	for _, e := range r.ordered {
		if e.outcome != nil && e.outcome.BodyKept {
			kept = append(kept, e)
		}
	}
	slices.SortFunc(kept, func(x, y *entry) int { return cmp.Compare(x.outcome.sequence, y.outcome.sequence) })
	for _, e := range kept {
		r.workspaces[e.key.Workspace].keepOutcome(e)
		r.outcomeBytes += e.outcome.bytes()
	}
}
