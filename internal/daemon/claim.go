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
	maxStoredBodyBytes = 16 << 10
	claimStartTimeout  = 10 * time.Second
	claimTimeout       = 2 * time.Second
)

// A heldClaim is the right to run one request that may not be repeated.
type heldClaim struct {
	link         *link
	attempt      *claim.Attempt
	body         bytes.Buffer
	bodyTooLarge bool
}

// claim wins the right to run c, or returns the stored answer of an earlier run, or a refusal.
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

// mayRun reports whether the claim was won recently enough to run at now.
func (h *heldClaim) mayRun(now time.Time) bool {
	return h.attempt.MayRun(now)
}

// start notes that the request runs from now on, so that the claim can no longer be given back.
func (h *heldClaim) markStarted(now time.Time) {
	h.attempt.Start(now)
}

// answerOfClaim returns what a request that did not win its claim is answered.
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

// A storedBody is the body of an answer that was kept with its claim.
type storedBody struct {
	io.Reader
}

// Close does nothing, as nothing runs.
func (storedBody) Close() error { return nil }

// Trailer returns none.
func (storedBody) Trailer() http.Header { return nil }

// keep adds to the body that is stored with the outcome.
func (h *heldClaim) appendBody(content []byte) {
	if h.bodyTooLarge || h.body.Len()+len(content) > maxStoredBodyBytes {
		h.bodyTooLarge = true
		return
	}
	h.body.Write(content)
}

// finish stores the outcome of the run.
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

// finishUnknown stores that the run may have happened and that its outcome is not known.
func (h *heldClaim) finishUnknown() {
	h.storeOutcome(claim.Outcome{})
}

func (h *heldClaim) storeOutcome(outcome claim.Outcome) {
	if h.attempt.Finish() {
		h.link.finishClaim(h.attempt, outcome)
	}
}

// release gives the claim back before the run.
func (h *heldClaim) release() {
	if h.attempt.Release() {
		h.link.releaseClaim(h.attempt)
	}
}
