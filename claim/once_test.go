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
	maximumUntimed       = 3
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// timedKey returns a UUID of version 7 that carries at.
func timedKey(at time.Time, tail byte) string {
	id := uuid.UUID{6: 0x70, 8: 0x80, 15: tail}
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(id[:6], ms[2:])
	return id.String()
}

func newBook() *claim.Book {
	return claim.NewBook(claim.WithMaximumKeys(maximumKeys, maximumWorkspaceKeys), claim.WithMaximumUntimedKeys(maximumUntimed), claim.WithMaximumOutcomeBytes(3*claim.MaximumBodyBytes))
}

// command is one entry of the log; exactly one of release and finish may be set, else it claims.
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

// cluster is a book with its log, and daemons over links that lose, repeat and reorder.
type cluster struct {
	t        *rapid.T
	now      time.Time
	book     *claim.Book
	snapshot []byte
	log      []command // since the snapshot
	attempts []*attempt
	made     int
	requests []command
	answers  []answer
	runs     map[claim.Key]*attempt
	released map[int]bool
}

func (c *cluster) newAttempt() {
	key := claim.Key{Workspace: oneOf(c.t, "workspace", "oslo", "oslo", "bergen"), Route: "book"}
	key.IdempotencyKey = oneOf(c.t, "key", "a", "b", "c", "d", c.recentKey(), c.recentKey())
	c.made++
	hash := [32]byte{byte(oneOf(c.t, "hash", 1, 1, 1, 1, 1, 2))}
	size := oneOf(c.t, "body", 0, 10, claim.MaximumBodyBytes, claim.MaximumBodyBytes, claim.MaximumBodyBytes+1)
	a := &attempt{
		Attempt: claim.NewAttempt(fmt.Sprint("attempt-", c.made), key, hash, time.Minute),
		daemon:  uniform(c.t, 3, "daemon"),
		number:  c.made,
		outcome: claim.Outcome{Status: 1000 + c.made, Body: bytes.Repeat([]byte{byte(c.made)}, size), BodyKept: true},
	}
	a.Ask(c.now)
	c.attempts = append(c.attempts, a)
	c.requests = append(c.requests, command{attempt: a})
}

// recentKey draws a key with a time around now, few enough to be drawn again.
func (c *cluster) recentKey() string {
	const step = 8 * time.Hour
	age := time.Duration(uniform(c.t, 4, "age")) * step
	return timedKey(c.now.Truncate(step).Add(-age), byte(age/step))
}

func (c *cluster) apply(book *claim.Book, cmd command) answer {
	a := cmd.attempt
	switch {
	case cmd.release:
		book.Release(cmd.at, a.Key(), a.Name())
	case cmd.finish:
		book.Finish(cmd.at, a.Key(), a.Name(), a.outcome)
	case a != nil:
		state, outcome := book.Claim(cmd.at, a.Key(), a.Name(), a.RequestHash())
		c.checkOutcome(a, state, outcome)
		return answer{a, state}
	default:
		book.Expire(cmd.at)
	}
	return answer{}
}

func (c *cluster) checkOutcome(a *attempt, state claim.State, outcome *claim.Outcome) {
	if (state == claim.Finished) != (outcome != nil) {
		c.t.Fatalf("%s has outcome %v", state, outcome)
	}
	if outcome == nil || outcome.Status == 0 {
		return
	}
	ran := c.runs[a.Key()]
	if ran == nil || outcome.Status != ran.outcome.Status {
		c.t.Fatalf("outcome %d is not that of the attempt that ran, %v", outcome.Status, ran)
	}
	if outcome.BodyKept && !bytes.Equal(outcome.Body, ran.outcome.Body) {
		c.t.Fatalf("outcome's body is not that of attempt %d", ran.number)
	}
}

func (c *cluster) commit(cmd command) {
	cmd.at = c.now
	c.log = append(c.log, cmd)
	if answered := c.apply(c.book, cmd); answered.attempt != nil {
		c.answers = append(c.answers, answered)
	}
}

// uniform draws an index below n without rapid's preference for small ones.
func uniform(t *rapid.T, n int, label string) int {
	const spread = 0x9e3779b97f4a7c15
	return int(rapid.Uint64().Draw(t, label) * spread >> 32 % uint64(n))
}

