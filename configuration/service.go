package configuration

const (
	defaultRetryBudget             = 0.1
	defaultMinimumRetriesPerSecond = 1.0
)

// A Service is a group of backend servers that answer the same routes.
// RetryBudget is the share of successful calls that may be added as retries.
type Service struct {
	Name                    string  `json:"name" toml:"-"`
	RetryBudget             float64 `json:"retry-budget" toml:"retry-budget"`
	MinimumRetriesPerSecond float64 `json:"minimum-retries-per-second" toml:"minimum-retries-per-second"`
}

// ObjectKind returns KindService.
func (Service) ObjectKind() Kind { return KindService }

// ObjectName returns the service's name.
func (s Service) ObjectName() string { return s.Name }

// SetDefaults sets the retry budget that a service has where its file names none.
func (s *Service) SetDefaults() {
	s.RetryBudget = defaultRetryBudget
	s.MinimumRetriesPerSecond = defaultMinimumRetriesPerSecond
}
