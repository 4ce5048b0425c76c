package claim

import (
	"container/heap"
	"time"
)

// A Registry is the replicated state machine of all claims. It is deterministic and not safe for concurrent use. All
// times passed to it are times of the leader's log; a time earlier than the latest one counts as the latest.
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

// NewRegistry returns a registry without claims.
func NewRegistry(opts ...RegistryOption) *Registry {
	r := &Registry{
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
		opt(r)
	}
	return r
}

// Claim tries to win the key for an attempt, whose name must be unique among all attempts ever made. A repeated claim
// of the winner wins again. The outcome is non-nil only with Finished.
func (r *Registry) Claim(at time.Time, k Key, attempt string, requestHash [32]byte) (State, *Outcome) {
	at = r.advance(at)
	if !k.Valid() || !validAttempt(attempt) {
		return Invalid, nil
	}
	e, known := r.entries[k]
	if (!known || e.state == entryReleased) && r.claimMayBeLost(at, k) {
		return Finished, &Outcome{}
	}
	if known {
		return r.claimExisting(at, e, attempt, requestHash)
	}
	e, refused := r.add(at, k)
	if refused != "" {
		return refused, nil
	}
	e.assign(at, attempt, requestHash)
	return Won, nil
}

func (r *Registry) claimExisting(at time.Time, e *entry, attempt string, requestHash [32]byte) (State, *Outcome) {
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
	case at.UnixNano()-e.claimedAt > int64(r.runLimit):
		return Finished, &Outcome{}
	default:
		return Running, nil
	}
}

// Release gives up the claim of an attempt that has not started. A claim of the attempt that arrives after its release
// can't win. Release reports whether the attempt holds no claim and can't win one.
func (r *Registry) Release(at time.Time, k Key, attempt string) bool {
	at = r.advance(at)
	if !k.Valid() || !validAttempt(attempt) {
		return false
	}
	e, known := r.entries[k]
	if !known && r.claimMayBeLost(at, k) {
		return true
	}
	if !known {
		var refused State
		if e, refused = r.add(at, k); refused != "" {
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

// Finish stores the outcome of the attempt that ran, and reports whether an outcome of it is stored. A second outcome
// of the same attempt changes nothing.
func (r *Registry) Finish(at time.Time, k Key, attempt string, outcome Outcome) bool {
	r.advance(at)
	e, known := r.entries[k]
	if !known || e.attempt != attempt || e.state == entryReleased {
		return false
	}
	if e.state == entryFinished {
		return true
	}
	r.sequence++
	e.state = entryFinished
	e.outcome = &storedOutcome{Outcome: outcome.limited(), sequence: r.sequence}
	if e.outcome.BodyKept {
		r.workspaces[k.Workspace].keepOutcome(e)
		r.outcomeBytes += e.outcome.bytes()
		r.discardOutcomes()
	}
	return true
}

// Expire removes the claims whose keys are older than the retention and returns their number.
func (r *Registry) Expire(at time.Time) int {
	at = r.advance(at)
	removed := 0
	for len(r.expiryHeap) > 0 && r.expiryHeap[0].expiresAt <= at.UnixNano() {
		r.remove(heap.Pop(&r.expiryHeap).(*entry))
		removed++
	}
	r.compact()
	return removed
}

// Stats returns the sizes of the registry.
func (r *Registry) Stats() RegistryStats {
	stats := RegistryStats{Keys: len(r.entries), UntimedKeys: len(r.entries) - len(r.expiryHeap), OutcomeBytes: r.outcomeBytes}
	for _, w := range r.workspaces {
		stats.LargestWorkspaceKeys = max(stats.LargestWorkspaceKeys, w.keys)
	}
	return stats
}

// Workspaces returns the number of workspaces that the registry holds claims of.
func (r *Registry) Workspaces() int {
	return len(r.workspaces)
}

func (r *Registry) advance(at time.Time) time.Time {
	if at.After(r.logTime) {
		r.logTime = at
	}
	return r.logTime
}

func (r *Registry) add(at time.Time, k Key) (*entry, State) {
	expiresAt, refused := r.expiryTime(at, k)
	if refused != "" {
		return nil, refused
	}
	if len(r.entries) >= r.maximumKeys || !r.hasRoomFor(k.Workspace, expiresAt != 0) {
		return nil, Full
	}
	w := r.ensureWorkspace(k.Workspace)
	r.sequence++
	k.Workspace = w.name
	e := &entry{key: k, claimedAt: at.UnixNano(), expiresAt: expiresAt, sequence: r.sequence}
	r.insert(e, w)
	return e, ""
}

// hasRoomFor reports whether a workspace may have one more key. Only a key with a time expires.
func (r *Registry) hasRoomFor(workspace string, timed bool) bool {
	keys, untimedKeys := 0, 0
	if w, known := r.workspaces[workspace]; known {
		keys, untimedKeys = w.keys, w.untimedKeys
	}
	return keys < r.maximumWorkspaceKeys && (timed || untimedKeys < r.maximumUntimedKeys)
}

func (r *Registry) expiryTime(at time.Time, k Key) (int64, State) {
	keyTime, timed := k.Time()
	switch {
	case !timed || keyTime.After(at.Add(r.margin)):
		return 0, ""
	case !at.Before(keyTime.Add(r.retention - r.margin)):
		return 0, Expired
	default:
		return keyTime.Add(r.retention).UnixNano(), ""
	}
}

func (r *Registry) insert(e *entry, w *workspaceClaims) {
	r.entries[e.key] = e
	r.ordered = append(r.ordered, e)
	w.keys++
	if e.timed() {
		heap.Push(&r.expiryHeap, e)
		return
	}
	w.untimedKeys++
}

func (r *Registry) remove(e *entry) {
	delete(r.entries, e.key)
	w := r.workspaces[e.key.Workspace]
	w.keys--
	if e.outcome != nil {
		r.outcomeBytes -= w.discardOutcome(e)
	}
	e.removed = true
	if w.keys == 0 {
		delete(r.workspaces, w.name)
	}
}

// compact deletes removed entries from the ordered slices once they make up at least half of b.ordered.
func (r *Registry) compact() {
	if len(r.ordered) < 2*len(r.entries) {
		return
	}
	r.ordered = withoutRemoved(r.ordered)
	for _, w := range r.workspaces {
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
func (r *Registry) discardOutcomes() {
	for r.outcomeBytes > r.maximumOutcomeBytes {
		r.outcomeBytes -= r.largestWorkspace().discardOldest()
	}
}

func (r *Registry) largestWorkspace() *workspaceClaims {
	var largest *workspaceClaims
	for _, w := range r.workspaces {
		if largest == nil || w.outcomeBytes > largest.outcomeBytes || w.outcomeBytes == largest.outcomeBytes && w.name < largest.name {
			largest = w
		}
	}
	return largest
}

func (r *Registry) ensureWorkspace(workspace string) *workspaceClaims {
	w, known := r.workspaces[workspace]
	if !known {
		w = &workspaceClaims{name: workspace}
		r.workspaces[workspace] = w
	}
	return w
}

func validAttempt(attempt string) bool {
	return validText(attempt) && len(attempt) <= maximumAttemptBytes
}
