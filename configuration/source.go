package configuration

import (
	"fmt"
	"strconv"
)

// A Source is the document, in the words of another system, that a set was made from. That system numbers its versions
// by itself: a publish with a source builds on a version, not on a revision.
type Source struct {
	// Version is the number that the document's author gave it.
	Version uint64 `json:"version"`
	// Base is the version that the document builds on, 0 for none.
	Base uint64 `json:"base"`
	// Document is kept as it came.
	Document []byte `json:"document"`
}

// rebase returns p on the present revision, or what is wrong with its source where that does not follow the version in force.
func (r *Registry) rebase(p Publish) (Publish, *Published) {
	if p.Source == nil {
		return p, nil
	}
	var current uint64
	if r.source != nil {
		current = r.source.Version
	}
	if p.Source.Base != current {
		return p, &Published{Revision: r.revision, Kind: Conflict, Winner: r.revision}
	}
	if p.Source.Version <= current {
		refused := r.broken(Problems{{
			Name: "version", Found: strconv.FormatUint(p.Source.Version, 10), Expected: fmt.Sprintf("a version above %d", current),
		}})
		return p, &refused
	}
	p.Base = r.revision
	return p, nil
}

// Source returns the document of the current set, or nil where it was made from none.
func (r *Registry) Source() *Source { return r.source }
