package key

import "crypto/sha256"

// An Index looks up entries by secret. It is immutable and safe for concurrent use.
type Index struct {
	entries map[[sha256.Size]byte]Entry
}

// HashedEntry is an Entry with the hash of its secret.
type HashedEntry struct {
	Entry
	Hash string
}

// NewIndex returns an Index of the given keys. Keys with an invalid hash are left out.
func NewIndex(keys ...HashedEntry) *Index {
	entries := make(map[[sha256.Size]byte]Entry, len(keys))
	for _, k := range keys {
		if sum, ok := ParseHash(k.Hash); ok {
			entries[sum] = k.Entry
		}
	}
	return &Index{entries: entries}
}

// Lookup returns the entry of the key with the given secret, and whether there is one.
func (i *Index) Lookup(secret string) (Entry, bool) {
	entry, ok := i.entries[sha256.Sum256([]byte(secret))]
	return entry, ok
}
