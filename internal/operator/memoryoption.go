package operator

// A MemoryOption sets a part of the initial state of a Memory.
type MemoryOption func(*Memory)

// WithTargets sets the announced targets.
func WithTargets(targets ...Target) MemoryOption {
	return func(m *Memory) { m.targets = targets }
}

// WithQuarantine sets the quarantined requests.
func WithQuarantine(entries ...QuarantineEntry) MemoryOption {
	return func(m *Memory) { m.quarantine = entries }
}

// WithMembers sets the members.
func WithMembers(members ...Member) MemoryOption {
	return func(m *Memory) { m.members = members }
}

// WithStatus sets the status, except for its revision.
func WithStatus(s Status) MemoryOption {
	return func(m *Memory) { m.status = s }
}

// WithEvents sets the events, one JSON object per line.
func WithEvents(lines []byte) MemoryOption {
	return func(m *Memory) { m.events = lines }
}
