package timeline

import (
	"cmp"
	"time"
)

// A Stamp is a timestamp of a hybrid logical clock.
type Stamp struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical"`
}

// Compare returns -1, 0 or +1 if s is before, equal to or after other. It compares the wall times, then the logical
// times.
func (s Stamp) Compare(other Stamp) int {
	if wallOrder := s.Wall.Compare(other.Wall); wallOrder != 0 {
		return wallOrder
	}
	return cmp.Compare(s.Logical, other.Logical)
}
