package target

import "sapphirespread.example/internal/routing/locality"

// A SpillEvent says that calls to a service begin or end to leave the failure domain, and why.
type SpillEvent struct {
	Service string
	Change  locality.Change
	Sample  locality.Sample
}

// WithSpillEvents calls onSpill when the spill of a service begins or ends.
func WithSpillEvents(onSpill func(SpillEvent)) ChooserOption {
	return func(c *Chooser) { c.onSpill = onSpill }
}
