package daemon

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"sapphirespread.example/internal/membership/target"
)

const (
	announcementLifetime = 3 * time.Second
	backendDialTimeout   = time.Second
	maxIdleBackendConns  = 1024
	idleBackendTimeout   = 90 * time.Second
)

// An announcement is what the backend server says of itself.
type announcement struct {
	Name        string         `json:"name"`
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	Slots       int            `json:"slots"`
	State       target.State   `json:"state"`
	InFlight    int            `json:"in-flight"`
	Connections int            `json:"connections"`
}

// A backend is the backend server beside this daemon as it last announced itself.
type backend struct {
	transport   *http.Transport
	mu          sync.Mutex
	present     bool
	current     announcement
	incarnation uint64
	base        uint64
	starts      uint64
	expiresAt   time.Time
}

func newBackend(base uint64) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &backend{
		base: base,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdleBackendConns,
			MaxIdleConnsPerHost: maxIdleBackendConns,
			IdleConnTimeout:     idleBackendTimeout,
			DisableCompression:  true,
		},
	}
}

// announce takes an announcement and returns the incarnation, and whether it is new.
func (b *backend) announce(now time.Time, said announcement) (uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	started := !b.presentAt(now) || b.current.Name != said.Name || b.current.Address != said.Address
	if started {
		b.starts++
		b.incarnation = b.base + b.starts
	}
	b.present = true
	b.current = said
	b.expiresAt = now.Add(announcementLifetime)
	return b.incarnation, started
}

func (b *backend) presentAt(now time.Time) bool {
	return b.present && now.Before(b.expiresAt)
}

// leave forgets the backend server and reports whether name was the one announced.
func (b *backend) leave(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.present || b.current.Name != name {
		return false
	}
	b.present = false
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
	b.transport.CloseIdleConnections()
	return true
}

// at returns the announcement and incarnation in force at now.
func (b *backend) at(now time.Time) (announcement, uint64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current, b.incarnation, b.presentAt(now)
}
