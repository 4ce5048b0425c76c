package control

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net"
	"net/http"

	"sapphirespread.example/internal/caller/pipeline"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/host/budget"
	"sapphirespread.example/internal/host/framing"
	"sapphirespread.example/internal/operator"
	"sapphirespread.example/limit"
)

const maxHeaderBytes = 64 << 10

// maxBodyBytes is the memory for the body of a published configuration: the largest one, and what reading it wastes.
const maxBodyBytes = 2 << 20

// A portServer serves the operators at one port.
type portServer struct {
	*pipeline.Server
	listener net.Listener
}

// newOperatorsServer returns the server of the operator API and the metrics.
func newOperatorsServer(c *Control) (*portServer, error) {
	api, err := operator.NewHandler(c)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", c.serveMetrics)
	mux.Handle("/", c.publishGate.handler(api))
	return c.newServer("operators", c.listeners.Operators, mux), nil
}

// newServer returns the server of a port, whose clients are in the metrics by its name.
func (c *Control) newServer(name string, listener net.Listener, handler http.Handler) *portServer {
	timeouts := c.settings.Timeouts
	clients := budget.New(c.settings.Resources.Plan().Documents)
	c.clients[name] = clients
	server := pipeline.New(framing.Guard(handler),
		pipeline.WithTimeouts(timeouts.ReadHeader, timeouts.Idle),
		pipeline.WithStallTimeout(timeouts.BodyStall),
		pipeline.WithMaxHeaderBytes(maxHeaderBytes),
		pipeline.WithMaxBodyBytes(maxBodyBytes),
		pipeline.WithBudget(clients),
		pipeline.WithLogger(c.logger.With().Str("port", name).Logger()))
	return &portServer{Server: server, listener: listener}
}

func (s *portServer) serve() error { return s.Serve(s.listener) }

// stop serves the requests that have arrived and closes the connections, at once if ctx ends first.
func (s *portServer) stop(ctx context.Context) {
	_ = s.listener.Close()
	if s.Shutdown(ctx) != nil {
		s.Close()
	}
}

// A readiness is the readiness section of the metrics.
type readiness struct {
	Ready    bool   `json:"ready"`
	Leads    bool   `json:"leads"`
	Leader   string `json:"leader,omitempty"`
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
}

// readiness returns the state of this instance. It is ready if it can serve daemon sessions or relay them to a leader.
func (c *Control) readiness() readiness {
	leader, _, known := c.store.Leader()
	state := readiness{Leader: leader, Leads: c.store.HoldsLease(boottime.Now()), Term: c.store.Term()}
	state.Ready = state.Leads || known && leader != c.settings.Name
	c.store.Read(func() { state.Revision = c.state.configuration.Revision() })
	return state
}

func (c *Control) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	body, err := json.Marshal(c.metrics())
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"control\": %s, \"memstats\": %s}\n", body, expvar.Get("memstats").String())
}

// A metricsReport holds the metrics of a control instance.
type metricsReport struct {
	Readiness readiness `json:"readiness"`
	Sessions  int       `json:"sessions"`
	Targets   int       `json:"targets"`
	// FailureDomains holds the failure domains out of use.
	FailureDomains domainsReport `json:"failure-domains"`
	// Limits holds the token bucket of each workspace.
	Limits []limit.BucketStats `json:"limits,omitempty"`
	// LogBytes is the size of the replicated log's entries in memory.
	LogBytes int64 `json:"log-bytes"`
	// Clients holds what clients hold, by port.
	Clients map[string]budget.Stats `json:"clients"`
}

func (c *Control) metrics() metricsReport {
	report := metricsReport{
		Readiness:      c.readiness(),
		FailureDomains: newDomainsReport(c.evacuations(0)),
		LogBytes:       c.store.HeldBytes(),
		Clients:        make(map[string]budget.Stats, len(c.clients)),
	}
	for name, clients := range c.clients {
		report.Clients[name] = clients.Stats()
	}
	if l := c.leadership.Load(); l != nil {
		report.Sessions = len(l.allSessions())
		l.targetMu.Lock()
		report.Targets = len(l.targets.Targets())
		l.targetMu.Unlock()
		report.Limits = l.bucketStats(boottime.Now())
	}
	return report
}
