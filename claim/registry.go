package claim

import (
	"container/heap"
	"time"
)

// A Registry is the replicated state machine of all claims. It is deterministic and not safe for concurrent use. All times
// passed to it are times of the leader's log; a time earlier than the latest one counts as the latest.
type Registry struct {
	retention            time.Duration
	margin               time.Duration
	runLimit             time.Duration
	maximumKeys          int
	maximumWorkspaceKeys int
	maximumUntimedKeys   int
	maximumOutcomeBytes  int64

	logTime      time.Time
	lostClaims   lostClaims
	sequence     uint64
	entries      map[Key]*entry
	ordered      []*entry
	expiryHeap   expiryHeap
	workspaces   map[string]*workspaceClaims
	outcomeBytes int64
}

// NewRegistry returns a book without claims.
func NewRegistry(opts ...RegistryOption) *Registry {
	b := &Registry{
		retention:            DefaultRetention,
		margin:               DefaultMargin,
		runLimit:             DefaultRunLimit,
		maximumKeys:          DefaultMaximumKeys,
		maximumWorkspaceKeys: DefaultMaximumWorkspaceKeys,
		maximumUntimedKeys:   DefaultMaximumUntimedKeys,
		maximumOutcomeBytes:  DefaultMaximumOutcomeBytes,
		logTime:              time.Unix(0, 0),
		entries:              make(map[Key]*entry),
		workspaces:           make(map[string]*workspaceClaims),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Claim tries to win the key for an attempt, whose name must be unique among all attempts ever made. A repeated claim of
// the winner wins again. The outcome is non-nil only with Finished.
func (b *Registry) Claim(at time.Time, k Key, attempt string, requestHash [32]byte) (State, *Outcome) {
	at = b.advance(at)
	if !k.Valid() || !validAttempt(attempt) {
		return Invalid, nil
	}
	e, known := b.entries[k]
	if (!known || e.state == entryReleased) && b.claimMayBeLost(at, k) {
		return Finished, &Outcome{}
	}
	if known {
		return b.claimExisting(at, e, attempt, requestHash)
	}
	e, refused := b.add(at, k)
	if refused != "" {
		return refused, nil
	}
	e.assign(at, attempt, requestHash)
	return Won, nil
}

func (b *Registry) claimExisting(at time.Time, e *entry, attempt string, requestHash [32]byte) (State, *Outcome) {
	switch {
	case e.state == entryReleased && e.attempt == attempt:
		return Running, nil
	case e.state == entryReleased:
		e.assign(at, attempt, requestHash)
		return Won, nil
	case e.requestHash != requestHash:
		return Reused, nil
	case e.state == entryFinished:
		outcome := e.outcome.clone()
		return Finished, &outcome
	case e.attempt == attempt:
		return Won, nil
	case at.UnixNano()-e.claimedAt > int64(b.runLimit):
		return Finished, &Outcome{}
	default:
		return Running, nil
	}
}

// Release gives up the claim of an attempt that has not started. A claim of the attempt that arrives after its release
// can't win. Release reports whether the attempt holds no claim and can't win one.
func (b *Registry) Release(at time.Time, k Key, attempt string) bool {
	at = b.advance(at)
	if !k.Valid() || !validAttempt(attempt) {
		return false
	}
	e, known := b.entries[k]
	if !known && b.claimMayBeLost(at, k) {
		return true
	}
	if !known {
		var refused State
		if e, refused = b.add(at, k); refused != "" {
			return refused == Expired
		}
		e.attempt = attempt
		e.state = entryReleased
		return true
	}
	if e.attempt != attempt || e.state == entryFinished {
		return false
	}
	e.state = entryReleased
	return true
}

// Finish stores the outcome of the attempt that ran, and reports whether an outcome of it is stored. A second outcome of
// the same attempt changes nothing.
func (b *Registry) Finish(at time.Time, k Key, attempt string, outcome Outcome) bool {
	b.advance(at)
	e, known := b.entries[k]
	if !known || e.attempt != attempt || e.state == entryReleased {
		return false
	}
	if e.state == entryFinished {
		return true
	}
	b.sequence++
	e.state = entryFinished
	e.outcome = &storedOutcome{Outcome: outcome.limited(), sequence: b.sequence}
	if e.outcome.BodyKept {
		b.workspaces[k.Workspace].keepOutcome(e)
		b.outcomeBytes += e.outcome.bytes()
		b.discardOutcomes()
	}
	return true
}

// Expire removes the claims whose keys are older than the retention and returns their number.
func (b *Registry) Expire(at time.Time) int {
	at = b.advance(at)
	removed := 0
	for len(b.expiryHeap) > 0 && b.expiryHeap[0].expiresAt <= at.UnixNano() {
		b.remove(heap.Pop(&b.expiryHeap).(*entry))
		removed++
	}
	b.compact()
	return removed
}

// Stats returns the sizes of the book.
func (b *Registry) Stats() RegistryStats {
	stats := RegistryStats{Keys: len(b.entries), UntimedKeys: len(b.entries) - len(b.expiryHeap), OutcomeBytes: b.outcomeBytes}
	for _, w := range b.workspaces {
		stats.LargestWorkspaceKeys = max(stats.LargestWorkspaceKeys, w.keys)
	}
	return stats
}

func (b *Registry) advance(at time.Time) time.Time {
	if at.After(b.logTime) {
		b.logTime = at
	}
	return b.logTime
}

func (b *Registry) add(at time.Time, k Key) (*entry, State) {
	expiresAt, refused := b.expiryTime(at, k)
	if refused != "" {
		return nil, refused
	}
	w := b.ensureWorkspace(k.Workspace)
	if len(b.entries) >= b.maximumKeys || w.keys >= b.maximumWorkspaceKeys {
		return nil, Full
	}
	if expiresAt == 0 && w.untimedKeys >= b.maximumUntimedKeys {
		return nil, Full
	}
	b.sequence++
	k.Workspace = w.name
	e := &entry{key: k, claimedAt: at.UnixNano(), expiresAt: expiresAt, sequence: b.sequence}
	b.insert(e, w)
	return e, ""
}

func (b *Registry) expiryTime(at time.Time, k Key) (int64, State) {
	keyTime, timed := k.Time()
	switch {
	case !timed || keyTime.After(at.Add(b.margin)):
		return 0, ""
	case !at.Before(keyTime.Add(b.retention - b.margin)):
		return 0, Expired
	default:
		return keyTime.Add(b.retention).UnixNano(), ""
	}
}

func (b *Registry) insert(e *entry, w *workspaceClaims) {
	b.entries[e.key] = e
	b.ordered = append(b.ordered, e)
	w.keys++
	if e.timed() {
		heap.Push(&b.expiryHeap, e)
		return
	}
	w.untimedKeys++
}

func (b *Registry) remove(e *entry) {
	delete(b.entries, e.key)
	w := b.workspaces[e.key.Workspace]
	w.keys--
	if e.outcome != nil {
		b.outcomeBytes -= w.discardOutcome(e)
	}
	e.removed = true
	if w.keys == 0 {
		delete(b.workspaces, w.name)
	}
}

// compact deletes removed entries from the ordered slices once they make up at least half of b.ordered.
func (b *Registry) compact() {
	if len(b.ordered) < 2*len(b.entries) {
		return
	}
	b.ordered = withoutRemoved(b.ordered)
	for _, w := range b.workspaces {
		w.outcomes = withoutRemoved(w.outcomes)
	}
}

func withoutRemoved(entries []*entry) []*entry {
	var kept []*entry
	for _, e := range entries {
		if !e.removed {
			kept = append(kept, e)
		}
	}
	return kept
}

// discardOutcomes discards the oldest outcomes of the workspace with the most outcome bytes until the total is within
// the maximum.
func (b *Registry) discardOutcomes() {
	for b.outcomeBytes > b.maximumOutcomeBytes {
		b.outcomeBytes -= b.largestWorkspace().discardOldest()
	}
}

func (b *Registry) largestWorkspace() *workspaceClaims {
	var largest *workspaceClaims
	for _, w := range b.workspaces {
		if largest == nil || w.outcomeBytes > largest.outcomeBytes || w.outcomeBytes == largest.outcomeBytes && w.name < largest.name {
			largest = w
		}
	}
	return largest
}

func (b *Registry) ensureWorkspace(workspace string) *workspaceClaims {
	w, known := b.workspaces[workspace]
	if !known {
		w = &workspaceClaims{name: workspace}
		b.workspaces[workspace] = w
	}
	return w
}

func validAttempt(attempt string) bool {
	return validText(attempt) && len(attempt) <= maximumAttemptBytes
}
