package message

import (
	"sapphirespread.example/claim"
	"sapphirespread.example/internal/peer/peerpb"
)

// EncodeClaimKey encodes the key of a claim.
func EncodeClaimKey(key claim.Key) *peerpb.ClaimKey {
	return &peerpb.ClaimKey{Workspace: key.Workspace, Route: key.Route, IdempotencyKey: key.IdempotencyKey}
}

// DecodeClaimKey decodes the key of a claim.
func DecodeClaimKey(encoded *peerpb.ClaimKey) claim.Key {
	return claim.Key{
		Workspace:      encoded.GetWorkspace(),
		Route:          encoded.GetRoute(),
		IdempotencyKey: encoded.GetIdempotencyKey(),
	}
}

// EncodeOutcome encodes the outcome of a claimed request.
func EncodeOutcome(outcome claim.Outcome) *peerpb.ClaimOutcome {
	encoded := &peerpb.ClaimOutcome{
		Status:   int32(outcome.Status),
		Body:     outcome.Body,
		BodyKept: outcome.BodyKept,
	}
	for _, header := range outcome.Headers {
		encoded.Headers = append(encoded.Headers, &peerpb.Header{Name: header.Name, Values: toBytes(header.Values)})
	}
	return encoded
}

// DecodeOutcome decodes the outcome of a claimed request.
func DecodeOutcome(encoded *peerpb.ClaimOutcome) claim.Outcome {
	outcome := claim.Outcome{
		Status:   int(encoded.GetStatus()),
		Body:     encoded.GetBody(),
		BodyKept: encoded.GetBodyKept(),
	}
	for _, header := range encoded.GetHeaders() {
		outcome.Headers = append(outcome.Headers, claim.Header{Name: header.GetName(), Values: toStrings(header.GetValues())})
	}
	return outcome
}
