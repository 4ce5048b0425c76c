package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A Registry is the replicated state machine of published configuration sets. It is deterministic: replicas that apply
// the same publish requests in the same order have the same state and return the same responses.
//
// The oldest response is dropped when the limit of kept responses is exceeded. A repeated request whose response was
// dropped is a conflict, because its base is no longer the current revision, so no request is accepted twice.
type Registry struct {
	maxSize        int64
	maxRevisions   int
	maxHistorySize int64
	maxAnswers     int

	revision uint64
	current  Set
	size     int64
	source   *Source
	history  []revision
	// recoveryRevision is the first revision after the latest forced recovery, or zero if there was none.
	recoveryRevision uint64
	historySize      int64
	answers          answerTable
}

// NewRegistry returns a registry at revision 0 with an empty set.
func NewRegistry(opts ...RegistryOption) *Registry {
	r := &Registry{
		maxSize:        DefaultMaxSize,
		maxRevisions:   defaultKeptRevisions,
		maxHistorySize: defaultKeptSize,
		maxAnswers:     defaultKeptAnswers,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Publish puts the set of p into force if its base is the current revision and the set is valid. The time at is
// recorded in the history. A repeated request with the same publication ID returns the first response again.
func (r *Registry) Publish(at time.Time, p PublishRequest) PublishResult {
	contentDigest := r.contentDigest(p)
	if first, ok := r.answers.find(p.ID); ok {
		// The id of a publish with a source is made of its document.
		if p.Source == nil && first.Digest != contentDigest {
			return r.brokenAnswer(Problems{{Name: "publication-id", Found: fmt.Sprintf("%q, the id of another publish", p.ID), Expected: "an id of its own"}})
		}
		return first.Published
	}
	result := r.evaluate(at, p)
	if p.ID != "" {
		r.answers.add(p.ID, contentDigest, result, r.maxAnswers)
	}
	return result
}

// contentDigest returns the digest that is recorded with the result of p.
func (r *Registry) contentDigest(p PublishRequest) digest {
	if p.Source != nil {
		return "" // the ID says as much
	}
	return p.digest()
}

func (r *Registry) evaluate(at time.Time, p PublishRequest) PublishResult {
	if p.ID == "" {
		return r.brokenAnswer(Problems{{Name: "publication-id", Found: "nothing", Expected: "an id of its own"}})
	}
	p, rejection := r.resolveBase(p)
	if rejection != nil {
		return *rejection
	}
	if p.Base > r.revision {
		return r.brokenAnswer(Problems{{Name: "base", Found: fmt.Sprint(p.Base), Expected: fmt.Sprintf("a revision up to %d", r.revision)}})
	}
	if p.Base < r.revision {
		return PublishResult{Revision: r.revision, Kind: Conflict, Winner: r.winnerOver(p.Base)}
	}
	if p.size() > r.maxSize {
		return r.tooLargeAnswer(p.size())
	}
	set, err := r.proposedSet(p)
	if err != nil {
		return r.brokenAnswer(asProblems(err))
	}
	rev := r.difference(p, set)
	size := r.size + sizeOf(rev.Forward) - sizeOf(rev.Backward)
	if size > r.maxSize {
		return r.tooLargeAnswer(size)
	}
	r.size = size
	r.accept(at, p, set, rev)
	return PublishResult{Revision: r.revision, Kind: Accepted}
}

// proposedSet returns the set that p requests, sorted by name, or an error if the set is invalid.
func (r *Registry) proposedSet(p PublishRequest) (Set, error) {
	if p.Changes != nil {
		set, err := r.current.Apply(p.Changes)
		if err != nil {
			return Set{}, err
		}
		return set, set.Check()
	}
	if err := p.Set.Check(); err != nil {
		return Set{}, err
	}
	return p.Set.sortedObjects(), nil
}

// difference returns the changes from the current set to set, and back. Those of a publish with changes are among the
// objects that these name.
func (r *Registry) difference(p PublishRequest, set Set) revision {
	before, after := r.current, set
	if p.Changes != nil {
		named := make(map[objectID]bool, len(p.Changes))
		for _, c := range p.Changes {
			named[c.id()] = true
		}
		before, after = before.only(named), after.only(named)
	}
	return revision{Forward: after.Changes(before), Backward: before.Changes(after)}
}

func (r *Registry) accept(at time.Time, p PublishRequest, set Set, rev revision) {
	r.revision++
	rev.Entry = HistoryEntry{
		Revision: r.revision,
		At:       at.UTC(),
		ID:       p.ID,
		Author:   p.Author,
		Comment:  p.Comment,
		Changes:  len(rev.Forward),
	}
	r.current = set
	r.source = p.Source
	r.history = append(r.history, rev)
	r.historySize += rev.size()
	r.dropOldest()
	if i := len(r.history) - 1 - unpackedRevisions; i >= 0 {
		r.history[i] = r.history[i].pack()
	}
}

// dropOldest removes the oldest revisions that exceed the limits of the history.
func (r *Registry) dropOldest() {
	excess := 0
	for len(r.history)-excess > r.maxRevisions || r.historySize > r.maxHistorySize {
		r.historySize -= r.history[excess].size()
		excess++
	}
	r.history = slices.Delete(r.history, 0, excess)
}

// Revision returns the current revision, 0 before the first publish.
func (r *Registry) Revision() uint64 { return r.revision }

// Current returns the set in force.
func (r *Registry) Current() Set { return r.current }

// Set returns the set of a revision, or false if the revision was dropped from the history or does not exist.
func (r *Registry) Set(number uint64) (Set, bool) {
	next, kept := r.indexAfter(number)
	if !kept {
		return Set{}, false
	}
	var reverse []Change
	for _, kept := range slices.Backward(r.history[next:]) {
		rev, err := kept.unpack()
		if err != nil {
			return Set{}, false
		}
		reverse = append(reverse, rev.Backward...)
	}
	set, err := r.current.Apply(reverse)
	return set, err == nil
}

// History returns the entries of all kept revisions, the oldest first.
func (r *Registry) History() []HistoryEntry {
	entries := make([]HistoryEntry, len(r.history))
	for i, rev := range r.history {
		entries[i] = rev.Entry
	}
	return entries
}

// Delta returns the changes from a revision to the current one. If that revision is not kept or precedes a forced
// recovery, whole is true and the changes build the complete set.
func (r *Registry) Delta(from uint64) (changes []Change, whole bool) {
	next, kept := r.indexAfter(from)
	if !kept || from < r.recoveryRevision {
		return r.current.Changes(Set{}), true
	}
	index := map[objectID]int{}
	for _, kept := range r.history[next:] {
		rev, err := kept.unpack()
		if err != nil {
			return r.current.Changes(Set{}), true
		}
		for _, c := range rev.Forward {
			if at, ok := index[c.id()]; ok {
				changes[at] = c
				continue
			}
			index[c.id()] = len(changes)
			changes = append(changes, c)
		}
	}
	return changes, false
}

// ReplaceSetByChanges returns p with its set replaced by the changes to its base, if the base is kept. The base of a
// publish with a source is the current revision if that has the version on which the source builds; with another version
// the publish is returned unchanged.
func (r *Registry) ReplaceSetByChanges(p PublishRequest) PublishRequest {
	if p.Source != nil {
		if p.Source.Base != r.sourceVersion() {
			return p
		}
		p.Base = r.revision
	}
	base, ok := r.Set(p.Base)
	if p.Changes != nil || !ok || p.Set.Check() != nil {
		return p
	}
	if p.Source == nil {
		p.originalDigest = p.digest()
	}
	p.Changes = append([]Change{}, p.Set.Changes(base)...)
	p.Set = Set{}
	return p
}

// oldestRevision returns the oldest revision whose set can be restored from the history.
func (r *Registry) oldestRevision() uint64 {
	if len(r.history) == 0 {
		return r.revision
	}
	return r.history[0].Entry.Revision - 1
}

// indexAfter returns the history index of the first revision above number, and whether the set of revision number can
// be restored from the history.
func (r *Registry) indexAfter(number uint64) (next int, kept bool) {
	next, exact := slices.BinarySearchFunc(r.history, number, func(rev revision, number uint64) int {
		return cmp.Compare(rev.Entry.Revision, number)
	})
	if exact {
		return next + 1, true
	}
	return next, number == r.oldestRevision() && number+1 != r.recoveryRevision
}

// winnerOver returns the revision that was published on base. If the history no longer has it, the result is base + 1.
func (r *Registry) winnerOver(base uint64) uint64 {
	if next, _ := r.indexAfter(base); next < len(r.history) && base >= r.oldestRevision() {
		return r.history[next].Entry.Revision
	}
	return base + 1
}

func (r *Registry) tooLargeAnswer(size int64) PublishResult {
	problem := Problem{Name: "set", Found: fmt.Sprintf("%d bytes", size), Expected: fmt.Sprintf("at most %d bytes", r.maxSize)}
	return PublishResult{Revision: r.revision, Kind: TooLarge, Problems: Problems{problem}}
}

func (r *Registry) brokenAnswer(problems Problems) PublishResult {
	return PublishResult{Revision: r.revision, Kind: Broken, Problems: problems.truncated(maxAnswerProblems)}
}
