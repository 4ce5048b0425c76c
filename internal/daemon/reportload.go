package daemon

import (
	"expvar"
	"net/http"
	"time"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/daemon/dialect"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/peer/peerpb"
)

// observeLoad records the load that the backend server states in an answer to the request. Only the time to a
// successful answer counts, so that a server that fails fast doesn't seem fast.
func (r *localRun) observeLoad(now time.Time, response *http.Response, verdict dialect.Verdict) {
	if verdict != dialect.Valid && verdict != dialect.NoCapacity {
		return
	}
	report, stated := r.daemon.dialect.ServerLoad(response.Header)
	if !stated {
		return
	}
	if report.Slowness > 0 {
		r.daemon.backend.connections.SetWait(r.daemon.settings.ConnectionWait)
	}
	var took time.Duration
	if verdict == dialect.Valid && response.StatusCode < http.StatusInternalServerError {
		took = now.Sub(r.sentAt)
	}
	r.daemon.loadMeter.Observe(now, r.incarnation, report, took)
}

// serverLoad returns the load of the local backend server for the report at the end of a call.
func (d *Daemon) serverLoad(now time.Time) load.State {
	if d.loadMeter.Reports() == 0 {
		return load.State{}
	}
	stats := d.admitter.stats(now)
	announcement, _, _ := d.backend.announcementAt(now)
	return d.loadMeter.State(now, stats.Running, stats.Waiting, announcement.Slots)
}

// logSpill logs that calls to a service begin or end to leave the failure domain.
func (d *Daemon) logSpill(e target.SpillEvent) {
	d.logger.Info().Str("service", e.Service).Str("change", string(e.Change)).Int64("near-ms", e.Sample.Near.Milliseconds()).
		Int64("far-ms", e.Sample.Far.Milliseconds()).Float64("near-refusing", e.Sample.NearRefusing).Float64("far-refusing", e.Sample.FarRefusing).
		Int64("objective-ms", e.Sample.Objective.Milliseconds()).Msg("daemon: calls leave the failure domain")
}

// publishRouting registers the metrics of the choice by load reports.
func (d *Daemon) publishRouting() {
	d.counters.vars.Set("routing", expvar.Func(func() any { return d.chooser.Routing() }))
	d.counters.vars.Set("connections", expvar.Func(func() any { return d.backend.connections.Stats() }))
	d.counters.vars.Set("load-reports", expvar.Func(func() any { return d.loadMeter.Reports() }))
}

// encodeLoad encodes state for a peer, or returns nil if there is none.
func encodeLoad(state load.State) *peerpb.ServerLoad {
	if !state.Known() {
		return nil
	}
	return &peerpb.ServerLoad{
		InFlight:  int32(state.InFlight),
		Slots:     int32(state.Slots),
		ServiceUs: state.ServiceTime.Microseconds(),
		Slowness:  state.Slowness,
		AgeUs:     state.Age.Microseconds(),
	}
}

func decodeLoad(encoded *peerpb.ServerLoad) load.State {
	return load.State{
		InFlight:    int(encoded.GetInFlight()),
		Slots:       int(encoded.GetSlots()),
		ServiceTime: time.Duration(encoded.GetServiceUs()) * time.Microsecond,
		Slowness:    encoded.GetSlowness(),
		Age:         time.Duration(encoded.GetAgeUs()) * time.Microsecond,
	}
}
