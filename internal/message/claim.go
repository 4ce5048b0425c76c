package message

import (
	"sapphirespread.example/claim"
	"sapphirespread.example/internal/peer/peerpb"
)

// EncodeClaimKey returns the message of a claim's key.
func EncodeClaimKey(key claim.Key) *peerpb.ClaimKey {
	return &peerpb.ClaimKey{Workspace: key.Workspace, Route: key.Route, IdempotencyKey: key.IdempotencyKey}
}

// DecodeClaimKey returns the key of a claim.
func DecodeClaimKey(encoded *peerpb.ClaimKey) claim.Key {
	return claim.Key{
		Workspace:      encoded.GetWorkspace(),
		Route:          encoded.GetRoute(),
		IdempotencyKey: encoded.GetIdempotencyKey(),
	}
}

// EncodeOutcome returns the message of a claimed run's outcome.
func EncodeOutcome(outcome claim.Outcome) *peerpb.ClaimOutcome {
	encoded := &peerpb.ClaimOutcome{
		Status:   int32(outcome.Status),
		Body:     outcome.Body,
		BodyKept: outcome.BodyKept,
	}
	for _, line := range outcome.Headers {
		encoded.Headers = append(encoded.Headers, &peerpb.Header{Name: line.Name, Values: toBytes(line.Values)})
	}
	return encoded
}

// DecodeOutcome returns the outcome of a claimed run.
func DecodeOutcome(encoded *peerpb.ClaimOutcome) claim.Outcome {
	outcome := claim.Outcome{
		Status:   int(encoded.GetStatus()),
		Body:     encoded.GetBody(),
		BodyKept: encoded.GetBodyKept(),
	}
	for _, line := range encoded.GetHeaders() {
		outcome.Headers = append(outcome.Headers, claim.Header{Name: line.GetName(), Values: toStrings(line.GetValues())})
	}
	return outcome
}
