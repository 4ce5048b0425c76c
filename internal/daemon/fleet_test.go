package daemon_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control"
	"sapphirespread.example/internal/daemon"
	"sapphirespread.example/internal/settings"
	"sapphirespread.example/key"
)

const (
	testBound     = 20 * time.Second
	testFreshness = 3 * time.Second
	testSlots     = 64
)

// fleet runs a control instance, daemons and backend servers in the test process, connected over loopback.
type fleet struct {
	t        testing.TB
	control  *control.Control
	peer     netip.AddrPort
	revision uint64
	logs     *lockedBuffer
	served   *daemon.Daemon // daemon of the backend server that was started last
	domain   string         // failure domain of new daemons
	scarce   bool           // whether new daemons hold back requests for services below that are short of room
	relayed  bool           // whether new daemons advertise the address of a relay
	relay    *relay         // relay of the daemon that was started last
	// advertised is the address that new daemons advertise in place of their own, if it is valid.
	advertised netip.AddrPort

	cancelControl context.CancelFunc
	controlEnded  chan error
}

// backendServer is one instance: a backend server with its daemon.
type backendServer struct {
	name    string
	daemon  *daemon.Daemon
	stop    context.CancelFunc
	ended   chan error
	handler http.HandlerFunc
	slots   int
	server  *http.Server
	leave   context.CancelFunc
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, logs: &lockedBuffer{}, domain: "domain-1"}
	peers := listen(t)
	f.peer = addressOf(peers)
	s := settings.Control{
		Name:            "control-1",
		Cluster:         "test",
		DataFolder:      t.TempDir(),
		PeerAdvertise:   f.peer,
		Members:         []settings.Member{{Name: "control-1", Address: f.peer}},
		ElectionTimeout: 200 * time.Millisecond,
		Heartbeat:       20 * time.Millisecond,
	}
	f.control = control.New(s,
		control.WithListeners(control.Listeners{Peers: peers, Operators: listen(t)}),
		control.WithLogger(zerolog.New(f.logs)))
	f.cancelControl, f.controlEnded = f.run(f.control.Run)
	<-f.control.Opened()
	return f
}

// stopControl stops the control instance and waits until it has ended.
func (f *fleet) stopControl() {
	f.cancelControl()
	f.controlEnded <- <-f.controlEnded
}

// run runs process until the test ends and fails the test if process returns an error or does not stop.
func (f *fleet) run(process func(context.Context) error) (context.CancelFunc, chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- process(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		select {
		case err := <-ended:
			if err != nil {
				f.t.Errorf("process ended: %v", err)
			}
			ended <- nil
		case <-time.After(testBound):
			f.t.Error("process did not stop")
		}
	})
	return cancel, ended
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(testBound); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("%s: condition not met within %s\n%s", what, testBound, f.logs.String())
}

func (f *fleet) publish(set configuration.Set) {
	f.t.Helper()
	f.eventually("publish", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		result, err := f.control.Publish(ctx, configuration.PublishRequest{
			ID: fmt.Sprintf("publish-%d", f.revision), Base: f.revision, Set: set,
		})
		if err == nil && result.Kind != configuration.Accepted {
			f.t.Fatalf("publish: %+v", result)
		}
		if err == nil {
			f.revision = result.Revision
		}
		return err == nil
	})
}

