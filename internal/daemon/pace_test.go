package daemon_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"sapphirespread.example/internal/daemon"
)

// coldServer is a backend server that always says that it is cold, and records when requests arrive.
type coldServer struct {
	address netip.AddrPort
	mu      sync.Mutex
	arrived []time.Time
}

func newColdServer(t *testing.T) *coldServer {
	s := &coldServer{}
	listener := listen(t)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.arrived = append(s.arrived, time.Now())
		w.WriteHeader(http.StatusOK)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	s.address = addressOf(listener)
	return s
}

func (s *coldServer) announce(t *testing.T, d *daemon.Daemon) {
	body := fmt.Sprintf(`{"name": "courts-1", "service": "courts", "address": %q, "slots": 64, "state": "ready", "cold-left-ms": 60000}`, s.address)
	request, _ := http.NewRequest(http.MethodPut, "http://"+d.SubcallsAddress().String()+"/announce/v1/target", strings.NewReader(body))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("announcement answered with status %d", response.StatusCode)
	}
}

func (s *coldServer) arrivals() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrived
}

// mostInASecond returns the largest number of arrivals in a second.
func mostInASecond(arrived []time.Time) int {
	most := 0
	for i, from := range arrived {
		n := 0
		for _, at := range arrived[i:] {
			if at.Sub(from) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestColdServerIsBoundedAcrossDaemonsAndRestarts checks that the daemons which call a cold server together send it no more
// than it bears in any second, also when the daemon beside it is replaced, and that it is sent some.
func TestColdServerIsBoundedAcrossDaemonsAndRestarts(t *testing.T) {
	const coldRate, bearable, callers = 10, 23, 8
	f := newFleet(t)
	set := baseSet()
	for i := range set.Services {
		set.Services[i].ColdRate, set.Services[i].ColdStart = coldRate, time.Minute
	}
	for i := range set.Routes {
		set.Routes[i].Deadline = time.Second
	}
	f.publish(set)
	cold := newColdServer(t)
	var entries []*daemon.Daemon
	for i := range 2 {
		d, _, _ := f.daemon(fmt.Sprintf("entry-%d", i))
		entries = append(entries, d)
	}
	for restart := range 2 {
		beside, stop, ended := f.daemon(fmt.Sprintf("beside-%d", restart))
		cold.announce(t, beside)
		before := len(cold.arrivals())
		stopCalling := make(chan struct{})
		var calling sync.WaitGroup
		for i := range callers {
			calling.Go(func() {
				for {
					select {
					case <-stopCalling:
						return
					default:
						ask(entries[i%len(entries)], http.MethodGet, "/courts/1", "club", "")
					}
				}
			})
		}
		f.eventually("the cold server is sent more than a burst", func() bool {
			cold.announce(t, beside)
			return len(cold.arrivals()) >= before+2*coldRate
		})
		close(stopCalling)
		calling.Wait()
		stop()
		ended <- <-ended
	}
	if most := mostInASecond(cold.arrivals()); most > bearable {
		t.Errorf("%d requests in a second at a server that bears %d", most, bearable)
	}
}
