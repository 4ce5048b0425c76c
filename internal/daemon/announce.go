package daemon

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/refusal"
)

const (
	announcePath     = "/announce/v1/target"
	maxAnnounceBytes = 4 << 10
	maxNameBytes     = 256
	// maxAnnouncedCount is the largest number of requests or connections that fits a message between processes.
	maxAnnouncedCount = math.MaxInt32
	// maxClockDifference is far above the difference between the clocks of a backend server and its daemon.
	maxClockDifference = time.Hour
	// maxColdLeft is far above the time that a backend server takes to become warm.
	maxColdLeft = 24 * time.Hour
	// maxSequence is the largest integer that all JSON implementations represent exactly.
	maxSequence = 1 << 53
)

// announceResponse contains the incarnation assigned to the backend server and the lifetime of its announcement.
type announceResponse struct {
	Incarnation  uint64 `json:"incarnation"`
	ExpiresAfter string `json:"expires-after"`
}

// serveAnnounce handles an announcement that the backend server sends over HTTP.
func (d *Daemon) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Announcement
		ColdLeftMs int64 `json:"cold-left-ms"`
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		d.refuseCaller(w, "", refuse(refusal.MalformedRequest, err.Error()))
		return
	}
	body.ColdLeft = time.Duration(min(body.ColdLeftMs, maxColdLeft.Milliseconds()+1)) * time.Millisecond
	incarnation, err := d.Announce(body.Announcement)
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
	d.hearPace(announcement, isNew)
	d.admitter.announce(announcement.Slots)
	d.reportAnnouncement(announcement, isNew)
	return incarnation, nil
}

func checkAnnouncement(announcement Announcement) string {
	switch {
	case !validName(announcement.Name) || !validName(announcement.Service):
		return "name and service are needed, as UTF-8 of at most " + strconv.Itoa(maxNameBytes) + " bytes"
	case !announcement.Address.IsValid() || announcement.Address.Port() == 0:
		return "address with a port is needed"
	case announcement.Slots < 1 || announcement.Slots > target.MaxSlots:
		return "slots is from 1 to " + strconv.Itoa(target.MaxSlots)
	case announcement.InFlight < 0 || announcement.InFlight > maxAnnouncedCount || announcement.Connections < 0 || announcement.Connections > maxAnnouncedCount:
		return "in-flight and connections are from 0 to " + strconv.Itoa(maxAnnouncedCount)
	// Announcements of processes that started earlier are ignored, so a start in the future would displace the real one.
	case startsInFuture(announcement.StartedAt):
		return "the start time lies in the future"
	case announcement.ColdLeft < 0 || announcement.ColdLeft > maxColdLeft:
		return "the time that it stays cold is from 0 to " + maxColdLeft.String()
	case announcement.Sequence > maxSequence:
		return "sequence is at most " + strconv.Itoa(maxSequence)
	}
	switch announcement.State {
	case target.Warming, target.Ready, target.Draining:
		return ""
	default:
		return "state is one of warming, ready, draining"
	}
}

// validName reports whether name can be sent to control.
func validName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && utf8.ValidString(name)
}

func startsInFuture(startedAt time.Time) bool {
	return startedAt.After(time.Now().Add(maxClockDifference))
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
	return d.withdraw(name, time.Time{})
}

func (d *Daemon) withdraw(name string, startedAt time.Time) bool {
	if !d.backend.withdraw(name, startedAt) {
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
