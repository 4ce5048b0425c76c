package configuration

const (
	defaultRetryBudget             = 0.1
	defaultMinimumRetriesPerSecond = 1.0
)

// A Service is a group of backend servers that handle the same routes.
// RetryBudget is the allowed ratio of retries to successful calls. MinimumRetriesPerSecond is a retry rate that is
// allowed in addition.
type Service struct {
	Name                    string  `json:"name" toml:"-"`
	RetryBudget             float64 `json:"retry-budget" toml:"retry-budget"`
	MinimumRetriesPerSecond float64 `json:"minimum-retries-per-second" toml:"minimum-retries-per-second"`
}

// ObjectKind returns KindService.
func (Service) ObjectKind() Kind { return KindService }

// ObjectName returns the service's name.
func (s Service) ObjectName() string { return s.Name }

// SetDefaults sets the default retry budget and the default minimum of retries per second.
func (s *Service) SetDefaults() {
	s.RetryBudget = defaultRetryBudget
	s.MinimumRetriesPerSecond = defaultMinimumRetriesPerSecond
}
