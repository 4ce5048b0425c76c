package target

import (
	"slices"
	"strings"
	"time"
)

// A Registry holds the targets announced to the control leader. It is not safe for concurrent use.
type Registry struct {
	heartbeatTimeout time.Duration
	tombstoneAge     time.Duration
	settleUntil      time.Time
	settled          bool
	version          uint64
	fullBelow        uint64 // a daemon behind this version needs a full delta
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
		fullBelow:        1,
		services:         make(map[string]map[string]*record),
		byName:           make(map[string]*record),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Announce records an announcement, which also counts as a heartbeat. It reports false if the announcement is invalid,
// or its incarnation is older than the known one or has left.
func (r *Registry) Announce(now time.Time, t Target) bool {
	if t.Name == "" || t.Service == "" || !t.State.Valid() {
		return false
	}
	rec, known := r.byName[t.Name]
	if !known {
		rec = &record{target: t, lastHeartbeat: now}
		r.index(rec)
		r.markPresent(now, rec)
		return true
	}
	if t.Incarnation < rec.target.Incarnation || t.Incarnation == rec.target.Incarnation && rec.left {
		return false
	}
	r.update(now, rec, t)
	return true
}

// Leave removes a target at once. That incarnation and older ones can't rejoin. It reports false if the target is
// unknown or known with a newer incarnation.
func (r *Registry) Leave(now time.Time, name string, incarnation uint64) bool {
	rec, known := r.byName[name]
	if !known || incarnation < rec.target.Incarnation {
		return false
	}
	rec.target.Incarnation = incarnation
	rec.left = true
	rec.lastHeartbeat = now
	r.markAbsent(now, rec)
	return true
}

// StartTime returns the start time of the process that announced name last, zero if unknown.
func (r *Registry) StartTime(name string) time.Time {
	rec, known := r.byName[name]
	if !known {
		return time.Time{}
	}
	return rec.target.StartedAt
}

// Expire removes the targets whose heartbeats have stopped and returns them. It also advertises targets whose flap
// penalty has decayed, purges old tombstones, and ends the settling period once it is over.
func (r *Registry) Expire(now time.Time) []Target {
	var expired []Target
	for _, rec := range r.sortedRecords() {
		silence := now.Sub(rec.lastHeartbeat)
		switch {
		case rec.present && silence > r.heartbeatTimeout:
			r.markAbsent(now, rec)
			expired = append(expired, rec.target)
		case !rec.present && silence > r.tombstoneAge:
			r.purge(rec)
		default:
			r.advertise(now, rec)
		}
	}
	r.purgeMoved(now)
	r.endSettling(now)
	return expired
}

// purgeMoved deletes the tombstones that targets left in their old services.
func (r *Registry) purgeMoved(now time.Time) {
	for service, records := range r.services {
		for name, rec := range records {
			if rec != r.byName[name] && now.Sub(rec.lastHeartbeat) > r.tombstoneAge {
				delete(records, name)
				r.fullBelow = max(r.fullBelow, rec.version)
			}
		}
		if len(records) == 0 {
			delete(r.services, service)
		}
	}
}

// Version returns the version that a daemon reaches by applying the next delta.
func (r *Registry) Version() uint64 {
	return r.version
}

// Targets returns all present targets, sorted by name.
func (r *Registry) Targets() []Target {
	var targets []Target
	for _, rec := range r.sortedRecords() {
		if rec.present {
			targets = append(targets, rec.target)
		}
	}
	return targets
}

// Delta returns the changes to the targets of services after version from, and the version that they lead to. A full
// delta lists all advertised targets of services, and the daemon removes the others. A daemon that starts to call
// another service requests a delta from version 0.
func (r *Registry) Delta(from uint64, services []string) (changes []Change, to uint64, full bool) {
	full = r.settled && (from == 0 || from < r.fullBelow || from > r.version)
	for _, service := range services {
		for _, rec := range r.services[service] {
			switch {
			case rec.advertised && (full || from > r.version || rec.version > from):
				changes = append(changes, Change{Target: rec.target})
			case !rec.advertised && !full && rec.version > from:
				changes = append(changes, Change{Target: rec.target, Removed: true})
			}
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.Target.Name, b.Target.Name) })
	return changes, r.version, full
}

func (r *Registry) update(now time.Time, rec *record, t Target) {
	before := rec.target
	restarted := t.Incarnation > before.Incarnation
	if !restarted {
		t.State = laterState(before.State, t.State)
	}
	rec.lastHeartbeat = now
	rec.target = t
	if t.Service != before.Service {
		r.moveService(now, rec, before.Service)
		return
	}
	if !rec.present || restarted {
		r.markPresent(now, rec)
		return
	}
	if !before.equalIgnoringLoad(t) || slotsChangedMaterially(before.Slots, t.Slots) {
		r.bumpVersion(rec)
		return
	}
	rec.target.Slots = before.Slots
}

// moveService moves a target to its new service and leaves a tombstone in the old one.
func (r *Registry) moveService(now time.Time, rec *record, oldService string) {
	tombstone := *rec
	tombstone.target.Service = oldService
	tombstone.present, tombstone.advertised = false, false
	r.version++
	tombstone.version = r.version
	r.services[oldService][rec.target.Name] = &tombstone
	r.index(rec)
	r.markPresent(now, rec)
}

func (r *Registry) markPresent(now time.Time, rec *record) {
	rec.present, rec.left = true, false
	rec.penalty.add(now)
	suppressed := rec.penalty.isSuppressed(now)
	if rec.advertised {
		rec.advertised = !suppressed
		r.bumpVersion(rec)
	}
	r.advertise(now, rec)
}

// advertise lists a present target in deltas unless its flap penalty suppresses it.
func (r *Registry) advertise(now time.Time, rec *record) {
	if !rec.present || rec.advertised || rec.penalty.isSuppressed(now) {
		return
	}
	rec.advertised = true
	r.bumpVersion(rec)
}

func (r *Registry) markAbsent(now time.Time, rec *record) {
	rec.present = false
	rec.penalty.decay(now)
	if !rec.advertised {
		return
	}
	rec.advertised = false
	r.bumpVersion(rec)
}

func (r *Registry) bumpVersion(rec *record) {
	r.version++
	rec.version = r.version
}

// endSettling ends the settling period of a new leader, in which no delta is full. The next delta of each daemon is
// full.
func (r *Registry) endSettling(now time.Time) {
	if r.settled || now.Before(r.settleUntil) {
		return
	}
	r.settled = true
	r.version++
	r.fullBelow = r.version
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

// purge deletes a record. Daemons that have not received its removal get a full delta.
func (r *Registry) purge(rec *record) {
	delete(r.byName, rec.target.Name)
	delete(r.services[rec.target.Service], rec.target.Name)
	r.fullBelow = max(r.fullBelow, rec.version)
}

func (r *Registry) sortedRecords() []*record {
	records := make([]*record, 0, len(r.byName))
	for _, rec := range r.byName {
		records = append(records, rec)
	}
	slices.SortFunc(records, func(a, b *record) int { return strings.Compare(a.target.Name, b.target.Name) })
	return records
}
