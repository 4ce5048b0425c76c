package refusal

// A Kind identifies why a request got no complete response from a backend server.
type Kind string

// Kinds of refusals. The set is closed.
const (
	MalformedRequest      Kind = "malformed-request"
	HeaderTooLarge        Kind = "header-too-large"
	BodyTooLarge          Kind = "body-too-large"
	NoRoute               Kind = "no-route"
	KeyMissing            Kind = "key-missing"
	KeyUnknown            Kind = "key-unknown"
	KeyWithdrawn          Kind = "key-withdrawn"
	CallTokenInvalid      Kind = "call-token-invalid"
	ConfigurationStale    Kind = "configuration-stale"
	RateExceeded          Kind = "rate-exceeded"
	Overloaded            Kind = "overloaded"
	DeadlineUnreachable   Kind = "deadline-unreachable"
	DeadlineExceeded      Kind = "deadline-exceeded"
	NoTarget              Kind = "no-target"
	TargetUnreachable     Kind = "target-unreachable"
	TargetFailed          Kind = "target-failed"
	TargetCrashed         Kind = "target-crashed"
	AnswerCut             Kind = "answer-cut"
	Draining              Kind = "draining"
	RetriesExhausted      Kind = "retries-exhausted"
	IdempotencyKeyMissing Kind = "idempotency-key-missing"
	IdempotencyKeyInvalid Kind = "idempotency-key-invalid"
	IdempotencyKeyExpired Kind = "idempotency-key-expired"
	IdempotencyKeyReused  Kind = "idempotency-key-reused"
	ClaimUnavailable      Kind = "claim-unavailable"
	ClaimInProgress       Kind = "claim-in-progress"
	OutcomeUnknown        Kind = "outcome-unknown"
	Quarantined           Kind = "quarantined"
	Cancelled             Kind = "cancelled"
	Internal              Kind = "internal"
)
