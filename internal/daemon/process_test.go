package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/cmd"
	"sapphirespread.example/internal/operator"
)

const runVariable = "SAPPHIRESPREAD_TEST_RUN"

// TestMain runs the project's command instead of the tests if runVariable is set, so that tests can start this binary
// as a daemon or control process.
func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		os.Exit(cmd.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is an operating system process that a test can kill, freeze and restart.
type process struct {
	t       *testing.T
	args    []string
	command *exec.Cmd
	logs    *lockedBuffer
}

func startProcess(t *testing.T, args ...string) *process {
	t.Helper()
	p := &process{t: t, args: args, logs: &lockedBuffer{}}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%v:\n%s", p.args, p.logs.String())
		}
	})
	return p
}

func (p *process) start() {
	p.t.Helper()
	p.command = exec.Command(os.Args[0], p.args...)
	p.command.Env = append(os.Environ(), runVariable+"=1")
	p.command.Stderr = p.logs
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (p *process) signal(s syscall.Signal) {
	_ = p.command.Process.Signal(s)
}

// controlProcess is a control instance that runs as a separate process.
type controlProcess struct {
	*process
	peer      netip.AddrPort
	operators netip.AddrPort
}

// cluster runs control instances and daemons as separate processes.
type cluster struct {
	t        *testing.T
	folder   string
	domain   string          // failure domain of new daemons
	control  *controlProcess // the first of controls
	controls []*controlProcess
}

// lastPort counts the ports handed out to processes. The ports are below the ephemeral range, so that no outgoing
// connection takes the port of a stopped process.
var lastPort atomic.Uint32

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	const firstPort, processSlots, portsPerProcess = 10_000, 40, 240
	for range portsPerProcess {
		port := firstPort + uint32(os.Getpid()%processSlots*portsPerProcess) + lastPort.Add(1)%portsPerProcess
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
		if listener, err := net.Listen("tcp", address.String()); err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return netip.AddrPort{}
}

func newCluster(t *testing.T, set configuration.Set) *cluster {
	t.Helper()
	return newClusterOf(t, 1, set)
}

// newClusterOf starts the given number of control instances and publishes set.
func newClusterOf(t *testing.T, instances int, set configuration.Set) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir(), domain: "domain-1"}
	var members strings.Builder
	var operators []netip.AddrPort
	for i := range instances {
		instance := &controlProcess{peer: freeAddress(t), operators: freeAddress(t)}
		fmt.Fprintf(&members, "[[members]]\nname = \"control-%d\"\naddress = %q\n", i+1, instance.peer)
		operators = append(operators, instance.operators)
		c.controls = append(c.controls, instance)
	}
	c.control = c.controls[0]
	for i, instance := range c.controls {
		name := fmt.Sprintf("control-%d", i+1)
		path := c.write(name+".toml", fmt.Sprintf(`
name = %q
cluster = "test"
failure-domain = "domain-1"
peer-listen = %q
operators-listen = %q
data-folder = %q
election-timeout = "300ms"
heartbeat = "50ms"
%s`, name, instance.peer, instance.operators, filepath.Join(c.folder, name), members.String()))
		instance.process = startProcess(t, "control", path)
	}
	client := operator.NewClient(operators)
	eventually(t, "publish", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		result, err := client.Publish(ctx, configuration.PublishRequest{ID: "first", Set: set})
		return err == nil && result.Kind == configuration.Accepted
	})
	return c
}

// leader waits for a leader among the control instances and returns it.
func (c *cluster) leader() *controlProcess {
	c.t.Helper()
	var leader *controlProcess
	eventually(c.t, "a leader", func() bool {
		for _, instance := range c.controls {
			client := operator.NewClient([]netip.AddrPort{instance.operators}, operator.WithRetryTimeout(0), operator.WithRequestTimeout(time.Second))
			if _, err := client.Current(c.t.Context()); err == nil {
				leader = instance
				return true
			}
		}
		return false
	})
	return leader
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(2 * testBound); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: condition not met within %s", what, 2*testBound)
}

func (c *cluster) write(name, content string) string {
	c.t.Helper()
	path := filepath.Join(c.folder, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// daemonProcess is a daemon that runs as a separate process. Its backend server runs in the test process.
type daemonProcess struct {
	*process
	callers  netip.AddrPort
	subcalls netip.AddrPort
	ready    string
	crash    func()
}

func (c *cluster) daemon(name string) *daemonProcess {
	c.t.Helper()
	d := &daemonProcess{callers: freeAddress(c.t), subcalls: freeAddress(c.t)}
	operators := freeAddress(c.t)
	var control []string
	for _, instance := range c.controls {
		control = append(control, fmt.Sprintf("%q", instance.peer))
	}
	d.ready = "http://" + operators.String() + "/operator/v1/health/ready"
	path := c.write(name+".toml", fmt.Sprintf(`
name = %q
cluster = "test"
failure-domain = %q
callers-listen = %q
peer-listen = %q
subcalls-listen = %q
operators-listen = %q
control = [%s]
`, name, c.domain, d.callers, freeAddress(c.t), d.subcalls, operators, strings.Join(control, ", ")))
	d.process = startProcess(c.t, "daemon", path)
	d.awaitReady()
	return d
}

func (d *daemonProcess) awaitReady() {
	eventually(d.t, "daemon ready", func() bool { return status(d.ready)/100 == 2 })
}

// serve runs a backend server of service with testSlots slots and announces it to the daemon until the test ends.
func (d *daemonProcess) serve(name, service string, handler http.HandlerFunc) {
	d.t.Helper()
	d.serveSlots(name, service, testSlots, handler)
}

// serveSlots is like serve with the given number of slots. The returned function stops the backend server without
// withdrawing its announcement.
func (d *daemonProcess) serveSlots(name, service string, slots int, handler http.HandlerFunc) (crash func()) {
	d.t.Helper()
	listener := listen(d.t)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	crash = func() {
		cancel()
		_ = server.Close()
	}
	d.t.Cleanup(crash)
	announcement, _ := json.Marshal(map[string]any{
		"name": name, "service": service, "address": addressOf(listener), "slots": slots, "state": "ready",
	})
	go func() {
		for ctx.Err() == nil {
			request, _ := http.NewRequestWithContext(ctx, http.MethodPut,
				"http://"+d.subcalls.String()+"/announce/v1/target", bytes.NewReader(announcement))
			request.Close = true
			send(request)
			time.Sleep(200 * time.Millisecond)
		}
	}()
	return crash
}

// book sends a booking with an idempotency key and waits for the reply up to timeout.
func (d *daemonProcess) book(key string, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers.String()+"/bookings", strings.NewReader("court 3"))
	request.Header.Set("Authorization", "Bearer "+secretOf("club"))
	request.Header.Set("Idempotency-Key", key)
	request.Close = true
	return send(request)
}
