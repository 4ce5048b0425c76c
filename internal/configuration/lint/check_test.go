package lint_test

import (
	"slices"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/configuration/lint"
)

// soundSet returns a set without a warning.
func soundSet() configuration.Set {
	return configuration.Set{
		Workspaces: []configuration.Workspace{{Name: "club", Limit: "usual", Share: 1}},
		Keys:       []configuration.Key{{Name: "club-1", Workspace: "club", Hash: "sha256:0"}},
		Services:   []configuration.Service{{Name: "courts", RetryBudget: 0.1}, {Name: "wind", RetryBudget: 0.1}},
		Priorities: []configuration.Priority{{Name: "usual", Level: 1}},
		Limits:     []configuration.Limit{{Name: "usual", Rate: 100, Burst: 1}},
		Routes: []configuration.Route{{
			Name: "courts", Path: "/courts/*", Priority: "usual", Deadline: time.Second, Objective: time.Second, ExtraAttempts: 1,
			Split: []configuration.WeightedService{{Service: "courts", Weight: 1}, {Service: "wind", Weight: 2}},
		}},
	}
}

// TestEntriesWithoutEffectAreNamed changes a sound set in one place each, and checks which warning follows.
func TestEntriesWithoutEffectAreNamed(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*configuration.Set)
		want   []string
	}{
		"a sound set":             {func(*configuration.Set) {}, nil},
		"no key":                  {func(s *configuration.Set) { s.Keys = nil }, []string{"routes.courts.workspaces", "workspaces.club"}},
		"a key of others":         {func(s *configuration.Set) { s.Routes[0].Workspaces = []string{"team"} }, []string{"routes.courts.workspaces"}},
		"an open route":           {func(s *configuration.Set) { s.Routes[0].Open, s.Keys = true, nil }, []string{"workspaces.club"}},
		"an escaped path":         {func(s *configuration.Set) { s.Routes[0].Path = "/a%20b" }, []string{"routes.courts.path"}},
		"a weight of 0":           {func(s *configuration.Set) { s.Routes[0].Split[0].Weight = 0 }, []string{"routes.courts.split.weight"}},
		"an objective too late":   {func(s *configuration.Set) { s.Routes[0].Objective++ }, []string{"routes.courts.objective"}},
		"attempts without budget": {func(s *configuration.Set) { s.Services[0].RetryBudget, s.Services[1].RetryBudget = 0, 0 }, []string{"routes.courts.extra-attempts"}},
		"a minimum of retries": {func(s *configuration.Set) {
			s.Services[0].RetryBudget, s.Services[1].RetryBudget, s.Services[1].MinimumRetriesPerSecond = 0, 0, 1
		}, nil},
		"a burst too small":  {func(s *configuration.Set) { s.Limits[0].Rate = 200 }, []string{"limits.usual.burst"}},
		"an unused limit":    {func(s *configuration.Set) { s.Limits = append(s.Limits, configuration.Limit{Name: "big", Burst: 1}) }, []string{"limits.big"}},
		"an unused priority": {func(s *configuration.Set) { s.Priorities = append(s.Priorities, configuration.Priority{Name: "low"}) }, []string{"priorities.low"}},
		"an unused service":  {func(s *configuration.Set) { s.Services = append(s.Services, configuration.Service{Name: "gone"}) }, []string{"services.gone"}},
	} {
		set := soundSet()
		c.change(&set)
		var got []string
		for _, warning := range lint.Check(set) {
			got = append(got, warning.Name)
			if warning.Found == "" || warning.Expected == "" {
				t.Errorf("%s: %+v does not say what was found and expected", name, warning)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
