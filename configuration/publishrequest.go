package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// A PublishRequest is a request to replace revision Base with a new set.
// If Changes is not nil, the new set is that of the base with these changes applied, and Set is ignored.
type PublishRequest struct {
	ID      string
	Base    uint64
	Author  string
	Comment string
	Set     Set
	Changes []Change
	// Source is the document that the set was converted from, or nil.
	Source         *Source
	originalDigest digest
}

// digest is the SHA-256 hash of an encoded publish request in hexadecimal digits.
type digest string

// publishBody is the encoded form of a PublishRequest.
type publishBody struct {
	ID      string   `json:"id"`
	Base    uint64   `json:"base"`
	Author  string   `json:"author,omitempty"`
	Comment string   `json:"comment,omitempty"`
	Whole   bool     `json:"whole,omitempty"`
	Digest  digest   `json:"digest,omitempty"`
	Changes []Change `json:"changes"`
	Source  *Source  `json:"source,omitempty"`
}

// MarshalBinary encodes the publish request for a log command.
func (p PublishRequest) MarshalBinary() ([]byte, error) {
	return json.Marshal(p.body())
}

// UnmarshalBinary decodes the output of MarshalBinary.
func (p *PublishRequest) UnmarshalBinary(data []byte) error {
	var body publishBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("decoding a publish request: %w", err)
	}
	*p = PublishRequest{ID: body.ID, Base: body.Base, Author: body.Author, Comment: body.Comment, Source: body.Source, originalDigest: body.Digest}
	if !body.Whole {
		p.Changes = append([]Change{}, body.Changes...)
		return nil
	}
	set, err := Set{}.Apply(body.Changes)
	p.Set = set
	return err
}

func (p PublishRequest) body() publishBody {
	body := publishBody{ID: p.ID, Base: p.Base, Author: p.Author, Comment: p.Comment, Digest: p.originalDigest, Changes: p.Changes, Source: p.Source}
	if p.Changes == nil {
		body.Whole = true
		body.Changes = p.Set.Changes(Set{})
	}
	return body
}

// digest returns the hash that detects reuse of a publication ID for other content. ReplaceSetByChanges preserves it.
func (p PublishRequest) digest() digest {
	if p.originalDigest != "" {
		return p.originalDigest
	}
	encoded, err := p.MarshalBinary()
	if err != nil {
		return ""
	}
	hash := sha256.Sum256(encoded)
	return digest(hex.EncodeToString(hash[:]))
}

// size returns the encoded size in bytes of all objects in the request.
func (p PublishRequest) size() int64 {
	if p.Changes == nil {
		return p.Set.Size()
	}
	return sizeOf(p.Changes)
}
