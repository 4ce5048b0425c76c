package target

import (
	"slices"
	"strings"
	"sync"

	"github.com/joomcode/errorx"
)

var (
	namespace = errorx.NewNamespace("target")
	// ErrGap is the error type of a delta that does not continue from the table's epoch and version.
	ErrGap = namespace.NewType("gap")
	// ErrStale is the error type of a delta of an older epoch.
	ErrStale = namespace.NewType("stale")
)

// A TableOption configures a Table.
type TableOption func(*Table)

// A Table holds the targets that a daemon knows. Its entries stay while control is unreachable. It is safe for
// concurrent use.
type Table struct {
	mu       sync.Mutex // serializes deltas and events
	epoch    uint64
	version  uint64
	services shardedMap[[]*member]
	members  shardedMap[*member]
	onEvent  func(TableEvent)
}

// NewTable returns an empty table.
func NewTable(opts ...TableOption) *Table {
	t := &Table{onEvent: func(TableEvent) {}}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// WithTableEvents calls onEvent for each target that the table adds, removes or moves to another state. The table is
// locked during the call.
func WithTableEvents(onEvent func(TableEvent)) TableOption {
	return func(t *Table) { t.onEvent = onEvent }
}

// Version returns the epoch and version of the last applied delta.
func (t *Table) Version() (epoch, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.epoch, t.version
}

// Apply applies a delta of the control leader of epoch, which leads from version from to version to. A delta that was
// already applied changes nothing. The error is of type ErrStale if epoch is older than the table's, and of type ErrGap
// if a delta in between is missing.
func (t *Table) Apply(epoch, from, to uint64, full bool, changes []Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case epoch < t.epoch:
		return ErrStale.New("delta of epoch %d is older than the table's epoch %d", epoch, t.epoch)
	// A delta from version 0, which adds another service, may lead to the table's version.
	case epoch == t.epoch && (to < t.version || to == t.version && !full && from > 0):
		return nil
	case !full && from > 0 && (epoch > t.epoch || from > t.version):
		return ErrGap.New("delta starts at version %d of epoch %d, but the table is at version %d of epoch %d", from, epoch, t.version, t.epoch)
	}
	t.epoch, t.version = epoch, to
	if full {
		t.removeUnlisted(changes)
	}
	populated := t.populatedServices(changes)
	for _, change := range changes {
		if change.Removed {
			t.remove(change.Target)
		} else {
			t.set(change.Target, populated[change.Target.Service])
		}
	}
	return nil
}

// Targets returns the targets of service, sorted by name.
func (t *Table) Targets(service string) []Target {
	members, _ := t.services.get(service)
	targets := make([]Target, 0, len(members))
	for _, m := range members {
		target := *m.target()
		if m.drained.Load() {
			target.State = Draining
		}
		targets = append(targets, target)
	}
	return targets
}

// MarkDraining marks an incarnation of a target as draining after one of its answers said so.
func (t *Table) MarkDraining(name string, incarnation uint64) {
	m, known := t.members.get(name)
	if !known || m.target().Incarnation > incarnation || m.drained.Swap(true) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notify(TargetReportedDraining, *m.target())
}

// notify passes an event with the table's epoch and version to onEvent.
func (t *Table) notify(kind TableEventKind, target Target) {
	t.onEvent(TableEvent{Kind: kind, Target: target, Epoch: t.epoch, Version: t.version})
}

func (t *Table) populatedServices(changes []Change) map[string]bool {
	populated := make(map[string]bool)
	for _, change := range changes {
		members, _ := t.services.get(change.Target.Service)
		populated[change.Target.Service] = len(members) > 0
	}
	return populated
}

func (t *Table) set(target Target, needsSlowStart bool) {
	m, known := t.members.get(target.Name)
	if known && m.target().Incarnation > target.Incarnation {
		return
	}
	if known && m.target().Incarnation == target.Incarnation && m.target().Service == target.Service {
		if previous := m.target().State; m.update(target) != previous {
			t.notify(TargetStateChanged, *m.target())
		}
		return
	}
	if known {
		t.remove(*m.target())
	}
	t.notify(TargetAdded, target)
	added := newMember(target, needsSlowStart, t.routingOf(target.Service))
	t.members.update(target.Name, func(*member, bool) (*member, bool) { return added, true })
	t.services.update(target.Service, func(old []*member, _ bool) ([]*member, bool) {
		members := append(slices.Clone(old), added)
		slices.SortFunc(members, func(a, b *member) int {
			return strings.Compare(a.target().Name, b.target().Name)
		})
		return members, true
	})
}

// routingOf returns the routing state of service, which lasts as long as it has targets.
func (t *Table) routingOf(service string) *serviceRouting {
	if members, _ := t.services.get(service); len(members) > 0 {
		return members[0].routing
	}
	return &serviceRouting{}
}

func (t *Table) remove(target Target) {
	m, known := t.members.get(target.Name)
	if !known || m.target().Service != target.Service || m.target().Incarnation > target.Incarnation {
		return
	}
	t.notify(TargetRemoved, *m.target())
	t.members.update(target.Name, func(*member, bool) (*member, bool) { return nil, false })
	t.services.update(target.Service, func(old []*member, _ bool) ([]*member, bool) {
		members := slices.DeleteFunc(slices.Clone(old), func(other *member) bool { return other == m })
		return members, len(members) > 0
	})
}

func (t *Table) removeUnlisted(changes []Change) {
	listed := make(map[string]bool, len(changes))
	for _, change := range changes {
		if !change.Removed {
			listed[change.Target.Name] = true
		}
	}
	var unlisted []Target
	t.members.forEach(func(name string, m *member) bool {
		if !listed[name] {
			unlisted = append(unlisted, *m.target())
		}
		return true
	})
	for _, target := range unlisted {
		t.remove(target)
	}
}
