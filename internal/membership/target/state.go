package target

// A State is the lifecycle state of one incarnation of a target. It only advances.
type State string

// The states of a target.
const (
	Warming  State = "warming"
	Ready    State = "ready"
	Draining State = "draining"
)

// MaxSlots is the largest number of slots that a target may announce. It is far above that of any backend server, and keeps
// sums over all targets in range.
const MaxSlots = 1 << 20

// Valid reports whether s is one of the states.
func (s State) Valid() bool {
	return s == Warming || s == Ready || s == Draining
}

func (s State) rank() int {
	switch s {
	case Draining:
		return 2
	case Ready:
		return 1
	default:
		return 0
	}
}

func laterState(a, b State) State {
	if a.rank() > b.rank() {
		return a
	}
	return b
}
