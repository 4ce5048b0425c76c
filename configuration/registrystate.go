package configuration

import (
	"encoding/json"
	"fmt"
)

const (
	registryFormat = 1
	// packedFormat has compressed revisions, which older versions can't read.
	packedFormat = 2
)

// registryState is the encoded form of a Registry.
type registryState struct {
	Format    int          `json:"format"`
	Revision  uint64       `json:"revision"`
	Objects   []Change     `json:"objects"`
	Revisions []revision   `json:"revisions"`
	Recovered uint64       `json:"recovered,omitempty"`
	Source    *Source      `json:"source,omitempty"`
	Answers   []keptAnswer `json:"answers"`
}

// MarshalBinary encodes the state for a snapshot.
func (r *Registry) MarshalBinary() ([]byte, error) {
	format := registryFormat
	revisions, anyPacked := packAll(r.history)
	if anyPacked {
		format = packedFormat
	}
	return json.Marshal(registryState{
		Format:    format,
		Revision:  r.revision,
		Objects:   r.current.Changes(Set{}),
		Revisions: revisions,
		Recovered: r.recoveryRevision,
		Source:    r.source,
		Answers:   r.answers.list(),
	})
}

// UnmarshalBinary replaces the state with one that MarshalBinary encoded. The limits of r remain unchanged.
func (r *Registry) UnmarshalBinary(data []byte) error {
	var state registryState
	if err := json.Unmarshal(data, &state); err != nil {
		return fmt.Errorf("decoding the configuration registry: %w", err)
	}
	if state.Format < registryFormat || state.Format > packedFormat {
		return fmt.Errorf("decoding the configuration registry: format %d is not supported, expected format %d to %d", state.Format, registryFormat, packedFormat)
	}
	if uint64(len(state.Revisions)) > state.Revision {
		return fmt.Errorf("decoding the configuration registry: %d revisions in the history, but the current revision is %d", len(state.Revisions), state.Revision)
	}
	current, err := Set{}.Apply(state.Objects)
	if err != nil {
		return fmt.Errorf("decoding the configuration registry: %w", err)
	}
	r.revision = state.Revision
	r.recoveryRevision = state.Recovered
	r.source = state.Source
	r.current = current
	r.size = current.Size()
	r.history = state.Revisions
	r.historySize = 0
	for _, rev := range r.history {
		r.historySize += rev.size()
	}
	r.answers = answerTable{}
	for _, kept := range state.Answers {
		r.answers.add(kept.ID, kept.Digest, kept.Published, r.maxAnswers)
	}
	return nil
}
