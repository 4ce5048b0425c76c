package control

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/operator"
)

const maxHeaderBytes = 64 << 10

// An operatorsServer serves the operators' listener.
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
		Handler:           handler,
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

// A readiness is what the health endpoint says.
type readiness struct {
	Ready    bool   `json:"ready"`
	Leads    bool   `json:"leads"`
	Leader   string `json:"leader,omitempty"`
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
}

// readiness tells whether sessions of daemons can be served here or relayed to a leader.
func (c *Control) readiness() readiness {
	leader, _, known := c.store.Leader()
	state := readiness{Leader: leader, Leads: c.store.Lease(boottime.Now()), Term: c.store.Term()}
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

// A metricsReading is what operators judge the control instance by.
type metricsReading struct {
	Readiness readiness `json:"readiness"`
	Sessions  int       `json:"sessions"`
	Targets   int       `json:"targets"`
}

func (c *Control) metrics() metricsReading {
	reading := metricsReading{Readiness: c.readiness()}
	if l := c.leadership.Load(); l != nil {
		reading.Sessions = len(l.all())
		l.targetMu.Lock()
		reading.Targets = len(l.targets.Targets())
		l.targetMu.Unlock()
	}
	return reading
}
