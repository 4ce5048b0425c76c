package refusal

import (
	"net/http"
	"time"
)

// An Answer describes the HTTP response for one kind of refusal.
type Answer struct {
	Status     int
	RunState   RunState
	Retryable  bool
	RetryAfter time.Duration
	Detail     string
}

const (
	shortRetryAfter = time.Second
	longRetryAfter  = 5 * time.Second
)

// statusClientClosedRequest is the nonstandard status of nginx for a request that its client cancelled.
const statusClientClosedRequest = 499

var answers = map[Kind]Answer{
	MalformedRequest:      {http.StatusBadRequest, NotRun, false, 0, "the request is malformed"},
	HeaderTooLarge:        {http.StatusRequestHeaderFieldsTooLarge, NotRun, false, 0, "the header is longer than the route allows"},
	BodyTooLarge:          {http.StatusRequestEntityTooLarge, NotRun, false, 0, "the body is longer than the route allows"},
	NoRoute:               {http.StatusNotFound, NotRun, false, 0, "no route matches the request"},
	KeyMissing:            {http.StatusUnauthorized, NotRun, false, 0, "the route demands a key"},
	KeyUnknown:            {http.StatusUnauthorized, NotRun, false, 0, "the key is not known"},
	KeyWithdrawn:          {http.StatusUnauthorized, NotRun, false, 0, "the key was withdrawn"},
	CallTokenInvalid:      {http.StatusForbidden, NotRun, false, 0, "the call token is not one of a running call"},
	ConfigurationStale:    {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter, "the configuration could not be confirmed as current"},
	RateExceeded:          {http.StatusTooManyRequests, NotRun, true, shortRetryAfter, "the workspace is over its rate"},
	Overloaded:            {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter, "the request was shed under overload"},
	DeadlineUnreachable:   {http.StatusGatewayTimeout, NotRun, true, shortRetryAfter, "the deadline could not be met, so the request was dropped before it ran"},
	DeadlineExceeded:      {http.StatusGatewayTimeout, Unknown, false, 0, "the deadline passed while the request ran"},
	NoTarget:              {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter, "no target of the service can take the request"},
	TargetUnreachable:     {http.StatusBadGateway, NotRun, true, shortRetryAfter, "the target could not be reached"},
	TargetFailed:          {http.StatusBadGateway, Unknown, false, 0, "the connection to the target failed while the request ran"},
	TargetCrashed:         {http.StatusBadGateway, Unknown, false, 0, "the backend server crashed while the request ran"},
	AnswerCut:             {http.StatusBadGateway, Unknown, false, 0, "the answer was cut short"},
	Draining:              {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter, "the instance is stopping"},
	RetriesExhausted:      {http.StatusServiceUnavailable, NotRun, true, longRetryAfter, "no attempt is left for the request"},
	IdempotencyKeyMissing: {http.StatusBadRequest, NotRun, false, 0, "the route demands an Idempotency-Key header"},
	IdempotencyKeyInvalid: {http.StatusBadRequest, NotRun, false, 0, "the Idempotency-Key header is not valid"},
	IdempotencyKeyExpired: {http.StatusConflict, NotRun, false, 0, "the Idempotency-Key is older than claims are kept"},
	IdempotencyKeyReused:  {http.StatusUnprocessableEntity, NotRun, false, 0, "the Idempotency-Key was used for another request"},
	ClaimUnavailable:      {http.StatusServiceUnavailable, NotRun, true, shortRetryAfter, "the control quorum could not grant a claim"},
	ClaimInProgress:       {http.StatusConflict, Unknown, true, shortRetryAfter, "an attempt under the same Idempotency-Key is running"},
	OutcomeUnknown:        {http.StatusConflict, Unknown, false, 0, "an attempt under the same Idempotency-Key may have run and its outcome is not known"},
	Quarantined:           {http.StatusServiceUnavailable, NotRun, false, 0, "the request is quarantined because it crashed backend servers"},
	Cancelled:             {statusClientClosedRequest, Unknown, false, 0, "the caller left"},
	Internal:              {http.StatusInternalServerError, Unknown, false, 0, "an internal error occurred"},
}

// Kinds returns all kinds, in no particular order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for kind := range answers {
		kinds = append(kinds, kind)
	}
	return kinds
}

// AnswerTo returns the answer for kind, or the answer for Internal if kind is not defined.
func AnswerTo(kind Kind) Answer {
	answer, known := answers[kind]
	if !known {
		return answers[Internal]
	}
	return answer
}
