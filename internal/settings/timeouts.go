package settings

import "time"

const (
	defaultReadHeader = 5 * time.Second
	defaultIdle       = 60 * time.Second
	defaultBodyStall  = 30 * time.Second
	defaultDial       = 2 * time.Second
	defaultDrain      = 30 * time.Second
	// defaultAnnouncement bears the loss of two announcements, one a second.
	defaultAnnouncement = 3 * time.Second
)

// Timeouts bounds how long a process waits for others.
type Timeouts struct {
	// ReadHeader bounds the time that a caller takes to send its request header.
	ReadHeader time.Duration `toml:"read-header"`
	// Idle bounds the time that a connection stays open between requests.
	Idle time.Duration `toml:"idle"`
	// BodyStall bounds the time that a body makes no progress.
	BodyStall time.Duration `toml:"body-stall"`
	// Dial bounds the time to open a connection.
	Dial time.Duration `toml:"dial"`
	// Drain bounds the time that a planned stop waits for requests in flight.
	Drain time.Duration `toml:"drain"`
	// CallersNotice is how long a stopping daemon still serves its callers, so that they hear of the stop first.
	CallersNotice time.Duration `toml:"callers-notice"`
	// Announcement is how long a backend server is known after it announced itself.
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
