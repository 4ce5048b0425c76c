package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

const livenessProbePeriod = time.Second

// livenessProber pings the daemons of targets with calls in flight and no recent answer, so that a target with long
// runs is not considered silent.
type livenessProber struct {
	ping        func(netip.AddrPort) bool
	reportAlive func(now time.Time, target string)
	mu          sync.Mutex
	targets     map[string]*probedTarget
}

// probedTarget is a target with calls in flight.
type probedTarget struct {
	name     string
	address  netip.AddrPort
	inFlight int
	aliveAt  time.Time
}

func newLivenessProber(ping func(netip.AddrPort) bool, reportAlive func(time.Time, string)) *livenessProber {
	return &livenessProber{ping: ping, reportAlive: reportAlive, targets: make(map[string]*probedTarget)}
}

// sent records that a call was sent to the named target.
func (p *livenessProber) sent(now time.Time, name string, address netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.targets[name]
	if target == nil {
		target = &probedTarget{name: name, aliveAt: now}
		p.targets[name] = target
	}
	target.address = address
	target.inFlight++
}

// ended records the end of a call to the named target.
func (p *livenessProber) ended(now time.Time, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.targets[name]
	if target == nil {
		return
	}
	target.aliveAt = now
	if target.inFlight--; target.inFlight <= 0 {
		delete(p.targets, name)
	}
}

// run probes due targets every livenessProbePeriod until ctx ends.
func (p *livenessProber) run(ctx context.Context) {
	ticker := time.NewTicker(livenessProbePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, target := range p.due(now) {
				go p.probe(target)
			}
		}
	}
}

// due returns the targets that have not been known to be alive for livenessProbePeriod.
func (p *livenessProber) due(now time.Time) []probedTarget {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []probedTarget
	for _, target := range p.targets {
		if now.Sub(target.aliveAt) >= livenessProbePeriod {
			due = append(due, *target)
		}
	}
	return due
}

func (p *livenessProber) probe(target probedTarget) {
	if p.ping(target.address) {
		p.reportAlive(time.Now(), target.name)
	}
}
