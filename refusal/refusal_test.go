package refusal_test

import (
	"errors"
	"fmt"
	"testing"

	"sapphirespread.example/refusal"
)

func TestKindSurvivesWrapping(t *testing.T) {
	for _, kind := range refusal.Kinds() {
		err := fmt.Errorf("answering: %w", refusal.Wrap(errors.New("cause"), kind, "trying"))
		if got := refusal.KindOf(err); got != kind {
			t.Errorf("KindOf(%v) = %s, want %s", err, got, kind)
		}
	}
}

func TestPlainErrorIsInternal(t *testing.T) {
	if got := refusal.KindOf(errors.New("plain")); got != refusal.Internal {
		t.Errorf("KindOf = %s, want internal", got)
	}
}

func TestAnswersAreComplete(t *testing.T) {
	for _, kind := range refusal.Kinds() {
		answer := refusal.AnswerTo(kind)
		if answer.Retryable && answer.RetryAfter <= 0 {
			t.Errorf("%s: retryable without Retry-After", kind)
		}
		if answer.Status < 400 || answer.Detail == "" {
			t.Errorf("%s: incomplete answer %+v", kind, answer)
		}
	}
}
