package claim_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"sapphirespread.example/claim"
)

const (
	maximumKeys          = 11
	maximumWorkspaceKeys = 7
	maximumUntimedKeys   = 3
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// timedKey returns a UUID of version 7 with the time at.
func timedKey(at time.Time, tail byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: tail}
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(id[:6], ms[2:])
	return id.String()
}

func newTestRegistry() *claim.Registry {
	return claim.NewRegistry(claim.WithMaximumKeys(maximumKeys, maximumWorkspaceKeys), claim.WithMaximumUntimedKeys(maximumUntimedKeys), claim.WithMaximumOutcomeBytes(3*claim.MaximumBodyBytes))
}

// command is one log entry. It claims unless release or finish is set, and expires claims if it has no attempt.
type command struct {
	at      time.Time
	attempt *attempt
	release bool
	finish  bool
}

type attempt struct {
	*claim.Attempt
	daemon  int
	number  int
	outcome claim.Outcome
}

type answer struct {
	attempt *attempt
	state   claim.State
}

// cluster simulates a replicated registry and daemons whose messages are lost, repeated and reordered.
type cluster struct {
	t            *rapid.T
	now          time.Time
	registry     *claim.Registry
	snapshot     []byte
	log          []command // since the snapshot
	attempts     []*attempt
	attemptCount int
	requests     []command
	answers      []answer
	started      map[claim.Key]*attempt
	released     map[int]bool
}

func (c *cluster) newAttempt() {
	key := claim.Key{Workspace: drawOneOf(c.t, "workspace", "oslo", "oslo", "bergen"), Route: "book"}
	key.IdempotencyKey = drawOneOf(c.t, "key", "a", "b", "c", "d", c.recentKey(), c.recentKey())
	c.attemptCount++
	hash := [32]byte{byte(drawOneOf(c.t, "hash", 1, 1, 1, 1, 1, 2))}
	size := drawOneOf(c.t, "body", 0, 10, claim.MaximumBodyBytes, claim.MaximumBodyBytes, claim.MaximumBodyBytes+1)
	a := &attempt{
		Attempt: claim.NewAttempt(fmt.Sprint("attempt-", c.attemptCount), key, hash, time.Minute),
		daemon:  drawIndex(c.t, 3, "daemon"),
		number:  c.attemptCount,
		outcome: claim.Outcome{Status: 1000 + c.attemptCount, Body: bytes.Repeat([]byte{byte(c.attemptCount)}, size), BodyKept: true},
	}
	a.MarkSent(c.now)
	c.attempts = append(c.attempts, a)
	c.requests = append(c.requests, command{attempt: a})
}

// recentKey draws one of four timed keys with a time of the last 32 hours, so that keys repeat.
func (c *cluster) recentKey() string {
	const step = 8 * time.Hour
	age := time.Duration(drawIndex(c.t, 4, "age")) * step
	return timedKey(c.now.Truncate(step).Add(-age), byte(age/step))
}

func (c *cluster) apply(registry *claim.Registry, cmd command) answer {
	a := cmd.attempt
	switch {
	case cmd.release:
		registry.Release(cmd.at, a.Key(), a.Name())
	case cmd.finish:
		registry.Finish(cmd.at, a.Key(), a.Name(), a.outcome)
	case a != nil:
		state, outcome := registry.Claim(cmd.at, a.Key(), a.Name(), a.RequestHash())
		c.checkOutcome(a, state, outcome)
		return answer{a, state}
	default:
		registry.Expire(cmd.at)
	}
	return answer{}
}

func (c *cluster) checkOutcome(a *attempt, state claim.State, outcome *claim.Outcome) {
	if (state == claim.Finished) != (outcome != nil) {
		c.t.Fatalf("state %s with outcome %v", state, outcome)
	}
	if outcome == nil || outcome.Status == 0 {
		return
	}
	runner := c.started[a.Key()]
	if runner == nil || outcome.Status != runner.outcome.Status {
		c.t.Fatalf("outcome %d is not that of the attempt that ran, %v", outcome.Status, runner)
	}
	if outcome.BodyKept && !bytes.Equal(outcome.Body, runner.outcome.Body) {
		c.t.Fatalf("the outcome's body is not that of attempt %d", runner.number)
	}
}

func (c *cluster) commit(cmd command) {
	cmd.at = c.now
	c.log = append(c.log, cmd)
	if result := c.apply(c.registry, cmd); result.attempt != nil {
		c.answers = append(c.answers, result)
	}
}

// drawIndex draws a uniformly distributed index below n. Rapid's own integer ranges prefer small values.
func drawIndex(t *rapid.T, n int, label string) int {
	const multiplier = 0x9e3779b97f4a7c15
	return int(rapid.Uint64().Draw(t, label) * multiplier >> 32 % uint64(n))
}

func drawOneOf[V any](t *rapid.T, label string, values ...V) V {
	return values[drawIndex(t, len(values), label)]
}

// deliver draws one of the messages in flight, which stays in flight at times to be repeated. delivered is false if
// there is none or the message is lost.
func deliver[M any](t *rapid.T, inFlight *[]M) (message M, delivered bool) {
	if len(*inFlight) == 0 {
		return message, false
	}
	i := drawIndex(t, len(*inFlight), "message")
	message = (*inFlight)[i]
	if drawIndex(t, 4, "repeat") > 0 {
		*inFlight = append((*inFlight)[:i], (*inFlight)[i+1:]...)
	}
	return message, drawIndex(t, 6, "lose") > 0
}

