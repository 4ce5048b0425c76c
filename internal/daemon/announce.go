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
type announceResponse struct {
	Incarnation  uint64 `json:"incarnation"`
	ExpiresAfter string `json:"expires-after"`
}

// serveAnnounce takes an announcement of the backend server.
func (d *Daemon) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var announcement Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&announcement); err != nil {
		d.refuseCaller(w, "", refuse(refusal.MalformedRequest, err.Error()))
		return
	}
	incarnation, err := d.Announce(announcement)
	if err != nil {
		d.refuseCaller(w, "", refuse(refusal.MalformedRequest, err.Error()))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(announceResponse{incarnation, d.backend.lifetime.String()})
}

// Announce takes what the backend server says of itself, and returns by which number its start is known. It fails where
// something is missing; one that was overtaken by a later one is taken as heard.
func (d *Daemon) Announce(announcement Announcement) (uint64, error) {
	if problem := checkAnnouncement(announcement); problem != "" {
		return 0, errorx.IllegalArgument.New("taking an announcement: %s", problem)
	}
	incarnation, started, accepted := d.backend.announce(time.Now(), announcement)
	if !accepted {
		return incarnation, nil
	}
	d.admitter.announce(announcement.Slots)
	d.publishAnnouncement(announcement, started)
	return incarnation, nil
}

func checkAnnouncement(announcement Announcement) string {
	switch {
	case announcement.Name == "" || announcement.Service == "":
		return "name and service are needed"
	case !announcement.Address.IsValid():
		return "address is needed"
	case announcement.Slots < 1:
		return "slots is at least 1"
	}
	switch announcement.State {
	case target.Warming, target.Ready, target.Draining:
		return ""
	default:
		return "state is one of warming, ready, draining"
	}
}

// announced passes a change of the announcement on to control.
func (d *Daemon) publishAnnouncement(announcement Announcement, started bool) {
	if started {
		d.record("membership", "backend server "+announcement.Name+" of "+announcement.Service+" announced itself")
		d.logger.Info().Str("target", announcement.Name).Str("service", announcement.Service).Msg("daemon: backend server announced")
	}
	d.link.requestHeartbeat()
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
	if !d.backend.withdraw(name) {
		return false
	}
	d.record("membership", "backend server "+name+" left")
	d.logger.Info().Str("target", name).Msg("daemon: backend server left")
	d.link.requestHeartbeat()
	return true
}

// draining reports whether new calls should go elsewhere.
func (d *Daemon) draining() bool {
	announcement, _, present := d.backend.announcementAt(time.Now())
	return d.targetDraining.Load() || !present || announcement.State == target.Draining
}

// Disregard notes that an announcement could not be understood.
func (d *Daemon) Disregard(err error) {
	d.logger.Warn().Err(err).Msg("daemon: announcement disregarded")
}
