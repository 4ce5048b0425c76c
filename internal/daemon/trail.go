package daemon

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/priority"
)

// A trail is what decided on a caller's request, for the log.
type trail struct {
	arrivedAt time.Time
	revision  uint64
	confirmed time.Duration // age of the confirmation of the revision
	tokenWait time.Duration
	attempts  []attemptNote
}

// An attemptNote is one sending of a request.
type attemptNote struct {
	target  string
	shed    float64
	outcome string
	took    time.Duration
}

// MarshalZerologArray writes the notes in the order of the attempts.
func (t *trail) MarshalZerologArray(array *zerolog.Array) {
	for _, note := range t.attempts {
		array.Object(note)
	}
}

// MarshalZerologObject writes one note.
func (n attemptNote) MarshalZerologObject(event *zerolog.Event) {
	event.Str("target", n.target).Str("outcome", n.outcome).Int64("took-ms", n.took.Milliseconds())
	if n.shed > 0 {
		event.Float64("shed-share", n.shed)
	}
}

// noteAttempt adds an attempt that ended.
func (t *trail) noteAttempt(note attemptNote) {
	t.attempts = append(t.attempts, note)
}

// requestLogger returns the log of what touches one request.
func (d *Daemon) requestLogger() *zerolog.Logger {
	if d.perRequestLogger != nil {
		return d.perRequestLogger
	}
	return &d.logger
}

// logAnswered tells that the backend server's answer was passed on, whole or cut short.
func (d *Daemon) logAnswered(c *call, status int, whole bool) {
	outcome := outcomeAnswered
	if status >= http.StatusInternalServerError || !whole {
		outcome = outcomeErrored
	}
	d.latencies.record(c, outcome)
	event := d.requestLogger().Info()
	if !whole {
		event = d.requestLogger().Warn()
	}
	if event == nil {
		return
	}
	d.describe(event, c).Int("status", status).Bool("whole", whole).Msg("request: answered")
}

// logRefused tells why a request was not answered by a backend server.
func (d *Daemon) logRefused(c *call, requestID string, refused *attemptError) {
	if c != nil && refused.notRun {
		d.latencies.record(c, outcomeRefused)
	} else if c != nil {
		d.latencies.record(c, outcomeFailed)
	}
	event := d.requestLogger().Warn()
	if event == nil {
		return
	}
	if c == nil {
		event = event.Str("id", requestID).Uint64("revision", d.view.Revision())
	} else {
		event = d.describe(event, c)
	}
	event.Str("kind", string(refused.kind)).Str("detail", refused.detail).Bool("not-run", refused.notRun).
		Int64("retry-after-ms", refused.retryAfter.Milliseconds()).Msg("request: refused")
}

// describe adds what decided on c.
func (d *Daemon) describe(event *zerolog.Event, c *call) *zerolog.Event {
	event = event.Str("id", c.wholeID).Str("route", c.route).Str("service", c.service).Str("workspace", c.wholeWorkspace).
		Int("priority", priority.WorkspaceLevel(c.priority)).Int("route-priority", priority.RouteLevel(c.priority)).Uint64("revision", c.trail.revision).Int64("confirmed-ms-ago", c.trail.confirmed.Milliseconds()).
		Int64("took-ms", time.Since(c.trail.arrivedAt).Milliseconds()).Int64("left-ms", c.remaining(time.Now()).Milliseconds())
	if c.trail.tokenWait > 0 {
		event = event.Int64("token-wait-ms", c.trail.tokenWait.Milliseconds())
	}
	return event.Array("attempts", &c.trail)
}

// logTurnedAway tells that this daemon's target did not run a call of another daemon, or that the run failed.
func (d *Daemon) logTurnedAway(c *call, targetName string, refused *attemptError) {
	event := d.requestLogger().Warn()
	if event == nil {
		return
	}
	stats := d.admitter.stats(time.Now())
	event.Str("id", c.wholeID).Str("target", targetName).Str("service", c.service).Int("priority", priority.WorkspaceLevel(c.priority)).
		Int("route-priority", priority.RouteLevel(c.priority)).
		Str("kind", string(refused.kind)).Str("detail", refused.detail).Bool("not-run", refused.notRun).
		Int("running", stats.Running).Int("waiting", stats.Waiting).Int("limit", stats.Limit).
		Int64("left-ms", c.remaining(time.Now()).Milliseconds()).Msg("target: call turned away")
}
