package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A Registry is the replicated state of publishing. It is deterministic: replicas that apply the same publishes
// in the same order hold the same state and give the same answers.
//
// An answer is forgotten once the bound of kept answers is passed. A resend of a forgotten publish is then a
// conflict, since its base is no longer the current revision, so it never comes into force a second time.
type Registry struct {
	maxSize       int64
	keptRevisions int
	keptSize      int64
	keptAnswers   int

	revision  uint64
	current   Set
	size      int64
	source    *Source
	revisions []revision
	// recovered is the first revision after a forced recovery, zero for none.
	recovered uint64
	kept      int64
	answers   answerBook
}

// NewRegistry returns a registry at revision 0 with an empty set.
func NewRegistry(opts ...RegistryOption) *Registry {
	r := &Registry{
		maxSize:       DefaultMaxSize,
		keptRevisions: defaultKeptRevisions,
		keptSize:      defaultKeptSize,
		keptAnswers:   defaultKeptAnswers,
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Publish puts a set into force if its base is the current revision and the set is whole; at is the time that history tells.
// The same publication id gets the first answer again.
func (r *Registry) Publish(at time.Time, p Publish) Published {
	sum := p.digest()
	if first, ok := r.answers.find(p.ID); ok {
		if first.Digest != sum {
			return r.broken(Problems{{Name: "publication-id", Found: fmt.Sprintf("%q, the id of another publish", p.ID), Expected: "an id of its own"}})
		}
		return first.Published
	}
	published := r.decide(at, p)
	if p.ID != "" {
		r.answers.add(p.ID, sum, published, r.keptAnswers)
	}
	return published
}

func (r *Registry) decide(at time.Time, p Publish) Published {
	if p.ID == "" {
		return r.broken(Problems{{Name: "publication-id", Found: "nothing", Expected: "an id of its own"}})
	}
	p, refused := r.rebase(p)
	if refused != nil {
		return *refused
	}
	if p.Base > r.revision {
		return r.broken(Problems{{Name: "base", Found: fmt.Sprint(p.Base), Expected: fmt.Sprintf("a revision up to %d", r.revision)}})
	}
	if p.Base < r.revision {
		return Published{Revision: r.revision, Kind: Conflict, Winner: r.winner(p.Base)}
	}
	if p.size() > r.maxSize {
		return r.tooLarge(p.size())
	}
	set, err := r.proposed(p)
	if err != nil {
		return r.broken(problemsOf(err))
	}
	made := revision{Forward: set.Changes(r.current), Backward: r.current.Changes(set)}
	size := r.size + sizeOf(made.Forward) - sizeOf(made.Backward)
	if size > r.maxSize {
		return r.tooLarge(size)
	}
	r.size = size
	r.accept(at, p, set, made)
	return Published{Revision: r.revision, Kind: Accepted}
}

// proposed returns the checked set that p asks for, in canonical order.
func (r *Registry) proposed(p Publish) (Set, error) {
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
	return p.Set.canonical(), nil
}

func (r *Registry) accept(at time.Time, p Publish, set Set, made revision) {
	r.revision++
	made.Entry = Entry{
		Revision: r.revision,
		At:       at.UTC(),
		ID:       p.ID,
		Author:   p.Author,
		Comment:  p.Comment,
		Changes:  len(made.Forward),
	}
	r.current = set
	r.source = p.Source
	r.revisions = append(r.revisions, made)
	r.kept += made.size()
	r.dropOldest()
}

// dropOldest keeps the revisions within their bounds.
func (r *Registry) dropOldest() {
	excess := 0
	for len(r.revisions)-excess > r.keptRevisions || r.kept > r.keptSize {
		r.kept -= r.revisions[excess].size()
		excess++
	}
	r.revisions = slices.Delete(r.revisions, 0, excess)
}

// Revision returns the current revision, 0 before the first publish.
func (r *Registry) Revision() uint64 { return r.revision }

// Current returns the set in force.
func (r *Registry) Current() Set { return r.current }

// Set returns the set of a revision, or false where the revision is not kept or was never made.
func (r *Registry) Set(number uint64) (Set, bool) {
	next, kept := r.after(number)
	if !kept {
		return Set{}, false
	}
	var back []Change
	for _, made := range slices.Backward(r.revisions[next:]) {
		back = append(back, made.Backward...)
	}
	set, err := r.current.Apply(back)
	return set, err == nil
}

// History returns who published each kept revision, the oldest first.
func (r *Registry) History() []Entry {
	entries := make([]Entry, len(r.revisions))
	for i, made := range r.revisions {
		entries[i] = made.Entry
	}
	return entries
}

// Delta returns what leads from a revision to the current one, or the whole set where that revision is not kept.
func (r *Registry) Delta(from uint64) (changes []Change, whole bool) {
	next, kept := r.after(from)
	if !kept || from < r.recovered {
		return r.current.Changes(Set{}), true
	}
	last := map[objectID]int{}
	for _, made := range r.revisions[next:] {
		for _, c := range made.Forward {
			if at, ok := last[c.id()]; ok {
				changes[at] = c
				continue
			}
			last[c.id()] = len(changes)
			changes = append(changes, c)
		}
	}
	return changes, false
}

// Shorten returns p with the changes on its base in place of a whole set, where the base is kept. The base of a publish
// with a source is known only when it is applied.
func (r *Registry) Shorten(p Publish) Publish {
	if p.Source != nil {
		return p
	}
	base, ok := r.Set(p.Base)
	if p.Changes != nil || !ok || p.Set.Check() != nil {
		return p
	}
	p.sum = p.digest()
	p.Changes = append([]Change{}, p.Set.Changes(base)...)
	p.Set = Set{}
	return p
}

// oldest returns the oldest revision whose set can be told.
func (r *Registry) oldest() uint64 {
	if len(r.revisions) == 0 {
		return r.revision
	}
	return r.revisions[0].Entry.Revision - 1
}

// after returns the place of the first kept revision above a number, and whether the set of that number can be told.
func (r *Registry) after(number uint64) (next int, kept bool) {
	next, exact := slices.BinarySearchFunc(r.revisions, number, func(made revision, number uint64) int {
		return cmp.Compare(made.Entry.Revision, number)
	})
	if exact {
		return next + 1, true
	}
	return next, number == r.oldest() && number+1 != r.recovered
}

// winner returns the revision that was made on a base.
func (r *Registry) winner(base uint64) uint64 {
	if next, _ := r.after(base); next < len(r.revisions) && base >= r.oldest() {
		return r.revisions[next].Entry.Revision
	}
	return base + 1
}

func (r *Registry) tooLarge(size int64) Published {
	problem := Problem{Name: "set", Found: fmt.Sprintf("%d bytes", size), Expected: fmt.Sprintf("at most %d bytes", r.maxSize)}
	return Published{Revision: r.revision, Kind: TooLarge, Problems: Problems{problem}}
}

func (r *Registry) broken(problems Problems) Published {
	return Published{Revision: r.revision, Kind: Broken, Problems: problems.first(maxAnswerProblems)}
}
