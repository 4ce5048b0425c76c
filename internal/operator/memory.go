package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/membership/evacuation"
)

// A Memory is an in-memory System without a cluster, which publishes by the same rules as a control instance.
type Memory struct {
	mu          sync.Mutex
	now         func() time.Time
	registry    *configuration.Registry
	targets     []Target
	quarantine  []QuarantineEntry
	evacuations *evacuation.Register
	members     []Member
	status      Status
	events      []byte
}

var _ System = (*Memory)(nil)

// NewMemory returns a Memory that takes the time of each publish from now.
func NewMemory(now func() time.Time, opts ...MemoryOption) *Memory {
	m := &Memory{now: now, registry: configuration.NewRegistry(), evacuations: evacuation.NewRegister()}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Publish publishes a set or changes to the registry.
func (m *Memory) Publish(_ context.Context, p configuration.PublishRequest) (configuration.PublishResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Publish(m.now(), p), nil
}

// Current returns the current revision of the registry.
func (m *Memory) Current(context.Context) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Revision{m.registry.Revision(), m.registry.Current()}, nil
}

// Revision returns a revision, or a Failure of kind NotFound if the registry does not keep it.
func (m *Memory) Revision(_ context.Context, number uint64) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	set, ok := m.registry.Set(number)
	if !ok {
		return Revision{}, NewFailure(NotFound, fmt.Sprintf("revision %d is not kept", number))
	}
	return Revision{number, set}, nil
}

// History returns the history of the registry.
func (m *Memory) History(context.Context) ([]configuration.HistoryEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.History(), nil
}

// Targets returns the targets set by WithTargets.
func (m *Memory) Targets(context.Context) ([]Target, error) { return m.targets, nil }

// Quarantine returns the entries that have not been released.
func (m *Memory) Quarantine(context.Context) ([]QuarantineEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.quarantine), nil
}

// Release removes a quarantine entry, or returns a Failure of kind NotFound.
func (m *Memory) Release(_ context.Context, fingerprint string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	index := slices.IndexFunc(m.quarantine, func(e QuarantineEntry) bool { return e.Fingerprint == fingerprint })
	if index < 0 {
		return NewFailure(NotFound, fmt.Sprintf("no entry has the fingerprint %s", fingerprint))
	}
	m.quarantine = slices.Delete(m.quarantine, index, index+1)
	return nil
}

// FailureDomains returns those out of use and those of the targets.
func (m *Memory) FailureDomains(context.Context) (FailureDomains, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make(map[string]int)
	for _, t := range m.targets {
		names[t.FailureDomain]++
	}
	state := m.evacuations.State(0)
	for _, name := range state.Domains {
		names[name] += 0
	}
	domains := FailureDomains{Version: state.Version}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		domains.Domains = append(domains.Domains, FailureDomain{Name: name, OutOfUse: state.Out(name), Targets: names[name]})
	}
	return domains, nil
}

// OrderFailureDomain applies an order, or returns a Failure of kind Invalid.
func (m *Memory) OrderFailureDomain(_ context.Context, order evacuation.Order) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := order.Validate(); err != nil {
		return NewFailure(Invalid, err.Error())
	}
	m.evacuations.Apply(m.now(), order)
	return nil
}

// Members returns the current members.
func (m *Memory) Members(context.Context) ([]Member, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.members), nil
}

// AddMember adds a learner, or returns a Failure of kind Invalid if the name is taken.
func (m *Memory) AddMember(_ context.Context, added NewMember) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.memberIndex(added.Name) >= 0 {
		return NewFailure(Invalid, fmt.Sprintf("a member is named %s already", added.Name))
	}
	m.members = append(m.members, Member{Name: added.Name, Address: added.Address, Role: RoleLearner})
	return nil
}

// PromoteMember makes a member a voter, or returns a Failure of kind NotFound.
func (m *Memory) PromoteMember(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	index := m.memberIndex(name)
	if index < 0 {
		return NewFailure(NotFound, fmt.Sprintf("no member is named %s", name))
	}
	m.members[index].Role = RoleVoter
	return nil
}

// RemoveMember removes a member, or returns a Failure of kind NotFound.
func (m *Memory) RemoveMember(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	index := m.memberIndex(name)
	if index < 0 {
		return NewFailure(NotFound, fmt.Sprintf("no member is named %s", name))
	}
	m.members = slices.Delete(m.members, index, index+1)
	return nil
}

// Status returns the status set by WithStatus with the current revision of the registry.
func (m *Memory) Status(context.Context) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	status := m.status
	status.Revision = m.registry.Revision()
	status.OutOfUse = m.evacuations.State(0).Domains
	return status, nil
}

// Timeline returns the events set by WithEvents.
func (m *Memory) Timeline(context.Context) (io.Reader, error) { return bytes.NewReader(m.events), nil }

// Ready returns nil, as a Memory can always serve.
func (m *Memory) Ready(context.Context) error { return nil }

func (m *Memory) memberIndex(name string) int {
	return slices.IndexFunc(m.members, func(member Member) bool { return member.Name == name })
}
