package locality

import "time"

// A Sample describes the targets of a service in the caller's failure domain (near) and in the others (far).
type Sample struct {
	// Near and Far are the mean expected times to completion, or 0 if unknown.
	Near, Far time.Duration
	// Idle is the mean time to completion of an idle near target.
	Idle time.Duration
	// NearRefusing and FarRefusing are the shares of the targets that refuse calls, from 0 to 1.
	NearRefusing, FarRefusing float64
	// Objective is the latency objective of the service, or 0 if unknown.
	Objective time.Duration
	// Price is the factor by which a far call must be faster than a near one, at least 1.
	Price float64
}

// excess returns how far the near targets lack room, from -1 to 1. They have room while a call is expected to take no
// more than its part of the objective, or no longer than a far one at its price.
func (s Sample) excess() float64 {
	allowed := max(float64(s.Objective)*roomShare, float64(s.Far)*max(s.Price, 1))
	excess := -1.0
	if allowed > 0 {
		excess = float64(s.Near)/allowed - 1
	}
	if refusing := s.NearRefusing - s.FarRefusing - refusingSlack; refusing > 0 {
		excess = max(excess, refusing)
	}
	return min(excess, 1)
}
