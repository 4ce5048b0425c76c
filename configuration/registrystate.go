package configuration

import (
	"encoding/json"
	"fmt"
)

const registryFormat = 1

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

// MarshalBinary encodes the whole state, for a snapshot.
func (r *Registry) MarshalBinary() ([]byte, error) {
	return json.Marshal(registryState{
		Format:    registryFormat,
		Revision:  r.revision,
		Objects:   r.current.Changes(Set{}),
		Revisions: r.revisions,
		Recovered: r.recovered,
		Source:    r.source,
		Answers:   r.answers.list(),
	})
}

// UnmarshalBinary replaces the state by one that MarshalBinary wrote; the bounds stay as they were set.
func (r *Registry) UnmarshalBinary(data []byte) error {
	var state registryState
	if err := json.Unmarshal(data, &state); err != nil {
		return fmt.Errorf("reading the state of publishing: %w", err)
	}
	if state.Format != registryFormat {
		return fmt.Errorf("reading the state of publishing: format %d, but this version reads format %d", state.Format, registryFormat)
	}
	if uint64(len(state.Revisions)) > state.Revision {
		return fmt.Errorf("reading the state of publishing: %d revisions kept before revision %d", len(state.Revisions), state.Revision)
	}
	current, err := Set{}.Apply(state.Objects)
	if err != nil {
		return fmt.Errorf("reading the state of publishing: %w", err)
	}
	r.revision = state.Revision
	r.recovered = state.Recovered
	r.source = state.Source
	r.current = current
	r.size = current.Size()
	r.revisions = state.Revisions
	r.kept = 0
	for _, made := range r.revisions {
		r.kept += made.size()
	}
	r.answers = answerBook{}
	for _, kept := range state.Answers {
		r.answers.add(kept.ID, kept.Digest, kept.Published, r.keptAnswers)
	}
	return nil
}
