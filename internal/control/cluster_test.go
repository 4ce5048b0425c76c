package control_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/operator"
)

const processBound = 30 * time.Second

// process is a control instance in its own operating system process. Other instances reach it through peerRelay,
// daemons through daemonRelay.
type process struct {
	name        string
	folder      string
	settings    string
	operators   netip.AddrPort
	peerRelay   *relay
	daemonRelay *relay
	command     *exec.Cmd
	log         *bytes.Buffer
}

// cluster is a set of control processes with the publications that they have accepted.
type cluster struct {
	t         testing.TB
	binary    string
	ports     *ports
	instances []*process
	client    *operator.Client
	accepted  []string
	revision  uint64
}

// ports allocates ports below the ephemeral range, so that no outgoing connection takes the port of a stopped process.
type ports struct{ next uint16 }

func newPorts() *ports {
	const firstPort, processSlots, portsPerProcess = 20_000, 300, 40
	return &ports{next: uint16(firstPort + os.Getpid()%processSlots*portsPerProcess)}
}

// reserve returns a listener on a free port and its address.
func (p *ports) reserve(t testing.TB) (net.Listener, netip.AddrPort) {
	t.Helper()
	const attempts = 100
	for range attempts {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), p.next)
		p.next++
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			return listener, address
		}
	}
	t.Fatal("no free port found")
	return nil, netip.AddrPort{}
}

// free returns the address of a free port.
func (p *ports) free(t testing.TB) netip.AddrPort {
	t.Helper()
	listener, address := p.reserve(t)
	_ = listener.Close()
	return address
}

func startCluster(t testing.TB) *cluster {
	t.Helper()
	return startClusterWith(t, 400*time.Millisecond, 50*time.Millisecond)
}

// startClusterWith builds the program and starts three control processes with the given timing.
func startClusterWith(t testing.TB, electionTimeout, heartbeat time.Duration) *cluster {
	t.Helper()
	ports := newPorts()
	c := &cluster{t: t, ports: ports, binary: filepath.Join(t.TempDir(), "sapphirespread")}
	if out, err := exec.Command("go", "build", "-o", c.binary, "sapphirespread.example").CombinedOutput(); err != nil {
		t.Fatalf("building: %v\n%s", err, out)
	}
	var members strings.Builder
	var operatorsAddresses []netip.AddrPort
	var listenAddresses []netip.AddrPort
	for i := range 3 {
		peerListener, peerAddress := ports.reserve(t)
		listenAddresses = append(listenAddresses, ports.free(t))
		instance := &process{name: fmt.Sprintf("control-%d", i+1), folder: t.TempDir(), operators: ports.free(t)}
		instance.peerRelay = newRelay(peerListener, listenAddresses[i])
		daemonListener, _ := ports.reserve(t)
		instance.daemonRelay = newRelay(daemonListener, listenAddresses[i])
		c.instances = append(c.instances, instance)
		operatorsAddresses = append(operatorsAddresses, instance.operators)
		fmt.Fprintf(&members, "\n[[members]]\nname = %q\naddress = %q\n", instance.name, peerAddress)
	}
	for i, instance := range c.instances {
		instance.settings = filepath.Join(t.TempDir(), "control.toml")
		text := fmt.Sprintf("name = %q\ncluster = \"test\"\nfailure-domain = \"east\"\npeer-listen = %q\npeer-advertise = %q\noperators-listen = %q\n"+
			"data-folder = %q\nelection-timeout = %q\nheartbeat = %q\n%s",
			instance.name, listenAddresses[i], instance.peerRelay.listener.Addr(), instance.operators, filepath.Join(instance.folder, "data"), electionTimeout, heartbeat, members.String())
		if err := os.WriteFile(instance.settings, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.start(instance)
	}
	c.client = operator.NewClient(operatorsAddresses, operator.WithRetryTimeout(processBound), operator.WithRequestTimeout(time.Second))
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) start(instance *process) {
	c.t.Helper()
	c.startCommand("control", instance)
}

func (c *cluster) startCommand(command string, instance *process) {
	c.t.Helper()
	instance.log = &bytes.Buffer{}
	instance.command = exec.Command(c.binary, command, instance.settings)
	instance.command.Stderr = instance.log
	if err := instance.command.Start(); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) stop() {
	for _, instance := range c.instances {
		c.signal(instance, syscall.SIGCONT)
		c.kill(instance)
		instance.peerRelay.close()
		instance.daemonRelay.close()
		if c.t.Failed() {
			c.t.Logf("%s:\n%s", instance.name, instance.log)
		}
	}
}

func (c *cluster) signal(instance *process, signal syscall.Signal) {
	_ = instance.command.Process.Signal(signal)
}

func (c *cluster) kill(instance *process) {
	c.signal(instance, syscall.SIGKILL)
	_ = instance.command.Wait()
}

// eventually retries a condition until it holds, and fails the test after processBound.
func (c *cluster) eventually(condition string, holds func(ctx context.Context) bool) {
	c.t.Helper()
	for deadline := time.Now().Add(processBound); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		held := holds(ctx)
		cancel()
		if held {
			return
		}
	}
	c.t.Fatalf("timed out waiting for: %s", condition)
}

