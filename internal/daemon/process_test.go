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

// TestMain runs the command of the project where a test starts this binary as a process.
func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer stop()
		os.Exit(cmd.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A process is one process of the system that a test may kill, freeze and start again.
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

// A controlProcess is a control instance as a process.
type controlProcess struct {
	*process
	peer      netip.AddrPort
	operators netip.AddrPort
}

// A cluster is control instances with daemons as processes of their own.
type cluster struct {
	t        *testing.T
	folder   string
	domain   string
	control  *controlProcess
	controls []*controlProcess
}

// lastPort counts the ports that were given to processes; they lie below the ephemeral ports, so that no connection
// takes the port of a process that is down.
var lastPort atomic.Uint32

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	const first, runs, each = 10_000, 40, 240
	for range each {
		port := first + uint32(os.Getpid()%runs*each) + lastPort.Add(1)%each
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

// newClusterOf starts instances of control and publishes set.
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

// leader returns the control instance that leads.
func (c *cluster) leader() *controlProcess {
	c.t.Helper()
	var leader *controlProcess
	eventually(c.t, "a leader", func() bool {
		for _, instance := range c.controls {
			client := operator.NewClient([]netip.AddrPort{instance.operators}, operator.WithPatience(0), operator.WithTimeout(time.Second))
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
	t.Fatalf("%s: not within %s", what, 2*testBound)
}

func (c *cluster) write(name, content string) string {
	c.t.Helper()
	path := filepath.Join(c.folder, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		c.t.Fatal(err)
	}
	return path
}

// A daemonProcess is a daemon as a process, and the backend server that announces itself to it.
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

// serve announces a backend server of service to the daemon until the end of the test.
func (d *daemonProcess) serve(name, service string, handler http.HandlerFunc) {
	d.t.Helper()
	d.serveSlots(name, service, testSlots, handler)
}

// serveSlots is serve with slots; the returned function ends the backend server without a word.
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

// book sends a booking under an idempotency key, bounded by timeout.
func (d *daemonProcess) book(key string, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers.String()+"/bookings", strings.NewReader("court 3"))
	request.Header.Set("Authorization", "Bearer "+secretOf("club"))
	request.Header.Set("Idempotency-Key", key)
	request.Close = true
	return send(request)
}
