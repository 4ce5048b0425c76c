package configuration

import (
	"fmt"
	"strconv"
)

// A Source is the document of another system that a set was converted from. That system assigns its own version
// numbers, so the base of a publish request with a source is a version and not a revision.
type Source struct {
	// Version is the number that the other system assigned to the document.
	Version uint64 `json:"version"`
	// Base is the version that the document replaces, or 0 if there is none.
	Base uint64 `json:"base"`
	// Document is the unmodified content.
	Document []byte `json:"document"`
}

// resolveBase returns p with the current revision as its base if p has a source that follows the version in force. It
// returns a rejection if the source does not follow that version. A publish without a source is returned unchanged.
func (r *Registry) resolveBase(p PublishRequest) (PublishRequest, *PublishResult) {
	if p.Source == nil {
		return p, nil
	}
	current := r.sourceVersion()
	if p.Source.Base != current {
		return p, &PublishResult{Revision: r.revision, Kind: Conflict, Winner: r.revision}
	}
	if p.Source.Version <= current {
		rejection := r.brokenAnswer(Problems{{
			Name: "version", Found: strconv.FormatUint(p.Source.Version, 10), Expected: fmt.Sprintf("a version above %d", current),
		}})
		return p, &rejection
	}
	// Changes apply only to the revision that they were made for.
	if p.Changes != nil && p.Base != r.revision {
		return p, &PublishResult{Revision: r.revision, Kind: Conflict, Winner: r.revision}
	}
	p.Base = r.revision
	return p, nil
}

// SettledResult returns the result of a publish with a source that builds on version base, if that can't change anymore:
// the first result of a repeated publish, or a conflict, since the version in force is later and versions only increase.
func (r *Registry) SettledResult(id string, base uint64) (PublishResult, bool) {
	if first, ok := r.answers.find(id); ok {
		return first.Published, true
	}
	if base < r.sourceVersion() {
		return PublishResult{Revision: r.revision, Kind: Conflict, Winner: r.revision}, true
	}
	return PublishResult{}, false
}

// sourceVersion returns the version of the document in force, or 0 if the current set has none.
func (r *Registry) sourceVersion() uint64 {
	if r.source == nil {
		return 0
	}
	return r.source.Version
}

// Source returns the source of the current set, or nil if it has none.
func (r *Registry) Source() *Source { return r.source }