// clientOf returns a client of one instance that does not retry.
func clientOf(instance *process) *operator.Client {
	return operator.NewClient([]netip.AddrPort{instance.operators}, operator.WithRetryTimeout(0), operator.WithRequestTimeout(time.Second))
}

// isolate partitions one instance from the others in both directions, or heals the partition.
func (c *cluster) isolate(instance *process, isolated bool) {
	instance.peerRelay.setStalled(isolated)
	for _, other := range c.instances {
		if other != instance {
			other.peerRelay.setStalledFrom(instance.name, isolated)
		}
	}
}

// leaderAndFollowers waits until all running instances agree on the leader, and returns it and the other instances.
func (c *cluster) leaderAndFollowers() (leader *process, others []*process) {
	c.t.Helper()
	c.eventually("a leader", func(ctx context.Context) bool {
		leader, others = nil, nil
		named := ""
		for _, instance := range c.instances {
			status, err := clientOf(instance).Status(ctx)
			if err == nil && (status.Leader == "" || named != "" && status.Leader != named) {
				return false
			}
			named = max(named, status.Leader)
		}
		for _, instance := range c.instances {
			if instance.name == named {
				leader = instance
			} else {
				others = append(others, instance)
			}
		}
		return leader != nil
	})
	return leader, others
}

// publish makes count publications in sequence and checks the history after each.
func (c *cluster) publish(count int) {
	c.t.Helper()
	for range count {
		limit := configuration.Limit{Name: "limit", Rate: float64(len(c.accepted) + 1), Burst: 10}
		if err := c.publishSet(configuration.Set{Limits: []configuration.Limit{limit}}); err != nil {
			c.t.Fatal(err)
		}
		c.checkHistory()
	}
}

// publishSet publishes a set on the last accepted revision and records its acceptance.
func (c *cluster) publishSet(set configuration.Set) error {
	id := fmt.Sprintf("publication-%d", len(c.accepted))
	result, err := c.client.Publish(context.Background(), configuration.PublishRequest{ID: id, Base: c.revision, Author: "test", Set: set})
	if err != nil || result.Kind != configuration.Accepted || result.Revision <= c.revision {
		return fmt.Errorf("%s on %d: %+v, %w", id, c.revision, result, err)
	}
	c.revision = result.Revision
	c.accepted = append(c.accepted, id)
	return nil
}

// checkHistory checks that the leader's history holds each accepted publication once and in order.
func (c *cluster) checkHistory() {
	c.t.Helper()
	entries, err := c.client.History(context.Background())
	if err != nil {
		c.t.Fatal(err)
	}
	var ids []string
	for _, entry := range entries {
		if strings.HasPrefix(entry.ID, "publication-") {
			ids = append(ids, entry.ID)
		}
	}
	if fmt.Sprint(ids) != fmt.Sprint(c.accepted) {
		c.t.Fatalf("history is %v, want the accepted publications %v", ids, c.accepted)
	}
}

// awaitCaughtUp waits until all instances are voters and have the last accepted revision.
func (c *cluster) awaitCaughtUp() {
	c.t.Helper()
	c.eventually("all instances to have the last revision", func(ctx context.Context) bool {
		members, err := c.client.Members(ctx)
		caughtUp := err == nil && len(members) == len(c.instances)
		for _, member := range members {
			caughtUp = caughtUp && member.Role != operator.RoleLearner
		}
		for _, instance := range c.instances {
			status, err := clientOf(instance).Status(ctx)
			caughtUp = caughtUp && err == nil && status.Revision == c.revision
		}
		return caughtUp
	})
}

