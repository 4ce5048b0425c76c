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
	reportedFactor = 4.0
	reportLag      = 10 * time.Second
)

// A Target is one backend server stand-in with its place.
type Target struct {
	Service       string
	FailureDomain string
	Server        *standin.Server
}

// A Fleet is the stand-ins of a deployment.
type Fleet struct {
	targets []Target
	group   errgroup.Group
	cancel  context.CancelFunc
}

// FleetOptions returns the options of one stand-in, by its number and its service, besides those of the deployment.
type FleetOptions func(number int, service deployment.Service) []standin.ServerOption

// NewFleet returns the stand-ins of d, each listening.
func NewFleet(d deployment.Deployment, seed uint64, downtime time.Duration, more FleetOptions) (*Fleet, error) {
	fleet := &Fleet{}
	for _, service := range d.Services {
		for i, slots := range service.Slots {
			opts := []standin.ServerOption{
				standin.WithName(targetName(service.Name, i)),
				standin.WithSlots(slots),
				standin.WithConnections(service.Connections[i]),
				standin.WithWork(service.Work, standin.Lognormal),
				standin.WithSeed(seed + uint64(len(fleet.targets))),
				standin.WithRestart(downtime),
			}
			opts = append(opts, more(len(fleet.targets), service)...)
			server := standin.New(service.Name, opts...)
			if err := server.Listen(); err != nil {
				return nil, err
			}
			fleet.targets = append(fleet.targets, Target{Service: service.Name, FailureDomain: d.FailureDomain(i), Server: server})
		}
	}
	return fleet, nil
}

// targetName returns the name of a target of service by its number.
func targetName(service string, number int) string {
	return fmt.Sprintf("%s-%d", service, number+1)
}

// Start runs the stand-ins until Stop.
func (f *Fleet) Start(ctx context.Context) {
	ctx, f.cancel = context.WithCancel(ctx)
	for _, target := range f.targets {
		f.group.Go(func() error { return target.Server.Run(ctx) })
	}
}

// Stop drains the stand-ins.
func (f *Fleet) Stop() error {
	f.cancel()
	return f.group.Wait()
}

// Targets returns all targets.
func (f *Fleet) Targets() []Target {
	return f.targets
}

// Slow makes the work of all targets of service take factor times as long.
func (f *Fleet) Slow(service string, factor float64) {
	for _, target := range f.targets {
		if target.Service == service {
			target.Server.Slow(factor)
		}
	}
}

// Lie makes one target in three report four times its slots, and one a quarter of them, each 10 s late.
func (f *Fleet) Lie() {
	factors := []float64{1, reportedFactor, 1 / reportedFactor}
	for i, target := range f.targets {
		if factor := factors[i%len(factors)]; factor != 1 {
			target.Server.Distort(standin.Distortion{Lag: reportLag, SlotsFactor: factor, Health: standin.Honest})
		}
	}
}

// TellTruth ends all lies.
func (f *Fleet) TellTruth() {
	for _, target := range f.targets {
		target.Server.Distort(standin.Distortion{SlotsFactor: 1, Health: standin.Honest})
	}
}

// Lost returns how many times a backend server has crashed.
func (f *Fleet) Lost() int {
	lost := 0
	for _, target := range f.targets {
		lost += int(target.Server.Stats().Crashes)
	}
	return lost
}

// Kill crashes the first target of service.
func (f *Fleet) Kill(service string) {
	for _, target := range f.targets {
		if target.Service == service {
			target.Server.Crash()
			return
		}
	}
}

// Lose crashes all targets of a failure domain.
func (f *Fleet) Lose(failureDomain string) {
	for _, target := range f.targets {
		if target.FailureDomain == failureDomain {
			target.Server.Crash()
		}
	}
}

// Repeated returns how many requests that may not be repeated ran more than once at one service.
func (f *Fleet) Repeated() int {
	type run struct{ service, key string }
	counts := make(map[run]int)
	for _, target := range f.targets {
		target.Server.EachRun(func(key string, count int) { counts[run{target.Service, key}] += count })
	}
	repeated := 0
	for _, count := range counts {
		if count > 1 {
			repeated++
		}
	}
	return repeated
}
