package configuration

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
)

const (
	// minPackedSize is the size in bytes from which on the changes of a revision are compressed. Smaller ones gain little.
	minPackedSize = 4 << 10
	// unpackedRevisions is the number of newest revisions that are not compressed. Their changes are sent to daemons.
	unpackedRevisions = 2
)

// revision is one revision of the history: its entry, the changes from the previous revision (Forward) and the changes
// that undo them (Backward).
type revision struct {
	Entry    HistoryEntry `json:"entry"`
	Forward  []Change     `json:"forward"`
	Backward []Change     `json:"backward"`
	// Packed is the compressed form of the changes and replaces them, and PackedSize is their size before.
	Packed     []byte `json:"packed,omitempty"`
	PackedSize int64  `json:"packed-size,omitempty"`
}

// revisionChanges is the encoded form of the changes of a packed revision.
type revisionChanges struct {
	Forward  []Change `json:"forward"`
	Backward []Change `json:"backward"`
}

// size returns the encoded size in bytes of the changes in both directions.
func (r revision) size() int64 {
	if r.Packed != nil {
		return r.PackedSize
	}
	return sizeOf(r.Forward) + sizeOf(r.Backward)
}

// pack returns the revision with its changes compressed if they are large.
func (r revision) pack() revision {
	if r.Packed != nil || r.size() < minPackedSize {
		return r
	}
	var packed bytes.Buffer
	// NewWriter fails only for an unknown level, and writes to a buffer never do.
	compressor, _ := flate.NewWriter(&packed, flate.BestSpeed)
	if err := json.NewEncoder(compressor).Encode(revisionChanges{r.Forward, r.Backward}); err != nil {
		return r
	}
	_ = compressor.Close()
	return revision{Entry: r.Entry, Packed: packed.Bytes(), PackedSize: r.size()}
}

// unpack returns the revision with its changes.
func (r revision) unpack() (revision, error) {
	if r.Packed == nil {
		return r, nil
	}
	var changes revisionChanges
	if err := json.NewDecoder(flate.NewReader(bytes.NewReader(r.Packed))).Decode(&changes); err != nil {
		return r, fmt.Errorf("decompressing revision %d: %w", r.Entry.Revision, err)
	}
	return revision{Entry: r.Entry, Forward: changes.Forward, Backward: changes.Backward}, nil
}

// packAll returns the revisions with large changes compressed, and whether there are any.
func packAll(revisions []revision) (packed []revision, anyPacked bool) {
	packed = make([]revision, len(revisions))
	for i, r := range revisions {
		packed[i] = r.pack()
		anyPacked = anyPacked || packed[i].Packed != nil
	}
	return packed, anyPacked
}
