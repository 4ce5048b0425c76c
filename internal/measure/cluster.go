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
	clusterName      = "measure"
	controlInstances = 3
	electionTimeout  = time.Second
	heartbeat        = 100 * time.Millisecond
	startTimeout     = 30 * time.Second
	pollInterval     = 50 * time.Millisecond
	publishTimeout   = 5 * time.Second
	standinDrain     = 100 * time.Millisecond
	probeWorkspace   = "probe"
	probeRate        = 1000
)

// A Cluster is sapphirespread in one process: control instances, and a daemon beside each stand-in.
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

// StartCluster starts a cluster and returns once each daemon answers on each route.
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
	addresses, err := c.startControl()
	if err != nil {
		return err
	}
	if err := c.startInstances(addresses); err != nil {
		return err
	}
	probe := load.Workspace{Name: probeWorkspace, Key: newKey(), Limit: load.Limit{Rate: probeRate, Burst: probeRate}}
	workspaces := append([]load.Workspace{probe}, c.setup.Workspaces...)
	if err := c.publish(ctx, Objects(c.setup.Deployment, workspaces)); err != nil {
		return err
	}
	return c.awaitReady(ctx, probe)
}

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
			DataFolder: filepath.Join(c.folder, member.Name), Members: members, ElectionTimeout: electionTimeout, Heartbeat: heartbeat,
		}
		instance := control.New(s, control.WithListeners(listeners[i]), control.WithLogger(c.setup.Logger))
		c.controls = append(c.controls, instance)
		c.processes = append(c.processes, startProcess(c.ctx, instance.Run))
	}
	return addresses, nil
}

// startInstances starts a daemon for each target and the stand-ins, which announce themselves.
func (c *Cluster) startInstances(addresses []netip.AddrPort) error {
	for _, service := range c.setup.Deployment.Services {
		for i := range service.Slots {
			instance := &instance{
				name:          fmt.Sprintf("daemon-%s-%d", service.Name, i+1),
				failureDomain: c.setup.Deployment.FailureDomain(i),
				control:       addresses,
				logger:        c.setup.Logger,
			}
			instance.recorder = c.setup.Recording.of(instance.name, instance.failureDomain)
			if err := instance.open(); err != nil {
				return err
			}
			instance.start(c.ctx)
			c.instances = append(c.instances, instance)
			c.entries = append(c.entries, instance.callers())
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

func (c *Cluster) standinOptions(number int, service deployment.Service) []standin.ServerOption {
	caller := standin.NewDaemonCaller(c.instances[number].subcalls())
	c.callers = append(c.callers, caller)
	return []standin.ServerOption{
		standin.WithDaemon(c.instances[number].subcalls()),
		standin.WithDrain(standinDrain),
		standin.WithCalls(caller, service.Calls...),
		standin.WithLogger(c.setup.Logger),
	}
}

// publish puts set in force through whichever control instance leads.
func (c *Cluster) publish(ctx context.Context, set configuration.Set) error {
	publish := configuration.PublishRequest{ID: uuid.NewString(), Author: clusterName, Set: set}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		published, err := c.publishOnce(ctx, c.controls[attempt%len(c.controls)], publish)
		if err == nil && published.Kind == configuration.Accepted {
			return nil
		}
		if err == nil {
			return errorx.IllegalState.New("publish the deployment: %s: %v", published.Kind, published.Problems)
		}
		sleep(ctx, pollInterval)
	}
	return errorx.Decorate(ctx.Err(), "publish the deployment")
}

func (c *Cluster) publishOnce(ctx context.Context, through *control.Control, publish configuration.PublishRequest) (configuration.PublishResult, error) {
	select {
	case <-through.Opened():
	case <-ctx.Done():
		return configuration.PublishResult{}, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return through.Publish(ctx, publish)
}

// awaitReady waits until each daemon answers a request on each route.
func (c *Cluster) awaitReady(ctx context.Context, probe load.Workspace) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, instance := range c.instances {
		group.Go(func() error { return c.awaitInstance(ctx, instance, probe) })
	}
	return group.Wait()
}

func (c *Cluster) awaitInstance(ctx context.Context, instance *instance, probe load.Workspace) error {
	for !instance.ready(ctx) {
		if !sleep(ctx, pollInterval) {
			return errorx.Decorate(ctx.Err(), "wait until %s is ready", instance.name)
		}
	}
	client := load.NewClient(func(string) []netip.AddrPort { return []netip.AddrPort{instance.callers()} }, 1)
	defer client.Close()
	if err := c.probe(ctx, client, probe); err != nil {
		return errorx.Decorate(err, "probe %s", instance.name)
	}
	return nil
}

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

// Entries returns the callers' addresses of all daemons.
func (c *Cluster) Entries(string) []netip.AddrPort {
	return c.entries
}

// Fleet returns the stand-ins.
func (c *Cluster) Fleet() *Fleet {
	return c.fleet
}

// Lose takes all daemons and stand-ins of a failure domain away at once.
func (c *Cluster) Lose(failureDomain string) {
	c.fleet.Lose(failureDomain)
	for _, instance := range c.instances {
		if instance.failureDomain == failureDomain {
			go instance.lose()
		}
	}
}

// Restore starts the daemons of a failure domain again; the stand-ins come back by themselves.
func (c *Cluster) Restore(failureDomain string) {
	for _, instance := range c.instances {
		if instance.failureDomain != failureDomain {
			continue
		}
		if err := instance.open(); err != nil {
			c.setup.Logger.Error().Err(err).Str("daemon", instance.name).Msg("cluster: could not restore")
			continue
		}
		instance.start(c.ctx)
	}
}

// Events returns the events of all processes in their order.
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

// Stop ends the stand-ins first, then the daemons, then the control instances.
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

func sleep(ctx context.Context, length time.Duration) bool {
	return wait(ctx, time.Now().Add(length))
}
