package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/refusal"
)

const (
	announcePath     = "/announce/v1/target"
	maxAnnounceBytes = 4 << 10
)

// An announceAnswer tells the backend server how it is known and for how long.
type announceAnswer struct {
	Incarnation  uint64 `json:"incarnation"`
	ExpiresAfter string `json:"expires-after"`
}

// serveAnnounce takes an announcement of the backend server.
func (d *Daemon) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var said announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&said); err != nil {
		d.refuseCaller(w, refuse(refusal.MalformedRequest, err.Error()))
		return
	}
	if err := checkAnnouncement(said); err != "" {
		d.refuseCaller(w, refuse(refusal.MalformedRequest, err))
		return
	}
	incarnation, started := d.backend.announce(time.Now(), said)
	d.admitter.announce(said.Slots)
	d.announced(said, started)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(announceAnswer{incarnation, announcementLifetime.String()})
}

func checkAnnouncement(said announcement) string {
	switch {
	case said.Name == "" || said.Service == "":
		return "name and service are needed"
	case !said.Address.IsValid():
		return "address is needed"
	case said.Slots < 1:
		return "slots is at least 1"
	}
	switch said.State {
	case target.Warming, target.Ready, target.Draining:
		return ""
	default:
		return "state is one of warming, ready, draining"
	}
}

// announced passes a change of the announcement on to control.
func (d *Daemon) announced(said announcement, started bool) {
	if started {
		d.record("membership", "backend server "+said.Name+" of "+said.Service+" announced itself")
		d.logger.Info().Str("target", said.Name).Str("service", said.Service).Msg("daemon: backend server announced")
	}
	d.link.kickHeartbeat()
}

// serveLeave takes the word of the backend server that it leaves.
func (d *Daemon) serveLeave(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if !d.backend.leave(name) {
		d.refuseCaller(w, refuse(refusal.NoTarget, name))
		return
	}
	d.record("membership", "backend server "+name+" left")
	d.link.kickHeartbeat()
	w.WriteHeader(http.StatusNoContent)
}

// draining reports whether new calls should go elsewhere.
func (d *Daemon) draining() bool {
	said, _, present := d.backend.at(time.Now())
	return d.stopping.Load() || !present || said.State == target.Draining
}
