package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"sapphirespread.example/claim"
	"sapphirespread.example/refusal"
)

const (
	// maxStoredBodyBytes is the maximum body size of an answer that is stored with its claim.
	maxStoredBodyBytes = 16 << 10
	// claimStartTimeout is the time from the first sending of a claim within which its request must start.
	claimStartTimeout = 10 * time.Second
	// claimTimeout is the maximum wait for the answer to a claim.
	claimTimeout = 2 * time.Second
)

// A heldClaim is the exclusive right to run one request that is not repeatable. It also collects the answer to be
// stored.
type heldClaim struct {
	link         *link
	attempt      *claim.Attempt
	body         bytes.Buffer
	bodyTooLarge bool
}

// claim acquires the claim for c. If it fails, claim returns the stored answer of an earlier run or a refusal.
func (d *Daemon) claim(ctx context.Context, c *call) (*heldClaim, *answer, *attemptError) {
	key := claim.Key{Workspace: c.workspace, Route: c.route, IdempotencyKey: c.idempotencyKey}
	held := &heldClaim{link: d.link, attempt: claim.NewAttempt(uuid.NewString(), key, c.requestHash, claimStartTimeout)}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	held.attempt.MarkSent(time.Now())
	state, outcome, err := d.link.claim(ctx, held.attempt)
	if err != nil {
		held.release()
		return nil, nil, refuse(refusal.ClaimUnavailable, err.Error())
	}
	held.attempt.Resolve(state)
	if state != claim.Won {
		replay, refused := answerWithoutClaim(state, outcome)
		return nil, replay, refused
	}
	return held, nil, nil
}

// mayRun reports whether the request may still start at now, before the claim's start timeout.
func (h *heldClaim) mayRun(now time.Time) bool {
	return h.attempt.MayRun(now)
}

// markStarted records that the request starts at now. The claim can't be released afterwards.
func (h *heldClaim) markStarted(now time.Time) {
	h.attempt.Start(now)
}

// answerWithoutClaim returns the stored answer or the refusal for a request that did not acquire its claim.
func answerWithoutClaim(state claim.State, outcome *claim.Outcome) (*answer, *attemptError) {
	switch state {
	case claim.Finished:
		if outcome == nil || outcome.Status == 0 || !outcome.BodyKept {
			return nil, refuse(refusal.OutcomeUnknown, "")
		}
		return replayedAnswer(outcome), nil
	case claim.Running:
		return nil, refuse(refusal.ClaimInProgress, "")
	case claim.Expired:
		return nil, refuse(refusal.IdempotencyKeyExpired, "")
	case claim.Invalid:
		return nil, refuse(refusal.IdempotencyKeyInvalid, "")
	case claim.Reused:
		return nil, refuse(refusal.IdempotencyKeyReused, "")
	default:
		return nil, refuse(refusal.ClaimUnavailable, "claim state "+string(state))
	}
}

// replayedAnswer returns the stored answer of an earlier run, marked as replayed.
func replayedAnswer(outcome *claim.Outcome) *answer {
	header := make(http.Header, len(outcome.Headers)+1)
	for _, line := range outcome.Headers {
		header[line.Name] = line.Values
	}
	header[headerReplayed] = []string{"true"}
	return &answer{
		status:        outcome.Status,
		header:        header,
		contentLength: int64(len(outcome.Body)),
		body:          storedBody{bytes.NewReader(outcome.Body)},
	}
}

// A storedBody is the body of an answer that is held in memory.
type storedBody struct {
	io.Reader
}

// Close does nothing because no call is under way.
func (storedBody) Close() error { return nil }

// Trailer returns nil because a stored answer has no trailers.
func (storedBody) Trailer() http.Header { return nil }

// appendBody appends content to the body that is stored with the outcome. A body over maxStoredBodyBytes is not stored.
func (h *heldClaim) appendBody(content []byte) {
	if h.bodyTooLarge || h.body.Len()+len(content) > maxStoredBodyBytes {
		h.bodyTooLarge = true
		return
	}
	h.body.Write(content)
}

// finish stores the answer as the outcome of the run.
func (h *heldClaim) finish(status int, header http.Header) {
	outcome := claim.Outcome{Status: status, BodyKept: !h.bodyTooLarge}
	if outcome.BodyKept {
		outcome.Body = h.body.Bytes()
		for name, values := range header {
			outcome.Headers = append(outcome.Headers, claim.Header{Name: name, Values: values})
		}
	}
	h.storeOutcome(outcome)
}

// finishUnknown stores that the request may have run and that its outcome is unknown.
func (h *heldClaim) finishUnknown() {
	h.storeOutcome(claim.Outcome{})
}

func (h *heldClaim) storeOutcome(outcome claim.Outcome) {
	if h.attempt.Finish() {
		h.link.finishClaim(h.attempt, outcome)
	}
}

// release gives up the claim of a request that has not started.
func (h *heldClaim) release() {
	if h.attempt.Release() {
		h.link.releaseClaim(h.attempt)
	}
}
