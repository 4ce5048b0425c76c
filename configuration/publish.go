package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// A Publish asks for a set to come into force on the revision that it builds on.
// Where Changes is not nil it stands for the set of the base with these changes, and Set is not used.
type Publish struct {
	ID      string
	Base    uint64
	Author  string
	Comment string
	Set     Set
	Changes []Change
	// Source is the document that the set was made from, or nil.
	Source *Source
	sum    digest
}

// digest is the hash of a publish's encoded form, in hexadecimal digits.
type digest string

// publishBody is the encoded form of a Publish.
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

// MarshalBinary encodes the publish, for a log command.
func (p Publish) MarshalBinary() ([]byte, error) {
	return json.Marshal(p.body())
}

// UnmarshalBinary reads what MarshalBinary wrote.
func (p *Publish) UnmarshalBinary(data []byte) error {
	var body publishBody
	if err := json.Unmarshal(data, &body); err != nil {
		return fmt.Errorf("reading a publish: %w", err)
	}
	*p = Publish{ID: body.ID, Base: body.Base, Author: body.Author, Comment: body.Comment, Source: body.Source, sum: body.Digest}
	if !body.Whole {
		p.Changes = append([]Change{}, body.Changes...)
		return nil
	}
	set, err := Set{}.Apply(body.Changes)
	p.Set = set
	return err
}

func (p Publish) body() publishBody {
	body := publishBody{ID: p.ID, Base: p.Base, Author: p.Author, Comment: p.Comment, Digest: p.sum, Changes: p.Changes, Source: p.Source}
	if p.Changes == nil {
		body.Whole = true
		body.Changes = p.Set.Changes(Set{})
	}
	return body
}

// digest tells apart publishes of different content under one id; Shorten keeps it.
func (p Publish) digest() digest {
	if p.sum != "" {
		return p.sum
	}
	encoded, err := p.MarshalBinary()
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(encoded)
	return digest(hex.EncodeToString(sum[:]))
}

// size returns the bytes of all objects that the publish carries.
func (p Publish) size() int64 {
	if p.Changes == nil {
		return p.Set.Size()
	}
	return sizeOf(p.Changes)
}