// TestAcceptedPublicationsOutliveProcesses checks that accepted publications survive kills, freezes, network
// partitions, lost data folders, graceful stops and a restart of all instances.
func TestAcceptedPublicationsOutliveProcesses(t *testing.T) {
	c := startCluster(t)
	c.publish(3)
	c.awaitCaughtUp()

	leader, _ := c.leaderAndFollowers()
	c.kill(leader)
	c.publish(3)
	c.start(leader)
	c.awaitCaughtUp()

	leader, _ = c.leaderAndFollowers()
	c.signal(leader, syscall.SIGSTOP)
	c.publish(3)
	c.signal(leader, syscall.SIGCONT)
	c.checkHistory()
	c.awaitCaughtUp()

	leader, _ = c.leaderAndFollowers()
	leader.peerRelay.setStalled(true)
	c.publish(3)
	leader.peerRelay.setStalled(false)
	c.awaitCaughtUp()

	for range 2 {
		_, others := c.leaderAndFollowers()
		lost := others[0]
		c.kill(lost)
		if err := os.RemoveAll(filepath.Join(lost.folder, "data")); err != nil {
			t.Fatal(err)
		}
		c.publish(3)
		c.start(lost)
		c.awaitCaughtUp()
	}

	leader, _ = c.leaderAndFollowers()
	c.signal(leader, syscall.SIGTERM)
	if err := leader.command.Wait(); err != nil {
		t.Errorf("graceful stop: %v", err)
	}
	c.publish(1)
	c.start(leader)
	c.awaitCaughtUp()

	for _, delay := range []time.Duration{0, 3 * time.Millisecond, 10 * time.Millisecond} {
		leader, _ = c.leaderAndFollowers()
		stopping := leader
		time.AfterFunc(delay, func() { c.signal(stopping, syscall.SIGTERM) })
		c.publish(10)
		if err := leader.command.Wait(); err != nil {
			t.Errorf("graceful stop during publications: %v", err)
		}
		c.start(leader)
		c.awaitCaughtUp()
	}

	for _, instance := range c.instances {
		c.kill(instance)
	}
	for _, instance := range c.instances {
		c.start(instance)
	}
	c.checkHistory()
	c.publish(1)
	c.awaitCaughtUp()
}

// move restarts stopped instances on their data folders at new peer addresses. Only the settings of the moved instances
// name the new addresses.
func (c *cluster) move(moved ...*process) {
	c.t.Helper()
	var replacements []string
	for _, instance := range moved {
		listener, address := c.ports.reserve(c.t)
		replacements = append(replacements, fmt.Sprintf("%q", instance.peerRelay.listener.Addr()), fmt.Sprintf("%q", address))
		instance.peerRelay.close()
		instance.peerRelay = newRelay(listener, instance.peerRelay.target)
	}
	for _, instance := range moved {
		text, err := os.ReadFile(instance.settings)
		if err != nil {
			c.t.Fatal(err)
		}
		if err := os.WriteFile(instance.settings, []byte(strings.NewReplacer(replacements...).Replace(string(text))), 0o600); err != nil {
			c.t.Fatal(err)
		}
	}
	for _, instance := range moved {
		c.start(instance)
	}
	c.awaitCaughtUp()
	c.eventually("the members to be listed at their addresses", func(ctx context.Context) bool {
		members, err := c.client.Members(ctx)
		addresses := map[string]string{}
		for _, member := range members {
			addresses[member.Name] = member.Address.String()
		}
		for _, instance := range c.instances {
			err = errors.Join(err, ctx.Err())
			if addresses[instance.name] != instance.peerRelay.listener.Addr().String() {
				return false
			}
		}
		return err == nil
	})
}

// TestInstancesMoveWithTheirFolders moves a follower, the leader and then all instances to new peer addresses.
func TestInstancesMoveWithTheirFolders(t *testing.T) {
	c := startCluster(t)
	c.publish(1)
	c.awaitCaughtUp()
	leader, others := c.leaderAndFollowers()
	c.kill(others[0])
	c.publish(1)
	c.move(others[0])
	c.kill(leader)
	c.publish(1)
	c.move(leader)
	for _, instance := range c.instances {
		c.kill(instance)
	}
	c.move(c.instances...)
	c.checkHistory()
	c.publish(1)
	c.awaitCaughtUp()
}
