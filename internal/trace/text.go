package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Inputs encodes the steps without their outcomes, as one line of JSON each.
func Inputs[S any](steps []S) (string, error) {
	var text strings.Builder
	encoder := json.NewEncoder(&text)
	for _, step := range steps {
		if err := encoder.Encode(step); err != nil {
			return "", fmt.Errorf("encoding a step: %w", err)
		}
	}
	return text.String(), nil
}

// Parse decodes the steps that Inputs encoded. It fails on unknown fields.
func Parse[S any](text string) ([]S, error) {
	var steps []S
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	for {
		var step S
		err := decoder.Decode(&step)
		if err == io.EOF {
			return steps, nil
		}
		if err != nil {
			return nil, fmt.Errorf("decoding step %d: %w", len(steps)+1, err)
		}
		steps = append(steps, step)
	}
}

// Outcomes returns one line for each decision, with the time of its step.
func Outcomes[S Step](steps []S) string {
	var text strings.Builder
	for _, step := range steps {
		for _, outcome := range step.Outcome() {
			fmt.Fprintf(&text, "%s %s\n", step.Time(), outcome)
		}
	}
	return text.String()
}
