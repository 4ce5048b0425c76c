package target

import (
	"slices"
	"strings"
	"time"
)

// A Registry holds the announced targets at the control leader. It is called by one goroutine.
type Registry struct {
	heartbeatTimeout time.Duration
	tombstoneAge     time.Duration
	settleUntil      time.Time
	settled          bool
	version          uint64
	wholeBelow       uint64 // a daemon behind this version needs the whole
	services         map[string]map[string]*record
	byName           map[string]*record
}

// NewRegistry returns an empty registry.
func NewRegistry(opts ...RegistryOption) *Registry {
	r := &Registry{
		heartbeatTimeout: defaultHeartbeatTimeout,
		tombstoneAge:     defaultTombstoneAge,
		settled:          true,
		version:          1,
		wholeBelow:       1,
		services:         make(map[string]map[string]*record),
		byName:           make(map[string]*record),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Announce takes one announcement, which also is a heartbeat. It reports false for an invalid one and
// for an incarnation that is older than the known one or has left.
func (r *Registry) Announce(now time.Time, t Target) bool {
	if t.Name == "" || t.Service == "" || !t.State.Valid() {
		return false
	}
	rec, known := r.byName[t.Name]
	if !known {
		rec = &record{target: t, heard: now}
		r.index(rec)
		r.appear(now, rec)
		return true
	}
	if t.Incarnation < rec.target.Incarnation || t.Incarnation == rec.target.Incarnation && rec.left {
		return false
	}
	r.update(now, rec, t)
	return true
}

// Leave removes a target at once; the incarnation and older ones can't come back.
func (r *Registry) Leave(now time.Time, name string, incarnation uint64) bool {
	rec, known := r.byName[name]
	if !known || incarnation < rec.target.Incarnation {
		return false
	}
	rec.target.Incarnation = incarnation
	rec.left = true
	rec.heard = now
	r.disappear(now, rec)
	return true
}

// Expire removes the targets whose heartbeat stopped, spreads those whose flap penalty has decayed, and
// returns the removed ones.
func (r *Registry) Expire(now time.Time) []Target {
	var expired []Target
	for _, rec := range r.sorted() {
		quiet := now.Sub(rec.heard)
		switch {
		case rec.present && quiet > r.heartbeatTimeout:
			r.disappear(now, rec)
			expired = append(expired, rec.target)
		case !rec.present && quiet > r.tombstoneAge:
			r.forget(rec)
		default:
			r.spread(now, rec)
		}
	}
	r.settle(now)
	return expired
}

// Version returns the version that the next delta leads to.
func (r *Registry) Version() uint64 {
	return r.version
}

// Targets returns all present targets in the order of their names.
func (r *Registry) Targets() []Target {
	var targets []Target
	for _, rec := range r.sorted() {
		if rec.present {
			targets = append(targets, rec.target)
		}
	}
	return targets
}

// Delta returns what changed after from in services, the version that it leads to, and whether it is the
// whole: then targets of it that aren't listed are gone. A daemon that starts to call another service
// asks from 0.
func (r *Registry) Delta(from uint64, services []string) (changes []Change, to uint64, whole bool) {
	whole = r.settled && (from == 0 || from < r.wholeBelow || from > r.version)
	for _, service := range services {
		for _, rec := range r.services[service] {
			switch {
			case rec.spread && (whole || from > r.version || rec.version > from):
				changes = append(changes, Change{Target: rec.target})
			case !rec.spread && !whole && rec.version > from:
				changes = append(changes, Change{Target: rec.target, Removed: true})
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Target.Name, b.Target.Name) })
	return changes, r.version, whole
}

func (r *Registry) update(now time.Time, rec *record, t Target) {
	before := rec.target
	reborn := t.Incarnation > before.Incarnation
	if !reborn {
		t.State = laterState(before.State, t.State)
	}
	rec.heard = now
	rec.target = t
	if t.Service != before.Service {
		r.move(now, rec, before.Service)
		return
	}
	if !rec.present || reborn {
		r.appear(now, rec)
		return
	}
	if !before.sameIdentity(t) || materialSlots(before.Slots, t.Slots) {
		r.mark(rec)
		return
	}
	rec.target.Slots = before.Slots
}

// move takes a target that changed its service out of the old one.
func (r *Registry) move(now time.Time, rec *record, old string) {
	gone := *rec
	gone.target.Service = old
	gone.present, gone.spread = false, false
	r.version++
	gone.version = r.version
	r.services[old][rec.target.Name] = &gone
	r.index(rec)
	r.appear(now, rec)
}

func (r *Registry) appear(now time.Time, rec *record) {
	rec.present, rec.left = true, false
	rec.flaps.add(now)
	held := rec.flaps.held(now)
	if rec.spread {
		rec.spread = !held
		r.mark(rec)
	}
	r.spread(now, rec)
}

// spread tells daemons of a present target unless it flaps.
func (r *Registry) spread(now time.Time, rec *record) {
	if !rec.present || rec.spread || rec.flaps.held(now) {
		return
	}
	rec.spread = true
	r.mark(rec)
}

func (r *Registry) disappear(now time.Time, rec *record) {
	rec.present = false
	rec.flaps.decay(now)
	if !rec.spread {
		return
	}
	rec.spread = false
	r.mark(rec)
}

func (r *Registry) mark(rec *record) {
	r.version++
	rec.version = r.version
}

// settle ends the additive time of a new leader: from here each daemon gets the whole once.
func (r *Registry) settle(now time.Time) {
	if r.settled || now.Before(r.settleUntil) {
		return
	}
	r.settled = true
	r.version++
	r.wholeBelow = r.version
}

func (r *Registry) index(rec *record) {
	service := r.services[rec.target.Service]
	if service == nil {
		service = make(map[string]*record)
		r.services[rec.target.Service] = service
	}
	service[rec.target.Name] = rec
	r.byName[rec.target.Name] = rec
}

// forget drops a record; daemons that have not heard of its end get the whole.
func (r *Registry) forget(rec *record) {
	delete(r.byName, rec.target.Name)
	delete(r.services[rec.target.Service], rec.target.Name)
	r.wholeBelow = max(r.wholeBelow, rec.version)
}

func (r *Registry) sorted() []*record {
	records := make([]*record, 0, len(r.byName))
	for _, rec := range r.byName {
		records = append(records, rec)
	}
	slices.SortFunc(records, func(a, b *record) int { return strings.Compare(a.target.Name, b.target.Name) })
	return records
}
