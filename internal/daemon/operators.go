package daemon

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"time"

	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/operator"
	"sapphirespread.example/timeline"
)

// readiness is the readiness state in the metrics.
type readiness struct {
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	Revision uint64 `json:"revision"`
	Leader   string `json:"leader,omitempty"`
}

var _ operator.Process = (*Daemon)(nil)

func (d *Daemon) operatorsHandler() (http.Handler, error) {
	api, err := operator.NewProcessHandler(d)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", d.serveMetrics)
	mux.Handle("/", api)
	return mux, nil
}

func (d *Daemon) readiness(now time.Time) readiness {
	snapshot, fresh := d.view.Current(now)
	state := readiness{Revision: snapshot.Revision, Leader: d.link.currentLeader()}
	switch {
	case d.stopping.Load():
		state.Reason = "stopping"
	case !fresh:
		state.Reason = "the configuration is not confirmed as current"
	default:
		state.Ready = true
	}
	return state
}

// Ready returns a NotReady failure while the daemon is stopping or its configuration is not confirmed as current.
func (d *Daemon) Ready(context.Context) error {
	state := d.readiness(boottime.Now())
	if state.Ready {
		return nil
	}
	return operator.NewFailure(operator.NotReady, state.Reason)
}

// Timeline returns the retained timeline events as JSON, one per line.
func (d *Daemon) Timeline(context.Context) (io.Reader, error) {
	var lines bytes.Buffer
	if err := timeline.WriteJSON(&lines, d.ring.Events()); err != nil {
		return nil, err
	}
	return &lines, nil
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, "{\"daemon\": %s, \"memstats\": %s}\n", d.counters.vars.String(), expvar.Get("memstats").String())
}

// publishGauges registers the metrics that are computed when they are read.
func (d *Daemon) publishGauges() {
	d.counters.vars.Set("admission", expvar.Func(func() any { return d.admitter.stats(time.Now()) }))
	d.counters.vars.Set("pace", expvar.Func(func() any { return d.pace.stats() }))
	d.counters.vars.Set("scarce-services", expvar.Func(func() any { return d.scarce.held() }))
	d.latencies.publish(d.counters.vars)
	d.publishRouting()
	d.counters.vars.Set("readiness", expvar.Func(func() any { return d.readiness(boottime.Now()) }))
	d.counters.vars.Set("fallback-tokens", expvar.Func(func() any { return d.holder.FallbackTokens() }))
	d.counters.vars.Set("failure-domains", expvar.Func(func() any { return d.domainsReport() }))
	d.counters.vars.Set("in-flight", expvar.Func(func() any { return d.inFlight.current() }))
}
