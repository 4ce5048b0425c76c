package control

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/host/framing"
	"sapphirespread.example/internal/operator"
	"sapphirespread.example/limit"
)

const maxHeaderBytes = 64 << 10

// An operatorsServer serves the operator API and the metrics.
type operatorsServer struct {
	*http.Server
}

func newOperatorsServer(c *Control) (*operatorsServer, error) {
	api, err := operator.NewHandler(c)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", c.serveMetrics)
	mux.Handle("/", api)
	return &operatorsServer{c.newHTTPServer(mux)}, nil
}

func (c *Control) newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           framing.Guard(handler),
		ReadHeaderTimeout: c.settings.Timeouts.ReadHeader,
		IdleTimeout:       c.settings.Timeouts.Idle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func serveHTTP(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
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
}

func (c *Control) metrics() metricsReport {
	report := metricsReport{Readiness: c.readiness(), FailureDomains: newDomainsReport(c.evacuations(0))}
	if l := c.leadership.Load(); l != nil {
		report.Sessions = len(l.allSessions())
		l.targetMu.Lock()
		report.Targets = len(l.targets.Targets())
		l.targetMu.Unlock()
		report.Limits = l.bucketStats(boottime.Now())
	}
	return report
}
