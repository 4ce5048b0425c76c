package departure

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

const snapshotFormat = 1

type snapshot struct {
	Format  int             `json:"format"`
	Entries []snapshotEntry `json:"entries"`
}

type snapshotEntry struct {
	Target    string    `json:"target"`
	StartedAt time.Time `json:"started-at"`
	Phase     Phase     `json:"phase"`
	Until     time.Time `json:"until"`
}

// MarshalBinary encodes the register for a snapshot. Equal registers have equal encodings.
func (r *Register) MarshalBinary() ([]byte, error) {
	s := snapshot{Format: snapshotFormat}
	for _, target := range slices.Sorted(maps.Keys(r.entries)) {
		known := r.entries[target]
		s.Entries = append(s.Entries, snapshotEntry{Target: target, StartedAt: known.startedAt.UTC(), Phase: known.phase, Until: known.until.UTC()})
	}
	return json.Marshal(s)
}

// UnmarshalBinary restores a register encoded by MarshalBinary, or an empty one from no data, as in snapshots of versions
// without departures. An error leaves the register unchanged.
func (r *Register) UnmarshalBinary(data []byte) error {
	entries := make(map[string]entry)
	if len(data) == 0 {
		r.entries = entries
		return nil
	}
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errorx.Decorate(err, "decoding departures")
	}
	if s.Format != snapshotFormat {
		return errorx.IllegalFormat.New("departures have format %d, want %d", s.Format, snapshotFormat)
	}
	for _, stored := range s.Entries {
		entries[stored.Target] = entry{startedAt: stored.StartedAt, phase: stored.Phase, until: stored.Until}
	}
	r.entries = entries
	return nil
}
