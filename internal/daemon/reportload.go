package daemon

import (
	"net/http"
	"time"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/daemon/dialect"
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
