package measure

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/standin"
)

const (
	distortedSlotsFactor = 4.0
	distortedReportLag   = 10 * time.Second
)

// A Target is the stand-in of one backend server with its service and failure domain.
type Target struct {
	Service       string
	FailureDomain string
	Server        *standin.Server
}

// A Fleet holds the stand-ins of a deployment.
type Fleet struct {
	targets []Target
	group   errgroup.Group
	cancel  context.CancelFunc
}

// ServerOptionsFunc returns additional options for the stand-in with the given index in the fleet.
type ServerOptionsFunc func(index int, service deployment.Service) []standin.ServerOption

// NewFleet creates the stand-ins of d and opens their listeners.
func NewFleet(d deployment.Deployment, seed uint64, downtime time.Duration, extraOptions ServerOptionsFunc) (*Fleet, error) {
	fleet := &Fleet{}
	for _, service := range d.Services {
		for i, slots := range service.Slots {
			opts := []standin.ServerOption{
				standin.WithName(targetName(service.Name, i)),
				standin.WithSlots(slots),
				standin.WithMaxInFlight(service.Connections[i]),
				standin.WithWork(service.Work, standin.Lognormal),
				standin.WithSeed(seed + uint64(len(fleet.targets))),
				standin.WithRestart(downtime),
			}
			opts = append(opts, extraOptions(len(fleet.targets), service)...)
			server := standin.New(service.Name, opts...)
			if err := server.Listen(); err != nil {
				return nil, err
			}
			fleet.targets = append(fleet.targets, Target{Service: service.Name, FailureDomain: d.FailureDomain(i), Server: server})
		}
	}
	return fleet, nil
}

// targetName returns the name of the target of service with the given index.
func targetName(service string, index int) string {
	return fmt.Sprintf("%s-%d", service, index+1)
}

// Start runs the stand-ins until Stop.
func (f *Fleet) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	for _, target := range f.targets {
		f.group.Go(func() error { return target.Server.Run(ctx) })
	}
}

// Stop stops the stand-ins and waits until they have drained.
func (f *Fleet) Stop() error {
	f.cancel()
	return f.group.Wait()
}

// Targets returns all stand-ins.
func (f *Fleet) Targets() []Target {
	return f.targets
}

// SlowDown multiplies the work time of all targets of service by factor.
func (f *Fleet) SlowDown(service string, factor float64) {
	for _, target := range f.targets {
		if target.Service == service {
			target.Server.Slow(factor)
		}
	}
}

// DistortReports makes one target in three report four times its slots and one in three a quarter of them, each 10 s
// late.
func (f *Fleet) DistortReports() {
	factors := []float64{1, distortedSlotsFactor, 1 / distortedSlotsFactor}
	for i, target := range f.targets {
		if factor := factors[i%len(factors)]; factor != 1 {
			target.Server.Distort(standin.Distortion{Lag: distortedReportLag, SlotsFactor: factor, Health: standin.Honest})
		}
	}
}

// EndDistortion makes all targets report correctly and without delay again.
func (f *Fleet) EndDistortion() {
	for _, target := range f.targets {
		target.Server.Distort(standin.Distortion{SlotsFactor: 1, Health: standin.Honest})
	}
}

// Crashes returns the number of crashes of all backend servers.
func (f *Fleet) Crashes() int {
	crashes := 0
	for _, target := range f.targets {
		crashes += int(target.Server.Stats().Crashes)
	}
	return crashes
}

// CrashFirstTarget crashes the first target of service.
func (f *Fleet) CrashFirstTarget(service string) {
	for _, target := range f.targets {
		if target.Service == service {
			target.Server.Crash()
			return
		}
	}
}

// CrashFailureDomain crashes all targets of a failure domain.
func (f *Fleet) CrashFailureDomain(failureDomain string) {
	for _, target := range f.targets {
		if target.FailureDomain == failureDomain {
			target.Server.Crash()
		}
	}
}

// Repeated returns the number of non-repeatable requests that ran more than once at one service.
func (f *Fleet) Repeated() int {
	type serviceKey struct{ service, key string }
	counts := make(map[serviceKey]int)
	for _, target := range f.targets {
		target.Server.EachRun(func(key string, count int) { counts[serviceKey{target.Service, key}] += count })
	}
	repeated := 0
	for _, count := range counts {
		if count > 1 {
			repeated++
		}
	}
	return repeated
}
