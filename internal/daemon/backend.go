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
	drainLeeway = 500 * time.Millisecond
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
	connections *connection.Pool
	lifetime    time.Duration
	mu          sync.Mutex
	present     bool
	left        bool // by its own word; the same start can't come back
	current     Announcement
	incarnation uint64
	base        uint64
	starts      uint64
	expiresAt   time.Time
	drainedAt   time.Time
}

func newBackend(base uint64, lifetime time.Duration) *backend {
	return &backend{base: base, lifetime: cmp.Or(lifetime, defaultAnnouncementLifetime), connections: connection.NewPool()}
}

// olderThan reports whether what was said after it has been taken already.
func (a Announcement) olderThan(held Announcement) bool {
	if a.Name != held.Name || !a.StartedAt.Equal(held.StartedAt) {
		return a.StartedAt.Before(held.StartedAt)
	}
	return a.Sequence != 0 && a.Sequence <= held.Sequence
}

// announce takes an announcement and returns the incarnation, whether it is new, and whether the announcement was taken.
func (b *backend) announce(now time.Time, said Announcement) (incarnation uint64, started, taken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if said.olderThan(b.current) || b.left && said.Name == b.current.Name && said.StartedAt.Equal(b.current.StartedAt) {
		return b.incarnation, false, false
	}
	started = !b.presentAt(now) || b.current.Name != said.Name || b.current.Address != said.Address || !said.StartedAt.Equal(b.current.StartedAt)
	if started {
		b.starts++
		b.incarnation = b.base + b.starts
	}
	if said.State == target.Draining && (started || b.current.State != target.Draining) {
		b.drainedAt = now
	}
	b.present, b.left = true, false
	b.current = said
	b.expiresAt = now.Add(b.lifetime)
	return b.incarnation, started, true
}

func (b *backend) presentAt(now time.Time) bool {
	return b.present && now.Before(b.expiresAt)
}

// refuses reports whether a draining backend server gets no more calls.
func (b *backend) refuses(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current.State == target.Draining && now.Sub(b.drainedAt) >= drainLeeway
}

// leave forgets the backend server and reports whether name was the one announced.
func (b *backend) leave(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.present || b.current.Name != name {
		return false
	}
	b.present = false
	b.left = !b.current.StartedAt.IsZero()
	return true
}

// crashed forgets incarnation and reports whether it was the current one.
func (b *backend) crashed(incarnation uint64) bool {
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
func (b *backend) at(now time.Time) (Announcement, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.incarnation, b.presentAt(now)
}
