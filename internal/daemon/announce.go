package daemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

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
	var said Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&said); err != nil {
		d.refuseCaller(w, "", refuse(refusal.MalformedRequest, err.Error()))
		return
	}
	incarnation, err := d.Announce(said)
	if err != nil {
		d.refuseCaller(w, "", refuse(refusal.MalformedRequest, err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(announceAnswer{incarnation, d.backend.lifetime.String()})
}

// Announce takes what the backend server says of itself, and returns by which number its start is known. It fails where
// something is missing; one that was overtaken by a later one is taken as heard.
func (d *Daemon) Announce(said Announcement) (uint64, error) {
	if missing := checkAnnouncement(said); missing != "" {
		return 0, errorx.IllegalArgument.New("taking an announcement: %s", missing)
	}
	incarnation, started, taken := d.backend.announce(time.Now(), said)
	if !taken {
		return incarnation, nil
	}
	d.admitter.announce(said.Slots)
	d.announced(said, started)
	return incarnation, nil
}

func checkAnnouncement(said Announcement) string {
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
func (d *Daemon) announced(said Announcement, started bool) {
	if started {
		d.record("membership", "backend server "+said.Name+" of "+said.Service+" announced itself")
		d.logger.Info().Str("target", said.Name).Str("service", said.Service).Msg("daemon: backend server announced")
	}
	d.link.kickHeartbeat()
}

// serveLeave takes the word of the backend server that it leaves.
func (d *Daemon) serveLeave(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if !d.Leave(name) {
		d.refuseCaller(w, "", refuse(refusal.NoTarget, name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Leave takes the word of the backend server that it leaves, and reports whether name was the one announced.
func (d *Daemon) Leave(name string) bool {
	if !d.backend.leave(name) {
		return false
	}
	d.record("membership", "backend server "+name+" left")
	d.logger.Info().Str("target", name).Msg("daemon: backend server left")
	d.link.kickHeartbeat()
	return true
}

// draining reports whether new calls should go elsewhere.
func (d *Daemon) draining() bool {
	said, _, present := d.backend.at(time.Now())
	return d.leaving.Load() || !present || said.State == target.Draining
}

// Disregard notes that an announcement could not be understood.
func (d *Daemon) Disregard(err error) {
	d.logger.Warn().Err(err).Msg("daemon: announcement disregarded")
}
