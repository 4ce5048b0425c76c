package daemon

import (
	"cmp"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"sapphirespread.example/claim"
	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/caller/pipeline"
	"sapphirespread.example/internal/daemon/dialect"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/priority"
	"sapphirespread.example/quarantine"
	"sapphirespread.example/refusal"
	"sapphirespread.example/retry"
)

// serveCaller serves a request of a caller.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	d.inFlight.add()
	defer d.inFlight.done()
	d.counters.requests.Add(1)
	arrival := d.dialect.ReadRequest(r.Header)
	if d.refusesCallers() && !d.continuesRun(arrival) {
		w.Header().Set("Connection", "close")
		d.refuseCaller(w, arrival.RequestID, refuse(refusal.Draining, ""))
		return
	}
	c, refused := d.newCallerCall(r, arrival)
	if refused != nil {
		d.refuseCaller(w, arrival.RequestID, refused)
		return
	}
	d.serveRequest(w, r, c, func(ctx context.Context) *attemptError {
		if refused := d.checkShedding(c); refused != nil {
			return refused
		}
		if refused := d.throttle.check(c); refused != nil || c.workspace == "" {
			return refused
		}
		waitStart := time.Now()
		refused := d.rateLimiter.spend(ctx, c.workspace, c.priority, c.objective)
		c.history.tokenWaitTime = time.Since(waitStart)
		return refused
	})
}

// refusesCallers reports whether a stopping daemon refuses its callers. It does so immediately if the settings give
// callers no notice, and otherwise after the notice.
func (d *Daemon) refusesCallers() bool {
	return d.refusingCallers.Load() || d.stopping.Load() && d.settings.Timeouts.CallersNotice == 0
}

// continuesRun reports whether a request belongs to a run in progress at the backend server, which needs its answer.
func (d *Daemon) continuesRun(arrival dialect.Arrival) bool {
	return arrival.RootRequestID != "" && d.runningCalls.find(xxhash.Sum64String(arrival.RootRequestID)) != nil
}

// newCallerCall returns the call for a caller's request, with its route, service, workspace and deadline. It may return
// a call along with a refusal.
func (d *Daemon) newCallerCall(r *http.Request, arrival dialect.Arrival) (*call, *attemptError) {
	// An ID in another encoding could not be sent to another daemon.
	if !utf8.ValidString(arrival.RequestID) {
		return nil, refuse(refusal.MalformedRequest, "the request ID is not UTF-8")
	}
	now := boottime.Now()
	snapshot, fresh := d.view.Current(now)
	matched, refused := matchRoute(snapshot, r)
	if refused != nil {
		if !fresh {
			return nil, refuse(refusal.ConfigurationStale, "")
		}
		return nil, refused
	}
	c := d.newCall(r, matched)
	c.history.revision = snapshot.Revision
	c.history.confirmationAge = d.view.ConfirmationAge(now)
	c.priority = rank(snapshot, configuration.Workspace{}, matched)
	c.rootID = arrival.RequestID
	if c.rootID == "" {
		c.rootID = newRequestID()
	}
	c.rootIDHash = xxhash.Sum64String(cmp.Or(arrival.RootRequestID, c.rootID))
	c.service = matched.ServiceFor(xxhash.Sum64String(c.rootID))
	if refused := checkSize(r, matched); refused != nil {
		return c, refused
	}
	if arrival.Remaining > 0 {
		c.deadline = earlier(c.deadline, c.history.arrivedAt.Add(arrival.Remaining))
	}
	c.share = 1
	c.callerService = d.settings.Service
	c.nested = matched.Open && d.settings.Service != ""
	if !matched.Open {
		refused = authenticate(snapshot, fresh, arrival.Key, matched, c)
	}
	if c.nested && arrival.RootRequestID != "" {
		c.continueFrom(d.runningCalls.find(c.rootIDHash))
	}
	if refused == nil && c.needsClaim {
		refused = d.useIdempotencyKey(r, c, matched.ExtraAttempts)
	}
	return c, refused
}

// continueFrom makes c a nested call of parent, which runs at the backend server that made c. It does nothing if parent
// is nil.
func (c *call) continueFrom(parent *call) {
	if parent == nil {
		return
	}
	c.parent = parent
	c.priority = parent.priority
	c.rootWorkspace = parent.rootWorkspace
	c.share = parent.share
	c.shedShare = parent.shedShare
	c.depth = parent.depth + 1
	c.repeat = parent.repeat
	c.deadline = earlier(c.deadline, parent.deadline)
}