// daemon starts a daemon without a backend server and waits until it is ready.
func (f *fleet) daemon(name string) (*daemon.Daemon, context.CancelFunc, chan error) {
	f.t.Helper()
	s := settings.Daemon{
		Name:          name,
		Cluster:       "test",
		FailureDomain: f.domain,
		Control:       []netip.AddrPort{f.peer},
		Freshness:     testFreshness,

		ScarceServices: f.scarce,
		Timeouts: settings.Timeouts{
			ReadHeader: time.Second, Idle: time.Minute, BodyStall: time.Second, Dial: time.Second, Drain: 10 * time.Second,
		},
	}
	listeners := daemon.Listeners{Callers: listen(f.t), Peers: listen(f.t), Subcalls: listen(f.t), Operators: listen(f.t)}
	if f.relayed {
		f.relay = newRelay(f.t, addressOf(listeners.Peers))
		s.PeerAdvertise = addressOf(f.relay.listener)
	}
	if f.advertised.IsValid() {
		s.PeerAdvertise = f.advertised
	}
	d := daemon.New(s, daemon.WithListeners(listeners), daemon.WithLogger(zerolog.New(f.logs)))
	stop, ended := f.run(d.Run)
	f.eventually(name+" is ready", func() bool {
		return status("http://"+listeners.Operators.Addr().String()+"/operator/v1/health/ready")/100 == 2
	})
	return d, stop, ended
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// backend starts a backend server of service with testSlots slots and its daemon.
func (f *fleet) backend(name, service string, handler http.HandlerFunc) *backendServer {
	f.t.Helper()
	return f.backendOf(name, service, testSlots, handler)
}

// backendOf starts a backend server of service with the given number of slots and its daemon.
func (f *fleet) backendOf(name, service string, slots int, handler http.HandlerFunc) *backendServer {
	f.t.Helper()
	b := &backendServer{name: name, handler: handler, slots: slots}
	b.daemon, b.stop, b.ended = f.daemon(name)
	f.served = b.daemon
	listener := listen(f.t)
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.handler(w, r) })}
	go func() { _ = b.server.Serve(listener) }()
	f.t.Cleanup(func() { _ = b.server.Close() })
	b.announce(f, service, addressOf(listener), "ready")
	ctx, leave := context.WithCancel(context.Background())
	b.leave = leave
	f.t.Cleanup(leave)
	go b.keepAnnouncing(ctx, f, service, addressOf(listener))
	return b
}

func (b *backendServer) announce(f *fleet, service string, address netip.AddrPort, state string) {
	body, _ := json.Marshal(map[string]any{
		"name": b.name, "service": service, "address": address, "slots": b.slots, "state": state,
	})
	request, _ := http.NewRequest(http.MethodPut, "http://"+b.daemon.SubcallsAddress().String()+"/announce/v1/target", strings.NewReader(string(body)))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		f.t.Errorf("announcing %s: %s", b.name, content)
	}
}

func (b *backendServer) keepAnnouncing(ctx context.Context, f *fleet, service string, address netip.AddrPort) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(500 * time.Millisecond):
			b.announce(f, service, address, "ready")
		}
	}
}

func secretOf(workspace string) string {
	return "secret-of-" + workspace + "-0123456789abcdef"
}

// baseSet returns a configuration with two workspaces and one service each for reading, booking and charging.
func baseSet() configuration.Set {
	set := configuration.Set{
		Limits:     []configuration.Limit{{Name: "ample", Rate: 10_000, Burst: 10_000}, {Name: "narrow", Rate: 1, Burst: 2}},
		Priorities: []configuration.Priority{{Name: "high", Level: 0}, {Name: "low", Level: 5}},
	}
	for _, name := range []string{"club", "federation"} {
		set.Workspaces = append(set.Workspaces, configuration.Workspace{Name: name, Limit: "ample", Share: 1})
		set.Keys = append(set.Keys, configuration.Key{Name: name + "-key", Workspace: name, Hash: key.Hash(secretOf(name))})
	}
	for _, name := range []string{"courts", "bookings", "charges"} {
		set.Services = append(set.Services, configuration.Service{Name: name, RetryBudget: 0.2, MinimumRetriesPerSecond: 10})
	}
	set.Routes = []configuration.Route{
		{Name: "courts", Path: "/courts/*", Service: "courts", Priority: "low", Deadline: 5 * time.Second, Repeatable: true, ExtraAttempts: 2},
		{Name: "open", Path: "/open/*", Service: "courts", Priority: "low", Deadline: 5 * time.Second, Repeatable: true, Open: true},
		{Name: "bookings", Path: "/bookings", Service: "bookings", Priority: "high", Deadline: 5 * time.Second, ExtraAttempts: 2},
		{Name: "charges", Path: "/charges", Service: "charges", Priority: "high", Deadline: 5 * time.Second, ExtraAttempts: 2},
	}
	return set
}

// reply is the response that a caller received, or the error.
type reply struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	err     error
}

func (r reply) refusal() string { return r.header.Get("Sapphirespread-Refusal") }

// ask sends a request to the callers' address of d with the key of workspace, if any, and headers as pairs of name and
// value.
func ask(d *daemon.Daemon, method, path, workspace, body string, headers ...string) reply {
	request, err := http.NewRequest(method, "http://"+d.CallersAddress().String()+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if workspace != "" {
		request.Header.Set("Authorization", "Bearer "+secretOf(workspace))
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return send(request)
}

// send sends the request once. Clearing GetBody keeps the HTTP client from resending a request with an idempotency key.
func send(request *http.Request) reply {
	request.GetBody = nil
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err, header: http.Header{}}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, response.Trailer, string(content), err}
}

func hashOf(content string) string {
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:])
}