func oneOf[V any](t *rapid.T, label string, values ...V) V {
	return values[uniform(t, len(values), label)]
}

// pick draws one of the messages in flight; it is kept for a repeat now and then.
func pick[M any](t *rapid.T, flight *[]M) (message M, picked bool) {
	if len(*flight) == 0 {
		return message, false
	}
	i := uniform(t, len(*flight), "message")
	message = (*flight)[i]
	if uniform(t, 4, "repeat") > 0 {
		*flight = append((*flight)[:i], (*flight)[i+1:]...)
	}
	return message, uniform(t, 6, "lose") > 0
}

func (c *cluster) act(a *attempt) {
	switch uniform(c.t, 8, "act") {
	case 0:
		if a.Ask(c.now) {
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
		c.start(a)
	}
}

// drive brings an attempt one step on over links without faults.
func (c *cluster) drive(a *attempt) {
	switch a.State() {
	case claim.AttemptAsked:
		if !a.Ask(c.now) {
			return
		}
		cmd := command{at: c.now, attempt: a}
		c.log = append(c.log, cmd)
		a.Answer(c.apply(c.book, cmd).state)
	case claim.AttemptWon:
		c.start(a)
	case claim.AttemptStarted:
		a.Finish()
		c.commit(command{attempt: a, finish: true})
	}
}

func (c *cluster) start(a *attempt) {
	if !a.Start(c.now) {
		return
	}
	if former := c.runs[a.Key()]; former != nil || c.released[a.number] {
		c.t.Fatalf("attempt %d runs %+v after attempt %+v", a.number, a.Key(), former)
	}
	c.runs[a.Key()] = a
}

func (c *cluster) kill(daemon int) {
	var alive []*attempt
	for _, a := range c.attempts {
		if a.daemon != daemon {
			alive = append(alive, a)
		}
	}
	c.attempts = alive
}

// changeLeader goes on with a book that was restored from the last snapshot and the log since.
func (c *cluster) changeLeader() {
	restored := newBook()
	if c.snapshot != nil {
		if err := restored.UnmarshalBinary(c.snapshot); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, cmd := range c.log {
		c.apply(restored, cmd)
	}
	if !bytes.Equal(encoded(c.t, restored), encoded(c.t, c.book)) {
		c.t.Fatalf("the restored book differs: %+v, want %+v", restored.Stats(), c.book.Stats())
	}
	c.book = restored
}

func encoded(t interface{ Fatal(...any) }, b *claim.Book) []byte {
	snapshot, err := b.MarshalBinary()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// pass draws a time that passes: mostly little, at times longer than every timeout or the retention.
func pass(t *rapid.T) time.Duration {
	switch n := uniform(t, 400, "pass"); {
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
	c.now = c.now.Add(pass(c.t))
	switch action := uniform(c.t, 40, "action"); {
	case action < 6:
		c.newAttempt()
	case action < 12:
		if cmd, picked := pick(c.t, &c.requests); picked {
			c.commit(cmd)
		}
	case action < 16:
		if got, picked := pick(c.t, &c.answers); picked {
			got.attempt.Answer(got.state)
		}
	case action < 36:
		if len(c.attempts) == 0 {
			return
		}
		a := c.attempts[uniform(c.t, len(c.attempts), "attempt")]
		if action < 32 {
			c.drive(a)
			return
		}
		c.act(a)
	case action < 37:
		c.kill(uniform(c.t, 3, "killed"))
	case action < 38:
		c.commit(command{})
	case action < 39:
		c.changeLeader()
	default:
		c.snapshot, c.log = encoded(c.t, c.book), nil
	}
}

func TestKeyRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{t: t, now: epoch, book: newBook(), runs: make(map[claim.Key]*attempt), released: make(map[int]bool)}
		for range rapid.IntRange(200, 600).Draw(t, "steps") {
			c.step()
		}
		if stats := c.book.Stats(); stats.Keys > maximumKeys || stats.LargestWorkspaceKeys > maximumWorkspaceKeys || stats.UntimedKeys > 2*maximumUntimed || stats.OutcomeBytes > 3*claim.MaximumBodyBytes {
			t.Fatalf("book over its bounds: %+v", stats)
		}
	})
}
