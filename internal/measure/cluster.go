package measure

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"
	"golang.org/x/sync/errgroup"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control"
	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
	"sapphirespread.example/internal/settings"
	"sapphirespread.example/internal/standin"
	"sapphirespread.example/timeline"
)

const (
	clusterName         = "measure"
	controlInstances    = 3
	electionTimeout     = time.Second
	heartbeatInterval   = 100 * time.Millisecond
	startTimeout        = 30 * time.Second
	pollInterval        = 50 * time.Millisecond
	publishTimeout      = 5 * time.Second
	standinDrainTimeout = 100 * time.Millisecond
	probeWorkspace      = "probe"
	probeRate           = 1000
)

// A Cluster runs sapphirespread in one process: the control instances, and a daemon for each stand-in.
type Cluster struct {
	setup     Setup
	ctx       context.Context
	cancel    context.CancelFunc
	folder    string
	temporary bool
	controls  []*control.Control
	processes []*process
	instances []*instance
	callers   []*standin.DaemonCaller
	fleet     *Fleet
	entries   []netip.AddrPort
}

// StartCluster starts a cluster and returns once each daemon answers requests on each route.
func StartCluster(ctx context.Context, setup Setup) (*Cluster, error) {
	if setup.Instances == 0 {
		setup.Instances = controlInstances
	}
	c := &Cluster{setup: setup, folder: setup.Folder}
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := c.start(ctx); err != nil {
		_ = c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if c.folder == "" {
		folder, err := os.MkdirTemp("", "sapphirespread-")
		if err != nil {
			return errorx.Decorate(err, "create a folder for the control instances")
		}
		c.folder, c.temporary = folder, true
	}
	controlAddresses, err := c.startControl()
	if err != nil {
		return err
	}
	if err := c.startInstances(controlAddresses); err != nil {
		return err
	}
	probe := load.Workspace{Name: probeWorkspace, Key: newKey(), Limit: load.Limit{Rate: probeRate, Burst: probeRate}}
	workspaces := append([]load.Workspace{probe}, c.setup.Workspaces...)
	if err := c.publish(ctx, Objects(c.setup.Deployment, workspaces)); err != nil {
		return err
	}
	return c.awaitReady(ctx, probe)
}

// startControl starts the control instances and returns their peer addresses.
func (c *Cluster) startControl() ([]netip.AddrPort, error) {
	listeners := make([]control.Listeners, c.setup.Instances)
	members := make([]settings.Member, c.setup.Instances)
	addresses := make([]netip.AddrPort, c.setup.Instances)
	for i := range listeners {
		peers, address, err := listen(netip.AddrPort{})
		if err != nil {
			return nil, err
		}
		operators, _, err := listen(netip.AddrPort{})
		if err != nil {
			return nil, err
		}
		listeners[i] = control.Listeners{Peers: peers, Operators: operators}
		members[i] = settings.Member{Name: fmt.Sprintf("control-%d", i+1), Address: address}
		addresses[i] = address
	}
	for i, member := range members {
		s := settings.Control{
			Name: member.Name, Cluster: clusterName, FailureDomain: c.setup.Deployment.FailureDomain(i), PeerAdvertise: member.Address,
			DataFolder: filepath.Join(c.folder, member.Name), Members: members, ElectionTimeout: electionTimeout, Heartbeat: heartbeatInterval,
		}
		instance := control.New(s, control.WithListeners(listeners[i]), control.WithLogger(c.setup.Logger))
		c.controls = append(c.controls, instance)
		c.processes = append(c.processes, startProcess(c.ctx, instance.Run))
	}
	return addresses, nil
}

// startInstances starts a daemon for each stand-in, then the stand-ins, which announce themselves to their daemons.
func (c *Cluster) startInstances(controlAddresses []netip.AddrPort) error {
	for _, service := range c.setup.Deployment.Services {
		for i := range service.Slots {
			instance := &instance{
				name:          fmt.Sprintf("daemon-%s-%d", service.Name, i+1),
				failureDomain: c.setup.Deployment.FailureDomain(i),
				control:       controlAddresses,
				logger:        c.setup.Logger,
			}
			instance.recorder = c.setup.Recording.newRecorder(instance.name, instance.failureDomain)
			if err := instance.open(); err != nil {
				return err
			}
			instance.start(c.ctx)
			c.instances = append(c.instances, instance)
			c.entries = append(c.entries, instance.callerAddress())
		}
	}
	fleet, err := NewFleet(c.setup.Deployment, c.setup.Seed, c.setup.Downtime, c.standinOptions)
	if err != nil {
		return err
	}
	c.fleet = fleet
	fleet.Start(c.ctx)
	return nil
}

// standinOptions attaches a stand-in to the daemon with the same index.
func (c *Cluster) standinOptions(index int, service deployment.Service) []standin.ServerOption {
	caller := standin.NewDaemonCaller(c.instances[index].nestedCallAddress())
	c.callers = append(c.callers, caller)
	return []standin.ServerOption{
		standin.WithDaemon(c.instances[index].nestedCallAddress()),
		standin.WithDrain(standinDrainTimeout),
		standin.WithCalls(caller, service.Calls...),
		standin.WithLogger(c.setup.Logger),
	}
}

// publish publishes set, trying the control instances in turn until the leader accepts it. It fails if the set is
// rejected.
func (c *Cluster) publish(ctx context.Context, set configuration.Set) error {
	request := configuration.PublishRequest{ID: uuid.NewString(), Author: clusterName, Set: set}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		result, err := c.publishOnce(ctx, c.controls[attempt%len(c.controls)], request)
		if err == nil && result.Kind == configuration.Accepted {
			return nil
		}
		if err == nil {
			return errorx.IllegalState.New("publish the deployment: %s: %v", result.Kind, result.Problems)
		}
		sleep(ctx, pollInterval)
	}
	return errorx.Decorate(ctx.Err(), "publish the deployment")
}

