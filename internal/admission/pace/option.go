package pace

// An Option configures a Pacer.
type Option func(*Pacer)

// WithLearning makes the Pacer pace each server that starts, turns cold or fails, also without a configured cold rate.
func WithLearning(learn bool) Option {
	return func(p *Pacer) { p.learn = learn }
}

// WithEvents calls onEvent for each change of the pace, within the call that caused it.
func WithEvents(onEvent func(Event)) Option {
	return func(p *Pacer) { p.onEvent = onEvent }
}
