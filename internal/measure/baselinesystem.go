package measure

import (
	"context"
	"net/netip"

	"sapphirespread.example/internal/baseline"
	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/standin"
)

const naiveRetries = 3

// baselineSystem calls services directly.
type baselineSystem struct {
	directory *baseline.Directory
	caller    *baseline.Caller
	fleet     *Fleet
}

func startBaseline(ctx context.Context, name SystemName, setup Setup) (*baselineSystem, error) {
	s := &baselineSystem{directory: &baseline.Directory{}}
	var opts []baseline.CallerOption
	if name == Fixed {
		opts = append(opts, baseline.WithRetries(naiveRetries))
	}
	s.caller = baseline.NewCaller(s.directory, setup.Seed, opts...)
	seen := make(map[string]int)
	fleet, err := NewFleet(setup.Deployment, setup.Seed, setup.Downtime, func(_ int, service deployment.Service) []standin.ServerOption {
		more := []standin.ServerOption{standin.WithCalls(s.caller, service.Calls...)}
		if name == Fixed {
			more = append(more, standin.WithGate(baseline.LimitConcurrency(service.Slots[seen[service.Name]])))
		}
		seen[service.Name]++
		return more
	})
	if err != nil {
		return nil, err
	}
	for _, target := range fleet.Targets() {
		s.directory.Add(target.Service, target.Server.Address())
	}
	s.fleet = fleet
	fleet.Start(ctx)
	return s, nil
}

// Entries returns the targets of the service.
func (s *baselineSystem) Entries(service string) []netip.AddrPort {
	return s.directory.Targets(service)
}

// Fleet returns the stand-ins.
func (s *baselineSystem) Fleet() *Fleet {
	return s.fleet
}

// Lose crashes all targets of the failure domain.
func (s *baselineSystem) Lose(failureDomain string) {
	s.fleet.Lose(failureDomain)
}

// Restore does nothing: the targets come back by themselves after their downtime.
func (s *baselineSystem) Restore(string) {}

// Stop ends the stand-ins.
func (s *baselineSystem) Stop() error {
	s.caller.Close()
	return s.fleet.Stop()
}
