package operator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"sapphirespread.example/configuration"
)

// Memory is a System in one process without a cluster; its publishing is that of a control instance.
type Memory struct {
	mu         sync.Mutex
	now        func() time.Time
	registry   *configuration.Registry
	targets    []Target
	quarantine []QuarantineEntry
	members    []Member
	status     Status
	events     []byte
}

var _ System = (*Memory)(nil)

// NewMemory returns a Memory that reads the time of each publish from now.
func NewMemory(now func() time.Time, opts ...MemoryOption) *Memory {
	m := &Memory{now: now, registry: configuration.NewRegistry()}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Publish publishes to the registry.
func (m *Memory) Publish(_ context.Context, p configuration.PublishRequest) (configuration.PublishResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Publish(m.now(), p), nil
}

// Current returns the registry's current revision.
func (m *Memory) Current(context.Context) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Revision{m.registry.Revision(), m.registry.Current()}, nil
}

// Revision returns a revision of the registry.
func (m *Memory) Revision(_ context.Context, number uint64) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	set, ok := m.registry.Set(number)
	if !ok {
		return Revision{}, NewFailure(NotFound, fmt.Sprintf("revision %d is not kept", number))
	}
	return Revision{number, set}, nil
}

// History returns the registry's history.
func (m *Memory) History(context.Context) ([]configuration.HistoryEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.History(), nil
}

// Targets returns the targets.
func (m *Memory) Targets(context.Context) ([]Target, error) { return m.targets, nil }

// Quarantine returns the entries.
func (m *Memory) Quarantine(context.Context) ([]QuarantineEntry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.quarantine), nil
}

// Release removes an entry.
func (m *Memory) Release(_ context.Context, fingerprint string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := slices.IndexFunc(m.quarantine, func(e QuarantineEntry) bool { return e.Fingerprint == fingerprint })
	if at < 0 {
		return NewFailure(NotFound, fmt.Sprintf("no entry has the fingerprint %s", fingerprint))
	}
	m.quarantine = slices.Delete(m.quarantine, at, at+1)
	return nil
}

// Members returns the members.
func (m *Memory) Members(context.Context) ([]Member, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.members), nil
}

// AddMember adds a learner.
func (m *Memory) AddMember(_ context.Context, added NewMember) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.find(added.Name) >= 0 {
		return NewFailure(Invalid, fmt.Sprintf("a member is named %s already", added.Name))
	}
	m.members = append(m.members, Member{Name: added.Name, Address: added.Address, Role: RoleLearner})
	return nil
}

// PromoteMember makes a learner a voter.
func (m *Memory) PromoteMember(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.find(name)
	if at < 0 {
		return NewFailure(NotFound, fmt.Sprintf("no member is named %s", name))
	}
	m.members[at].Role = RoleVoter
	return nil
}

// RemoveMember removes a member.
func (m *Memory) RemoveMember(_ context.Context, name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.find(name)
	if at < 0 {
		return NewFailure(NotFound, fmt.Sprintf("no member is named %s", name))
	}
	m.members = slices.Delete(m.members, at, at+1)
	return nil
}

// Status returns the status with the registry's revision.
func (m *Memory) Status(context.Context) (Status, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	status := m.status
	status.Revision = m.registry.Revision()
	return status, nil
}

// Timeline returns the events.
func (m *Memory) Timeline(context.Context) (io.Reader, error) { return bytes.NewReader(m.events), nil }

// Ready returns nil.
func (m *Memory) Ready(context.Context) error { return nil }

func (m *Memory) find(name string) int {
	return slices.IndexFunc(m.members, func(member Member) bool { return member.Name == name })
}
