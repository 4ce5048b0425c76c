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

// announceResponse contains the incarnation assigned to the backend server and the lifetime of its announcement.
type announceResponse struct {
	Incarnation  uint64 `json:"incarnation"`
	ExpiresAfter string `json:"expires-after"`
}

// serveAnnounce handles an announcement that the backend server sends over HTTP.
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

// Announce applies an announcement of the backend server and returns the current incarnation, or an error if the
// announcement is invalid; an outdated announcement has no effect and returns no error.
func (d *Daemon) Announce(announcement Announcement) (uint64, error) {
	if problem := checkAnnouncement(announcement); problem != "" {
		return 0, errorx.IllegalArgument.New("taking an announcement: %s", problem)
	}
	incarnation, isNew, accepted := d.backend.announce(time.Now(), announcement)
	if !accepted {
		return incarnation, nil
	}
	d.admitter.announce(announcement.Slots)
	d.reportAnnouncement(announcement, isNew)
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

// reportAnnouncement records the start of a new backend server and requests a heartbeat, which sends the announcement
// to control.
func (d *Daemon) reportAnnouncement(announcement Announcement, isNew bool) {
	if isNew {
		d.record("membership", "backend server "+announcement.Name+" of "+announcement.Service+" announced itself")
		d.logger.Info().Str("target", announcement.Name).Str("service", announcement.Service).Msg("daemon: backend server announced")
	}
	d.link.requestHeartbeat()
}

// serveLeave handles the request of the backend server to withdraw its announcement.
func (d *Daemon) serveLeave(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	if !d.WithdrawAnnouncement(name) {
		d.refuseCaller(w, "", refuse(refusal.NoTarget, name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// WithdrawAnnouncement withdraws the announcement of the backend server and reports whether name was announced.
func (d *Daemon) WithdrawAnnouncement(name string) bool {
	if !d.backend.withdraw(name) {
		return false
	}
	d.record("membership", "backend server "+name+" left")
	d.logger.Info().Str("target", name).Msg("daemon: backend server left")
	d.link.requestHeartbeat()
	return true
}

// draining reports whether callers should send new calls to other targets.
func (d *Daemon) draining() bool {
	announcement, _, present := d.backend.announcementAt(time.Now())
	return d.targetDraining.Load() || !present || announcement.State == target.Draining
}

// LogInvalidAnnouncement logs an announcement that could not be decoded.
func (d *Daemon) LogInvalidAnnouncement(err error) {
	d.logger.Warn().Err(err).Msg("daemon: invalid announcement ignored")
}
