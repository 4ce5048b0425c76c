package daemon

import (
	"cmp"
	"net/netip"
	"sync"
	"time"

	"sapphirespread.example/internal/backend/connection"
	"sapphirespread.example/internal/membership/target"
)

const (
	// drainLeeway is how long a draining backend server still gets calls of daemons that have not heard of it.
	drainGracePeriod = 500 * time.Millisecond
	// defaultAnnouncementLifetime bears the loss of two announcements, one a second.
	defaultAnnouncementLifetime = 3 * time.Second
)

// An Announcement is what the backend server says of itself.
type Announcement struct {
	Name        string         `json:"name"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	State       target.State   `json:"state"`
	InFlight    int            `json:"in-flight"`
	Connections int            `json:"connections"`
	// StartedAt is when the backend server started, as far as it says; an older one no longer runs.
	StartedAt time.Time `json:"-"`
	// Sequence orders the announcements of one start, zero where they come in order.
	Sequence uint64 `json:"-"`
}

// A backend is the backend server beside this daemon as it last announced itself.
type backend struct {
	connections     *connection.Pool
	lifetime        time.Duration
	mu              sync.Mutex
	present         bool
	withdrawn       bool // by its own word; the same start can't come back
	current         Announcement
	incarnation     uint64
	baseIncarnation uint64
	startCount      uint64
	expiresAt       time.Time
	drainingSince   time.Time
}

func newBackend(baseIncarnation uint64, lifetime time.Duration) *backend {
	return &backend{baseIncarnation: baseIncarnation, lifetime: cmp.Or(lifetime, defaultAnnouncementLifetime), connections: connection.NewPool()}
}

// olderThan reports whether what was said after it has been taken already.
func (a Announcement) supersededBy(accepted Announcement) bool {
	if a.Name != accepted.Name || !a.StartedAt.Equal(accepted.StartedAt) {
		return a.StartedAt.Before(accepted.StartedAt)
	}
	return a.Sequence != 0 && a.Sequence <= accepted.Sequence
}

// announce takes an announcement and returns the incarnation, whether it is new, and whether the announcement was taken.
func (b *backend) announce(now time.Time, announcement Announcement) (incarnation uint64, started, accepted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if announcement.supersededBy(b.current) || b.withdrawn && announcement.Name == b.current.Name && announcement.StartedAt.Equal(b.current.StartedAt) {
		return b.incarnation, false, false
	}
	started = !b.presentAt(now) || b.current.Name != announcement.Name || b.current.Address != announcement.Address || !announcement.StartedAt.Equal(b.current.StartedAt)
	if started {
		b.startCount++
		b.incarnation = b.baseIncarnation + b.startCount
	}
	if announcement.State == target.Draining && (started || b.current.State != target.Draining) {
		b.drainingSince = now
	}
	b.present, b.withdrawn = true, false
	b.current = announcement
	b.expiresAt = now.Add(b.lifetime)
	return b.incarnation, started, true
}

func (b *backend) presentAt(now time.Time) bool {
	return b.present && now.Before(b.expiresAt)
}

// refuses reports whether a draining backend server gets no more calls.
func (b *backend) refusesCalls(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current.State == target.Draining && now.Sub(b.drainingSince) >= drainGracePeriod
}

// leave forgets the backend server and reports whether name was the one announced.
func (b *backend) withdraw(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.present || b.current.Name != name {
		return false
	}
	b.present = false
	b.withdrawn = !b.current.StartedAt.IsZero()
	return true
}

// crashed forgets incarnation and reports whether it was the current one.
func (b *backend) markCrashed(incarnation uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.present || b.incarnation != incarnation {
		return false
	}
	b.present = false
	b.connections.CloseIdle()
	return true
}

// at returns the announcement and incarnation in force at now.
func (b *backend) announcementAt(now time.Time) (Announcement, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.incarnation, b.presentAt(now)
}
