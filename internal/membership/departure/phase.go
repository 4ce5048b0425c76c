package departure

// A Phase is how far a process is on its way out. It only advances.
type Phase int

// The phases of a process.
const (
	// None is the phase of a process that has not said that it leaves.
	None Phase = iota
	// Draining is the phase of a process that finishes its work and takes no more.
	Draining
	// Left is the phase of a process that has withdrawn its announcement, or that another one has replaced.
	Left
)
