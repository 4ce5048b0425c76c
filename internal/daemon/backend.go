package daemon

import (
	"cmp"
	"net/netip"
	"sync"
	"time"

	"sapphirespread.example/internal/backend/connection"
	"sapphirespread.example/internal/membership/departure"
	"sapphirespread.example/internal/membership/target"
)

const (
	// drainGracePeriod is how long a draining backend server accepts calls from daemons that still consider it ready.
	drainGracePeriod = 500 * time.Millisecond
	// defaultAnnouncementLifetime tolerates the loss of two announcements at one per second.
	defaultAnnouncementLifetime = 3 * time.Second
)

// Announcement describes the backend server as it reports itself.
type Announcement struct {
	Name        string         `json:"name"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	State       target.State   `json:"state"`
	InFlight    int            `json:"in-flight"`
	Connections int            `json:"connections"`
	// StartedAt is the start time of the backend server, zero if unknown. An announcement with an earlier start time
	// belongs to a process that no longer runs.
	StartedAt time.Time `json:"-"`
	// ColdLeft is how much longer the backend server stays cold, zero if it isn't or doesn't say so.
	ColdLeft time.Duration `json:"-"`
	// Sequence orders the announcements of one process, or is zero if they arrive in order.
	Sequence uint64 `json:"-"`
}

// backend holds the last announcement and the incarnation of this daemon's backend server.
type backend struct {
	connections     *connection.Pool
	lifetime        time.Duration
	mu              sync.Mutex
	present         bool
	withdrawn       bool // the process withdrew its announcement and can't announce itself again
	current         Announcement
	incarnation     uint64
	baseIncarnation uint64
	startCount      uint64
	expiresAt       time.Time
	drainingSince   time.Time
	// recorded is the last departure that control has recorded.
	recorded departure.Departure
}

func newBackend(baseIncarnation uint64, lifetime time.Duration) *backend {
	return &backend{baseIncarnation: baseIncarnation, lifetime: cmp.Or(lifetime, defaultAnnouncementLifetime), connections: connection.NewPool()}
}

// supersededBy reports whether a is outdated because accepted is the same or a newer announcement.
func (a Announcement) supersededBy(accepted Announcement) bool {
	if a.Name != accepted.Name || !a.StartedAt.Equal(accepted.StartedAt) {
		return a.StartedAt.Before(accepted.StartedAt)
	}
	return a.Sequence != 0 && a.Sequence <= accepted.Sequence
}

// announce applies an announcement. It returns the current incarnation and reports whether that incarnation is new and
// whether the announcement was accepted.
func (b *backend) announce(now time.Time, announcement Announcement) (incarnation uint64, isNew, accepted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if announcement.supersededBy(b.current) || b.withdrawn && announcement.Name == b.current.Name && announcement.StartedAt.Equal(b.current.StartedAt) {
		return b.incarnation, false, false
	}
	isNew = !b.presentAt(now) || b.current.Name != announcement.Name || b.current.Address != announcement.Address || !announcement.StartedAt.Equal(b.current.StartedAt)
	if isNew {
		b.startCount++
		b.incarnation = b.baseIncarnation + b.startCount
	}
	if announcement.State == target.Draining && (isNew || b.current.State != target.Draining) {
		b.drainingSince = now
	}
	b.present, b.withdrawn = true, false
	b.current = announcement
	b.expiresAt = now.Add(b.lifetime)
	return b.incarnation, isNew, true
}

func (b *backend) presentAt(now time.Time) bool {
	return b.present && now.Before(b.expiresAt)
}

// refusesCalls reports whether the backend server has been draining for at least drainGracePeriod.
func (b *backend) refusesCalls(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current.State == target.Draining && now.Sub(b.drainingSince) >= drainGracePeriod
}

// withdraw removes the announcement of the process of name that started at startedAt, or of the announced one if that is
// zero, and reports whether it was announced. A process with a start time can't announce itself again, also if this daemon
// has not heard of it before.
func (b *backend) withdraw(name string, startedAt time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	wasPresent := b.present
	switch {
	case b.current.Name == name && (startedAt.IsZero() || startedAt.Equal(b.current.StartedAt)):
	case startedAt.After(b.current.StartedAt):
		wasPresent = false
		b.current = Announcement{Name: name, StartedAt: startedAt}
	default:
		return false
	}
	b.present = false
	b.withdrawn = !b.current.StartedAt.IsZero()
	return wasPresent
}

// departure returns the departure of the backend server, and reports whether it leaves without control having recorded
// that.
func (b *backend) departure() (departure.Departure, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	d := departure.Departure{Target: b.current.Name, StartedAt: b.current.StartedAt}
	switch {
	case b.withdrawn:
		d.Phase = departure.Left
	case b.current.State == target.Draining:
		d.Phase = departure.Draining
	}
	return d, d.Phase != departure.None && !d.StartedAt.IsZero() && d != b.recorded
}

// setRecorded notes that control has recorded d.
func (b *backend) setRecorded(d departure.Departure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recorded = d
}

// markCrashed removes the announcement of incarnation and reports whether it was the current one.
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

// announcementAt returns the announcement and its incarnation, and reports whether it is present and unexpired at now.
func (b *backend) announcementAt(now time.Time) (Announcement, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.incarnation, b.presentAt(now)
}