func (c *cluster) actOnAttempt(a *attempt) {
	switch drawIndex(c.t, 8, "act") {
	case 0:
		if a.MarkSent(c.now) {
			c.requests = append(c.requests, command{attempt: a})
		}
	case 1:
		if a.Release() {
			c.released[a.number] = true
			c.requests = append(c.requests, command{attempt: a, release: true})
		}
	case 2, 3, 4:
		if a.Finish() {
			c.requests = append(c.requests, command{attempt: a, finish: true})
		}
	default:
		c.startAttempt(a)
	}
}

// advanceAttempt advances an attempt by one step without message faults.
func (c *cluster) advanceAttempt(a *attempt) {
	switch a.State() {
	case claim.AttemptSent:
		if !a.MarkSent(c.now) {
			return
		}
		cmd := command{at: c.now, attempt: a}
		c.log = append(c.log, cmd)
		a.Resolve(c.apply(c.registry, cmd).state)
	case claim.AttemptWon:
		c.startAttempt(a)
	case claim.AttemptStarted:
		a.Finish()
		c.commit(command{attempt: a, finish: true})
	}
}

func (c *cluster) startAttempt(a *attempt) {
	if !a.Start(c.now) {
		return
	}
	if previous := c.started[a.Key()]; previous != nil || c.released[a.number] {
		c.t.Fatalf("attempt %d of key %+v started after its release or after attempt %+v", a.number, a.Key(), previous)
	}
	c.started[a.Key()] = a
}

func (c *cluster) killDaemon(daemon int) {
	var remaining []*attempt
	for _, a := range c.attempts {
		if a.daemon != daemon {
			remaining = append(remaining, a)
		}
	}
	c.attempts = remaining
}

// changeLeader replaces the registry with one restored from the last snapshot and the log since then.
func (c *cluster) changeLeader() {
	restored := newTestRegistry()
	if c.snapshot != nil {
		if err := restored.UnmarshalBinary(c.snapshot); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, cmd := range c.log {
		c.apply(restored, cmd)
	}
	if !bytes.Equal(encoded(c.t, restored), encoded(c.t, c.registry)) {
		c.t.Fatalf("the restored registry differs: %+v, want %+v", restored.Stats(), c.registry.Stats())
	}
	c.registry = restored
}

func encoded(t interface{ Fatal(...any) }, r *claim.Registry) []byte {
	snapshot, err := r.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// drawElapsed draws an elapsed time, mostly short and at times longer than every timeout. Several of the longest ones
// exceed the retention.
func drawElapsed(t *rapid.T) time.Duration {
	switch n := drawIndex(t, 400, "pass"); {
	case n < 370:
		return time.Millisecond
	case n < 390:
		return time.Second
	case n < 395:
		return 50 * time.Second
	case n < 398:
		return 11 * time.Minute
	default:
		return 5 * time.Hour
	}
}

func (c *cluster) step() {
	c.now = c.now.Add(drawElapsed(c.t))
	switch action := drawIndex(c.t, 40, "action"); {
	case action < 6:
		c.newAttempt()
	case action < 12:
		if cmd, delivered := deliver(c.t, &c.requests); delivered {
			c.commit(cmd)
		}
	case action < 16:
		if received, delivered := deliver(c.t, &c.answers); delivered {
			received.attempt.Resolve(received.state)
		}
	case action < 36:
		if len(c.attempts) == 0 {
			return
		}
		a := c.attempts[drawIndex(c.t, len(c.attempts), "attempt")]
		if action < 32 {
			c.advanceAttempt(a)
			return
		}
		c.actOnAttempt(a)
	case action < 37:
		c.killDaemon(drawIndex(c.t, 3, "killed"))
	case action < 38:
		c.commit(command{})
	case action < 39:
		c.changeLeader()
	default:
		c.snapshot, c.log = encoded(c.t, c.registry), nil
	}
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, now: epoch, registry: newTestRegistry(), started: make(map[claim.Key]*attempt), released: make(map[int]bool)}
		for range rapid.IntRange(200, 600).Draw(t, "steps") {
			c.step()
		}
		if stats := c.registry.Stats(); stats.Keys > maximumKeys || stats.LargestWorkspaceKeys > maximumWorkspaceKeys || stats.UntimedKeys > 2*maximumUntimedKeys || stats.OutcomeBytes > 3*claim.MaximumBodyBytes {
			t.Fatalf("registry exceeds its limits: %+v", stats)
		}
	})
}

// TestRefusedClaimsLeaveNothing checks that claims which are refused for want of room keep no state of their workspaces.
func TestRefusedClaimsLeaveNothing(t *testing.T) {
	registry := claim.NewRegistry(claim.WithMaximumKeys(1, 1))
	at := time.Unix(1_700_000_000, 0)
	if state, _ := registry.Claim(at, claim.Key{Workspace: "first", Route: "r", IdempotencyKey: "k"}, "a", [32]byte{}); state != claim.Won {
		t.Fatalf("first claim: %s", state)
	}
	for i := range 100 {
		k := claim.Key{Workspace: fmt.Sprint("refused-", i), Route: "r", IdempotencyKey: "k"}
		if state, _ := registry.Claim(at, k, "a", [32]byte{}); state != claim.Full {
			t.Fatalf("claim %d: %s", i, state)
		}
	}
	if got := registry.Workspaces(); got != 1 {
		t.Errorf("%d workspaces are kept, want 1", got)
	}
}
