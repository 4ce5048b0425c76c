package key

import "crypto/sha256"

// An Index finds entries by secret; it never changes once it is built, so any number of goroutines may read it.
type Index struct {
	entries map[[sha256.Size]byte]Entry
}

// Hashed is an entry together with the hash of its secret.
type Hashed struct {
	Entry
	Hash string
}

// NewIndex returns an index of the keys, leaving out those whose hash can't be read.
func NewIndex(keys ...Hashed) *Index {
	entries := make(map[[sha256.Size]byte]Entry, len(keys))
	for _, k := range keys {
		if sum, ok := ParseHash(k.Hash); ok {
			entries[sum] = k.Entry
		}
	}
	return &Index{entries: entries}
}

// Find returns the entry of the key whose secret is given.
func (x *Index) Find(secret string) (Entry, bool) {
	entry, ok := x.entries[sha256.Sum256([]byte(secret))]
	return entry, ok
}