// rank returns the rank of a request, first by the priority of its workspace and then by that of its route. A workspace
// without a priority takes that of the route.
func rank(snapshot configuration.Snapshot, workspace configuration.Workspace, matched configuration.Route) int {
	level := priorityLevel(snapshot, matched.Priority)
	if workspace.Priority == "" {
		return priority.Rank(level, level)
	}
	return priority.Rank(priorityLevel(snapshot, workspace.Priority), level)
}

func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// matchRoute returns the route of r, or a refusal if there is none or no configuration has been received.
func matchRoute(snapshot configuration.Snapshot, r *http.Request) (configuration.Route, *attemptError) {
	if snapshot.Revision == 0 {
		return configuration.Route{}, refuse(refusal.ConfigurationStale, "no configuration yet")
	}
	matched, found := snapshot.Match(r.Method, r.Host, r.URL.Path)
	if !found {
		return matched, refuse(refusal.NoRoute, r.Method+" "+r.URL.Path)
	}
	return matched, nil
}

// authenticate sets the workspace of c from the key in secret, with its share and priority. It refuses a key that is
// missing, unknown or withdrawn, and a workspace that may not use the route.
func authenticate(snapshot configuration.Snapshot, fresh bool, secret string, matched configuration.Route, c *call) *attemptError {
	if !fresh {
		return refuse(refusal.ConfigurationStale, "")
	}
	if secret == "" {
		return refuse(refusal.KeyMissing, "")
	}
	entry, known := snapshot.Keys.Lookup(secret)
	switch {
	case !known:
		return refuse(refusal.KeyUnknown, "")
	case entry.Withdrawn:
		return refuse(refusal.KeyWithdrawn, "")
	case !allows(matched, entry.Workspace):
		return refuse(refusal.NoRoute, "the workspace has no such route")
	}
	c.workspace, c.rootWorkspace = entry.Workspace, entry.Workspace
	if workspace, named := snapshot.Workspace(entry.Workspace); named {
		c.share = workspace.Share
		c.priority = rank(snapshot, workspace, matched)
	}
	return nil
}

// allows reports whether workspace may use the route. A route without workspaces is open to all of them.
func allows(matched configuration.Route, workspace string) bool {
	return len(matched.Workspaces) == 0 || slices.Contains(matched.Workspaces, workspace)
}

