package evacuation

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

const snapshotFormat = 1

type snapshot struct {
	Format    int             `json:"format"`
	Version   uint64          `json:"version"`
	ChangedAt time.Time       `json:"changed-at"`
	Entries   []snapshotEntry `json:"entries"`
}

type snapshotEntry struct {
	Domain string    `json:"domain"`
	Since  time.Time `json:"since"`
}

// MarshalBinary encodes the register for a snapshot. Equal registers have equal encodings.
func (r *Register) MarshalBinary() ([]byte, error) {
	s := snapshot{Format: snapshotFormat, Version: r.version, ChangedAt: r.changedAt.UTC()}
	for _, domain := range slices.Sorted(maps.Keys(r.since)) {
		s.Entries = append(s.Entries, snapshotEntry{Domain: domain, Since: r.since[domain].UTC()})
	}
	return json.Marshal(s)
}

// UnmarshalBinary restores a register encoded by MarshalBinary, or an empty one from no data, as in snapshots of versions
// without orders. An error leaves the register unchanged.
func (r *Register) UnmarshalBinary(data []byte) error {
	if len(data) == 0 {
		*r = *NewRegister()
		return nil
	}
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return errorx.Decorate(err, "decoding failure domains out of use")
	}
	if s.Format != snapshotFormat {
		return errorx.IllegalFormat.New("failure domains out of use have format %d, want %d", s.Format, snapshotFormat)
	}
	since := make(map[string]time.Time, len(s.Entries))
	for _, stored := range s.Entries {
		since[stored.Domain] = stored.Since
	}
	*r = Register{version: s.Version, changedAt: s.ChangedAt, since: since}
	return nil
}
