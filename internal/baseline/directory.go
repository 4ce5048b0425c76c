package baseline

import (
	"net/netip"
	"sync"
)

// A Directory knows the targets of each service from its settings, whether they are up or not.
type Directory struct {
	mu       sync.RWMutex
	services []entry
}

type entry struct {
	service string
	targets []netip.AddrPort
}

// Add adds a target of service.
func (d *Directory) Add(service string, target netip.AddrPort) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.services {
		if d.services[i].service == service {
			d.services[i].targets = append(d.services[i].targets, target)
			return
		}
	}
	d.services = append(d.services, entry{service: service, targets: []netip.AddrPort{target}})
}

// Targets returns the targets of service.
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
