package timeline

import (
	"cmp"
	"time"
)

// A Stamp is one reading of a hybrid logical clock.
type Stamp struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical"`
}

// Compare orders stamps by wall time, then by logical time.
func (s Stamp) Compare(other Stamp) int {
	if byWall := s.Wall.Compare(other.Wall); byWall != 0 {
		return byWall
	}
	return cmp.Compare(s.Logical, other.Logical)
}
