package measure

import (
	"context"
	"net/netip"

	"sapphirespread.example/internal/baseline"
	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/standin"
)

const fixedRetries = 3

// A baselineSystem runs the stand-ins of a deployment, which call each other directly, without daemons.
type baselineSystem struct {
	directory *baseline.Directory
	caller    *baseline.Caller
	fleet     *Fleet
}

// startBaseline starts the system None, whose calls are made once, or Fixed, which adds a fixed number of retries and a
// fixed concurrency limit for each backend server.
func startBaseline(ctx context.Context, name SystemName, setup Setup) (*baselineSystem, error) {
	s := &baselineSystem{directory: &baseline.Directory{}}
	var opts []baseline.CallerOption
	if name == Fixed {
		opts = append(opts, baseline.WithRetries(fixedRetries))
	}
	s.caller = baseline.NewCaller(s.directory, setup.Seed, opts...)
	startedServers := make(map[string]int)
	fleet, err := NewFleet(setup.Deployment, setup.Seed, setup.Downtime, func(_ int, service deployment.Service) []standin.ServerOption {
		extraOptions := []standin.ServerOption{standin.WithCalls(s.caller, service.Calls...)}
		if name == Fixed {
			extraOptions = append(extraOptions, standin.WithMiddleware(baseline.LimitConcurrency(service.Slots[startedServers[service.Name]])))
		}
		startedServers[service.Name]++
		return extraOptions
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

// Entries returns the addresses of the stand-ins of the service.
func (s *baselineSystem) Entries(service string) []netip.AddrPort {
	return s.directory.Targets(service)
}

// Fleet returns the stand-ins.
func (s *baselineSystem) Fleet() *Fleet {
	return s.fleet
}

// CrashFailureDomain crashes all stand-ins of the failure domain.
func (s *baselineSystem) CrashFailureDomain(failureDomain string) {
	s.fleet.CrashFailureDomain(failureDomain)
}

// RestoreFailureDomain does nothing, since the stand-ins restart on their own after their downtime.
func (s *baselineSystem) RestoreFailureDomain(string) {}

// Stop stops the stand-ins.
func (s *baselineSystem) Stop() error {
	s.caller.Close()
	return s.fleet.Stop()
}
