package baseline

import (
	"net/netip"
	"sync"
)

// Directory holds the configured targets of each service, regardless of whether they are up.
type Directory struct {
	mu       sync.RWMutex
	services []serviceTargets
}

type serviceTargets struct {
	service string
	targets []netip.AddrPort
}

// Add registers target for service.
func (d *Directory) Add(service string, target netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.services {
		if d.services[i].service == service {
			d.services[i].targets = append(d.services[i].targets, target)
			return
		}
	}
	d.services = append(d.services, serviceTargets{service: service, targets: []netip.AddrPort{target}})
}

// Targets returns the targets of service, or nil if it has none.
func (d *Directory) Targets(service string) []netip.AddrPort {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, entry := range d.services {
		if entry.service == service {
			return entry.targets
		}
	}
	return nil
}
