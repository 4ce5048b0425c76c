package locality

import "time"

// A Sample describes the targets of a service in the caller's failure domain (near) and in the others (far).
type Sample struct {
	// Near and Far are the mean expected times to completion, or 0 if unknown.
	Near, Far time.Duration
	// Idle is the mean time to completion at a near target without a wait.
	Idle time.Duration
	// NearRefusing and FarRefusing are the shares of the targets that refuse calls, from 0 to 1.
	NearRefusing, FarRefusing float64
	// Objective is the latency objective of the service, or 0 if unknown.
	Objective time.Duration
	// Price is the factor by which a far call must be faster than a near one, at least 1.
	Price float64
}

// allowed returns the expected time to completion up to which near targets have room: a part of the objective, or the
// time of a far call at its price. Slow targets have room until their slots are taken, since a call that leaves them makes
// the others no faster.
func (s Sample) allowed() float64 {
	objective := float64(s.Objective)
	slow := min(float64(s.Idle)*takenSlots, objective*slowRoomShare)
	return max(objective*roomShare, slow, float64(s.Far)*max(s.Price, 1))
}

// excess returns how far the near targets lack room, from -1 to 1.
func (s Sample) excess() float64 {
	allowed := s.allowed()
	excess := -1.0
	if allowed > 0 {
		excess = float64(s.Near)/allowed - 1
	}
	if refusing := s.NearRefusing - s.FarRefusing - refusingSlack; refusing > 0 {
		excess = max(excess, refusing)
	}
	return min(excess, 1)
}