// publishOnce sends the request to one control instance once that instance has started.
func (c *Cluster) publishOnce(ctx context.Context, instance *control.Control, request configuration.PublishRequest) (configuration.PublishResult, error) {
	select {
	case <-instance.Opened():
	case <-ctx.Done():
		return configuration.PublishResult{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return instance.Publish(ctx, request)
}

// awaitReady waits until each daemon answers requests on each route.
func (c *Cluster) awaitReady(ctx context.Context, probe load.Workspace) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, instance := range c.instances {
		group.Go(func() error { return c.awaitInstance(ctx, instance, probe) })
	}
	return group.Wait()
}

// awaitInstance waits until one daemon is ready and answers requests on each route.
func (c *Cluster) awaitInstance(ctx context.Context, instance *instance, probe load.Workspace) error {
	for !instance.ready(ctx) {
		if !sleep(ctx, pollInterval) {
			return errorx.Decorate(ctx.Err(), "wait until %s is ready", instance.name)
		}
	}
	client := load.NewClient(func(string) []netip.AddrPort { return []netip.AddrPort{instance.callerAddress()} }, 1)
	defer client.Close()
	if err := c.probe(ctx, client, probe); err != nil {
		return errorx.Decorate(err, "probe %s", instance.name)
	}
	return nil
}

// probe sends requests on each route until one succeeds. When ctx ends first, it fails with the last outcome.
func (c *Cluster) probe(ctx context.Context, client *load.Client, workspace load.Workspace) error {
	for _, route := range Routes(c.setup.Deployment) {
		for {
			request := load.Request{Route: route, Workspace: workspace, URI: route.Path}
			if !route.Repeatable {
				request.IdempotencyKey = uuid.Must(uuid.NewV7()).String()
			}
			outcome, _ := client.Send(ctx, request)
			if outcome.Verdict == load.Good {
				break
			}
			if !sleep(ctx, pollInterval) {
				return errorx.IllegalState.New("route %s: last attempt was %s %s", route.Name, outcome.Verdict, outcome.Kind)
			}
		}
	}
	return nil
}

// Entries returns the addresses at which all daemons accept requests of callers.
func (c *Cluster) Entries(string) []netip.AddrPort {
	return c.entries
}

// Fleet returns the stand-ins.
func (c *Cluster) Fleet() *Fleet {
	return c.fleet
}

// CrashFailureDomain crashes all daemons and stand-ins of a failure domain at once.
func (c *Cluster) CrashFailureDomain(failureDomain string) {
	c.fleet.CrashFailureDomain(failureDomain)
	for _, instance := range c.instances {
		if instance.failureDomain == failureDomain {
			go instance.crash()
		}
	}
}

// RestoreFailureDomain restarts the daemons of a failure domain. The stand-ins restart on their own.
func (c *Cluster) RestoreFailureDomain(failureDomain string) {
	for _, instance := range c.instances {
		if instance.failureDomain != failureDomain {
			continue
		}
		if err := instance.open(); err != nil {
			c.setup.Logger.Error().Err(err).Str("daemon", instance.name).Msg("cluster: could not restart daemon")
			continue
		}
		instance.start(c.ctx)
	}
}

// Events returns the time-line events of all control instances and daemons, merged in order.
func (c *Cluster) Events() []timeline.Event {
	var all [][]timeline.Event
	for _, control := range c.controls {
		all = append(all, control.Events())
	}
	for _, instance := range c.instances {
		all = append(all, instance.events())
	}
	return timeline.Merge(all...)
}

// Stop stops the stand-ins first, then the daemons, then the control instances.
func (c *Cluster) Stop() error {
	var errs []error
	if c.fleet != nil {
		errs = append(errs, c.fleet.Stop())
	}
	for _, caller := range c.callers {
		caller.Close()
	}
	for _, instance := range c.instances {
		instance.process.cancel()
	}
	for _, instance := range c.instances {
		errs = append(errs, instance.stop())
	}
	for _, process := range c.processes {
		errs = append(errs, process.stop())
	}
	c.cancel()
	if c.temporary {
		errs = append(errs, os.RemoveAll(c.folder))
	}
	return errors.Join(errs...)
}

// sleep waits for duration. It returns false if ctx ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	return waitUntil(ctx, time.Now().Add(duration))
}
