package configuration

// DefaultMaxSize is the bytes that a set's objects may take in a log command.
const DefaultMaxSize = 3 << 20

const (
	defaultKeptRevisions = 4096
	defaultKeptSize      = 63 << 20
	defaultKeptAnswers   = 16384
)

// A RegistryOption changes a bound of a Registry; all replicas of one registry need the same bounds.
type RegistryOption func(*Registry)

// WithMaxSize sets the bytes that a set's encoded objects may take.
func WithMaxSize(bytes int64) RegistryOption {
	return func(r *Registry) { r.maxSize = bytes }
}

// WithKeptRevisions sets how many revisions before the current one can be shown, rolled back to and caught up from.
func WithKeptRevisions(revisions int) RegistryOption {
	return func(r *Registry) { r.keptRevisions = revisions }
}

// WithKeptSize sets the bytes that the changes of all kept revisions may take; the oldest are dropped first.
func WithKeptSize(bytes int64) RegistryOption {
	return func(r *Registry) { r.keptSize = bytes }
}

// WithKeptAnswers sets how many of the last publication ids keep their answer.
func WithKeptAnswers(answers int) RegistryOption {
	return func(r *Registry) { r.keptAnswers = answers }
}
