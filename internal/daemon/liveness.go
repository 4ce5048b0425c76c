package daemon

import (
	"context"
	"net/netip"
	"sync"
	"time"
)

const livenessPeriod = time.Second

// A liveness asks the daemons of targets that have calls in flight and have not answered lately for a sign of life,
// so that a target with long runs is not taken for a silent one.
type liveness struct {
	ping    func(netip.AddrPort) bool
	heard   func(now time.Time, target string)
	mu      sync.Mutex
	targets map[string]*liveTarget
}

// A liveTarget is a target with calls in flight.
type liveTarget struct {
	name     string
	address  netip.AddrPort
	inFlight int
	heardAt  time.Time
}

func newLiveness(ping func(netip.AddrPort) bool, heard func(time.Time, string)) *liveness {
	return &liveness{ping: ping, heard: heard, targets: make(map[string]*liveTarget)}
}

// sent notes a call sent to a target.
func (l *liveness) sent(now time.Time, name string, address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.targets[name]
	if target == nil {
		target = &liveTarget{name: name, heardAt: now}
		l.targets[name] = target
	}
	target.address = address
	target.inFlight++
}

// ended notes the end of a call to a target.
func (l *liveness) ended(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	target := l.targets[name]
	if target == nil {
		return
	}
	target.heardAt = now
	if target.inFlight--; target.inFlight <= 0 {
		delete(l.targets, name)
	}
}

// run asks each second until ctx ends.
func (l *liveness) run(ctx context.Context) {
	ticker := time.NewTicker(livenessPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			for _, target := range l.due(now) {
				go l.ask(target)
			}
		}
	}
}

// due returns the targets to be asked at now.
func (l *liveness) due(now time.Time) []liveTarget {
	l.mu.Lock()
	defer l.mu.Unlock()
	var due []liveTarget
	for _, target := range l.targets {
		if now.Sub(target.heardAt) >= livenessPeriod {
			due = append(due, *target)
		}
	}
	return due
}

func (l *liveness) ask(target liveTarget) {
	if l.ping(target.address) {
		l.heard(time.Now(), target.name)
	}
}
