package configuration

// DefaultMaxSize is the default limit in bytes for the encoded objects of a set, which must fit into one log
// command.
const DefaultMaxSize = 3 << 20

const (
	defaultKeptRevisions = 4096
	defaultKeptSize      = 63 << 20
	defaultKeptAnswers   = 16384
)

// A RegistryOption sets a limit of a Registry. All replicas of a registry must use the same limits.
type RegistryOption func(*Registry)

// WithMaxSize sets the maximum size of a set's encoded objects in bytes.
func WithMaxSize(bytes int64) RegistryOption {
	return func(r *Registry) { r.maxSize = bytes }
}

// WithKeptRevisions sets the number of revisions kept in the history. A kept revision can be shown, rolled back and
// used as the start of a delta.
func WithKeptRevisions(revisions int) RegistryOption {
	return func(r *Registry) { r.maxRevisions = revisions }
}

// WithKeptSize sets the maximum size in bytes of the changes of all kept revisions. The oldest revisions are dropped
// first.
func WithKeptSize(bytes int64) RegistryOption {
	return func(r *Registry) { r.maxHistorySize = bytes }
}

// WithKeptAnswers sets the number of publication IDs, the latest ones, whose responses are kept.
func WithKeptAnswers(answers int) RegistryOption {
	return func(r *Registry) { r.maxAnswers = answers }
}
