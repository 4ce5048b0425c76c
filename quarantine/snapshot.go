package quarantine

import (
	"encoding/json"
	"time"
)

const snapshotFormat = 1

type snapshot struct {
	Format  int             `json:"format"`
	Version uint64          `json:"version"`
	Entries []snapshotEntry `json:"entries"`
}

type snapshotEntry struct {
	Fingerprint string    `json:"fingerprint"`
	State       State     `json:"state"`
	Until       time.Time `json:"until"`
	Crashes     []Crash   `json:"crashes"`
	Trial       *Trial    `json:"trial,omitempty"`
	Changed     uint64    `json:"changed"`
}

// MarshalBinary encodes the register for a snapshot.
func (r *Register) MarshalBinary() ([]byte, error) {
	s := snapshot{Format: snapshotFormat, Version: r.version}
	for _, e := range r.sorted() {
		s.Entries = append(s.Entries, snapshotEntry{
			Fingerprint: e.Fingerprint.String(), State: e.State, Until: e.Until,
			Crashes: e.Crashes, Trial: e.Trial, Changed: r.changed[e.Fingerprint],
		})
	}
	return json.Marshal(s)
}

// UnmarshalBinary restores what MarshalBinary encoded; the error is of type ErrMalformed and leaves the
// register as it was.
func (r *Register) UnmarshalBinary(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return ErrMalformed.Wrap(err, "decoding a register")
	}
	if s.Format != snapshotFormat {
		return ErrMalformed.New("register of format %d, want %d", s.Format, snapshotFormat)
	}
	entries := make(map[Fingerprint]*Entry, len(s.Entries))
	changed := make(map[Fingerprint]uint64, len(s.Entries))
	for _, stored := range s.Entries {
		fp, err := Parse(stored.Fingerprint)
		if err != nil {
			return err
		}
		entries[fp] = &Entry{
			Fingerprint: fp, State: stored.State, Until: stored.Until,
			Crashes: stored.Crashes, Trial: stored.Trial,
		}
		changed[fp] = stored.Changed
	}
	r.entries, r.changed = entries, changed
	// Cleared fingerprints are not in a snapshot, so every older list gets the whole.
	r.version, r.wholeBelow = s.Version, s.Version
	return nil
}
