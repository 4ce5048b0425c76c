package settings

import "time"

const (
	defaultReadHeader = 5 * time.Second
	defaultIdle       = 60 * time.Second
	defaultBodyStall  = 30 * time.Second
	defaultDial       = 2 * time.Second
	defaultDrain      = 30 * time.Second
	// defaultAnnouncement tolerates the loss of two consecutive announcements at one announcement per second.
	defaultAnnouncement = 3 * time.Second
)

// Timeouts holds the timeouts of connections, requests, shutdown and announcements.
type Timeouts struct {
	// ReadHeader is the maximum time for a caller to send its request header.
	ReadHeader time.Duration `toml:"read-header"`
	// Idle is the maximum time that a connection stays open between requests.
	Idle time.Duration `toml:"idle"`
	// BodyStall is the maximum time without progress in the transfer of a body.
	BodyStall time.Duration `toml:"body-stall"`
	// Dial is the maximum time to open a connection.
	Dial time.Duration `toml:"dial"`
	// Drain is the maximum time that a planned shutdown waits for requests in flight.
	Drain time.Duration `toml:"drain"`
	// CallersNotice is how long a daemon that shuts down keeps serving its callers, so that they detect the shutdown
	// first.
	CallersNotice time.Duration `toml:"callers-notice"`
	// Announcement is how long an announcement of a backend server stays valid.
	Announcement time.Duration `toml:"announcement"`
}

func defaultTimeouts() Timeouts {
	return Timeouts{
		ReadHeader:   defaultReadHeader,
		Idle:         defaultIdle,
		BodyStall:    defaultBodyStall,
		Dial:         defaultDial,
		Drain:        defaultDrain,
		Announcement: defaultAnnouncement,
	}
}