func priorityLevel(snapshot configuration.Snapshot, name string) int {
	level, _ := snapshot.Priority(name)
	return level.Level
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (d *Daemon) newCall(r *http.Request, matched configuration.Route) *call {
	arrivedAt := pipeline.ArrivedAt(r.Context())
	return &call{
		history:      requestHistory{arrivedAt: arrivedAt},
		needsClaim:   !matched.Repeatable && !matched.Unclaimed,
		route:        matched.Name,
		service:      matched.Service,
		repeatable:   matched.Repeatable,
		deadline:     arrivedAt.Add(matched.Deadline),
		objective:    matched.Objective,
		maxBodyBytes: matched.MaxBodyBytes,
		allowance:    retry.NewAllowance(matched.ExtraAttempts),
		head: requestHead{
			method:        r.Method,
			host:          r.Host,
			path:          r.URL.EscapedPath(),
			query:         r.URL.RawQuery,
			header:        d.dialect.Forward(r.Header),
			contentLength: r.ContentLength,
			trailerNames:  trailerNames(r.Trailer),
		},
	}
}

// useIdempotencyKey sets the idempotency key of c. All resends under the same key share one allowance of extra
// attempts.
func (d *Daemon) useIdempotencyKey(r *http.Request, c *call, extraAttempts int) *attemptError {
	if refused := c.setIdempotencyKey(r); refused != nil {
		return refused
	}
	key := retry.ResendKey{Workspace: c.workspace, Route: c.route, IdempotencyKey: c.idempotencyKey}
	c.allowance = d.resendTracker.AllowanceFor(time.Now(), key, extraAttempts)
	return nil
}

// setIdempotencyKey sets the idempotency key from the headers of r, and refuses a key that is missing, invalid or
// repeated.
func (c *call) setIdempotencyKey(r *http.Request) *attemptError {
	value := r.Header.Get(headerIdempotencyKey)
	if value == "" {
		return refuse(refusal.IdempotencyKeyMissing, "")
	}
	c.idempotencyKey = value
	key := claim.Key{Workspace: c.workspace, Route: c.route, IdempotencyKey: value}
	if !key.Valid() || len(r.Header.Values(headerIdempotencyKey)) != 1 {
		return refuse(refusal.IdempotencyKeyInvalid, "")
	}
	return nil
}

// serveRequest answers a request. If the answer comes before the caller has sent its whole body, the connection closes
// after it.
func (d *Daemon) serveRequest(w http.ResponseWriter, r *http.Request, c *call, admit func(context.Context) *attemptError) {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(d.drainEnded, cancel)()
	controller := http.NewResponseController(w)
	limited := limitBody(r, c.maxBodyBytes)
	body := &stallReader{ReadCloser: r.Body, controller: controller, stallTimeout: d.settings.Timeouts.BodyStall, deadline: c.deadline}
	body.complete.Store(r.ContentLength == 0)
	r.Body = body
	if c.parent != nil {
		c.parent.nestedTime.begin(time.Now())
	}
	answer, refused := d.answerRequest(ctx, r, c, controller, admit)
	if c.parent != nil {
		c.parent.nestedTime.end(time.Now(), refused != nil || answer.status >= http.StatusInternalServerError)
	}
	if refused != nil {
		refused = limited.refused(refused)
	}
	if refused != nil && refused.kind == refusal.Cancelled && d.drainEnded.Err() != nil {
		refused = refuse(refusal.TargetFailed, "the instance stopped before the answer")
	}
	if !body.complete.Load() {
		w.Header().Set("Connection", "close")
	}
	if refused != nil {
		d.refuseCall(w, c, c.rootID, refused)
	} else {
		d.sendAnswer(w, c, answer)
	}
	// Not deferred: a panic closes the connection, which ends the reading as well.
	body.end()
}

// answerRequest attaches the body, refuses a quarantined request, waits for admit and returns the answer to the request.
func (d *Daemon) answerRequest(ctx context.Context, r *http.Request, c *call, controller *http.ResponseController, admit func(context.Context) *attemptError) (*answer, *attemptError) {
	if refused := c.attachBody(r, controller); refused != nil {
		return nil, refused
	}
	if d.isQuarantined(c) {
		return nil, refuse(refusal.Quarantined, "")
	}
	if refused := admit(ctx); refused != nil {
		return nil, refused
	}
	answer, refused := d.dispatch(ctx, c)
	d.throttle.recordResult(c, answer, refused)
	if refused != nil {
		return nil, refused
	}
	if c.parent != nil && answer.status < http.StatusInternalServerError {
		c.parent.recordCallee(c.callee())
		d.runningCalls.recordCallee(c.rootIDHash, c.callee())
	}
	return answer, nil
}

// attachBody reads or attaches the request's body and computes the hashes of the request.
func (c *call) attachBody(r *http.Request, controller *http.ResponseController) *attemptError {
	if r.ContentLength != 0 {
		_ = controller.EnableFullDuplex()
	}
	body, err := readBody(r.ContentLength, r.Body, func() http.Header { return cloneForward(r.Trailer) })
	if err != nil {
		return refuse(refusal.MalformedRequest, "the body ended early")
	}
	c.body = body
	if c.needsClaim {
		c.requestHash = hashRequest(c)
	}
	c.fingerprint = quarantine.NewFingerprint(
		[]byte(c.workspace), []byte(c.head.method), []byte(c.head.path), []byte(c.head.query), body.content,
	)
	return nil
}

// hashRequest returns the hash that distinguishes a resend from a different request under the same idempotency key.
func hashRequest(c *call) [32]byte {
	hash := sha256.New()
	for _, field := range []string{c.head.method, c.head.path, c.head.query} {
		_, _ = io.WriteString(hash, field)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(c.body.content)
	var sum [32]byte
	hash.Sum(sum[:0])
	return sum
}

func (d *Daemon) isQuarantined(c *call) bool {
	return d.quarantine.State(time.Now(), c.fingerprint) == quarantine.Quarantined
}
