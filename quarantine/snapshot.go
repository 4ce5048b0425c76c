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
			Crashes: e.Crashes, Trial: e.Trial, Changed: r.changeVersions[e.Fingerprint],
		})
	}
	return json.Marshal(s)
}

// UnmarshalBinary restores a register encoded by MarshalBinary. An error is of type ErrMalformed and leaves the
// register unchanged.
func (r *Register) UnmarshalBinary(data []byte) error {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return ErrMalformed.Wrap(err, "decoding register snapshot")
	}
	if s.Format != snapshotFormat {
		return ErrMalformed.New("register snapshot has format %d, want %d", s.Format, snapshotFormat)
	}
	entries := make(map[Fingerprint]*Entry, len(s.Entries))
	changeVersions := make(map[Fingerprint]uint64, len(s.Entries))
	for _, stored := range s.Entries {
		fp, err := ParseFingerprint(stored.Fingerprint)
		if err != nil {
			return err
		}
		entries[fp] = &Entry{
			Fingerprint: fp, State: stored.State, Until: stored.Until,
			Crashes: stored.Crashes, Trial: stored.Trial,
		}
		changeVersions[fp] = stored.Changed
	}
	r.entries, r.changeVersions = entries, changeVersions
	// A snapshot doesn't contain cleared fingerprints, so every list with an older version needs the full register.
	r.version, r.minimumDeltaVersion = s.Version, s.Version
	return nil
}
