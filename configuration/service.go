package configuration

import (
	"encoding/json"
	"time"
)

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
	// ColdStart is how long a backend server is cold after its start, or zero if that is not known.
	ColdStart time.Duration `json:"cold-start,omitempty" toml:"cold-start,omitempty"`
	// ColdRate is how many requests per second a cold backend server may be given, or zero for no bound.
	ColdRate float64 `json:"cold-rate,omitempty" toml:"cold-rate,omitempty"`
	// LearnPace paces a backend server that starts, turns cold or fails by its answers, in place of the slow start of a fixed
	// time.
	LearnPace bool `json:"learn-pace,omitempty" toml:"learn-pace,omitempty"`
	// PlanEntries makes all daemons refuse requests before their first call if a service that they need further down has no
	// room for them.
	PlanEntries bool `json:"plan-entries,omitempty" toml:"plan-entries,omitempty"`
}

// plainService is a service without methods, so that encoding/json does not call MarshalJSON recursively.
type plainService Service

// serviceBody is the encoded form of a service, with its duration as text.
type serviceBody struct {
	plainService
	ColdStart duration `json:"cold-start,omitempty" toml:"cold-start,omitempty"`
}

func (s Service) body() serviceBody {
	return serviceBody{plainService(s), duration(s.ColdStart)}
}

// MarshalJSON encodes the service with its duration as text such as "1.5s".
func (s Service) MarshalJSON() ([]byte, error) {
	return json.Marshal(s.body())
}

// UnmarshalJSON decodes the output of MarshalJSON and fails on unknown names.
func (s *Service) UnmarshalJSON(data []byte) error {
	var body serviceBody
	if err := unmarshalStrict(data, &body); err != nil {
		return err
	}
	*s = Service(body.plainService)
	s.ColdStart = time.Duration(body.ColdStart)
	return nil
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
