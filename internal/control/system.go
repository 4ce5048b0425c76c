package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/operator"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/internal/store"
	"sapphirespread.example/quarantine"
	"sapphirespread.example/timeline"
)

var _ operator.System = (*Control)(nil)

// Timeline returns the kept time-line events as JSON, one event per line.
func (c *Control) Timeline(context.Context) (io.Reader, error) {
	var lines bytes.Buffer
	if err := timeline.WriteJSON(&lines, c.ring.Events()); err != nil {
		return nil, err
	}
	return &lines, nil
}

// Ready fails with NotReady if this instance can neither serve daemon sessions nor relay them to a leader.
func (c *Control) Ready(context.Context) error {
	if c.readiness().Ready {
		return nil
	}
	return operator.NewFailure(operator.NotReady, "no leader is known")
}

// requireLease fails with NotLeader if this instance does not hold the leader lease.
func (c *Control) requireLease(ctx context.Context) error {
	if c.store.HoldsLease(boottime.Now()) {
		return nil
	}
	return c.notLeaderFailure(ctx)
}

// Current returns the configuration revision in force.
func (c *Control) Current(ctx context.Context) (operator.Revision, error) {
	var current operator.Revision
	c.store.Read(func() {
		current.Number = c.state.configuration.Revision()
		current.Set = c.state.configuration.Current()
	})
	return current, c.requireLease(ctx)
}

// Revision returns a configuration revision, and fails with NotFound if it is no longer kept.
func (c *Control) Revision(ctx context.Context, number uint64) (operator.Revision, error) {
	kept := operator.Revision{Number: number}
	var known bool
	c.store.Read(func() { kept.Set, known = c.state.configuration.Set(number) })
	if err := c.requireLease(ctx); err != nil {
		return kept, err
	}
	if !known {
		return kept, operator.NewFailure(operator.NotFound, fmt.Sprintf("revision %d is not kept", number))
	}
	return kept, nil
}

// History returns the published configuration revisions.
func (c *Control) History(ctx context.Context) ([]configuration.HistoryEntry, error) {
	var history []configuration.HistoryEntry
	c.store.Read(func() { history = c.state.configuration.History() })
	return history, c.requireLease(ctx)
}

// Targets returns the announced targets.
func (c *Control) Targets(ctx context.Context) ([]operator.Target, error) {
	l := c.leadership.Load()
	if l == nil {
		return nil, c.notLeaderFailure(ctx)
	}
	l.targetMu.Lock()
	announced := l.targets.Targets()
	l.targetMu.Unlock()
	targets := make([]operator.Target, 0, len(announced))
	for _, t := range announced {
		targets = append(targets, operator.Target{
			Name:          t.Name,
			Service:       t.Service,
			FailureDomain: t.FailureDomain,
			Daemon:        t.Daemon,
			Address:       t.Peer,
			Incarnation:   t.Incarnation,
			State:         string(t.State),
			Slots:         t.Slots,
			InFlight:      t.InFlight,
			Connections:   t.Connections,
		})
	}
	return targets, c.requireLease(ctx)
}

// Quarantine returns the suspected and quarantined requests.
func (c *Control) Quarantine(ctx context.Context) ([]operator.QuarantineEntry, error) {
	var quarantined []quarantine.Entry
	c.store.Read(func() { quarantined = c.state.quarantine.Entries() })
	now := boottime.Now()
	entries := make([]operator.QuarantineEntry, 0, len(quarantined))
	for _, entry := range quarantined {
		shownEntry := operator.QuarantineEntry{
			Fingerprint: entry.Fingerprint.String(),
			State:       string(entry.State),
			Remaining:   max(entry.Until.Sub(now), 0),
		}
		for _, crash := range entry.Crashes {
			shownEntry.Crashes = append(shownEntry.Crashes, crash.ID)
		}
		entries = append(entries, shownEntry)
	}
	return entries, c.requireLease(ctx)
}

// Release removes a suspected or quarantined request from the quarantine, and fails with NotFound if it is not there.
func (c *Control) Release(ctx context.Context, fingerprint string) error {
	parsed, err := quarantine.ParseFingerprint(fingerprint)
	if err != nil {
		return operator.NewFailure(operator.Invalid, err.Error())
	}
	release := &controlpb.QuarantineRelease{Fingerprint: parsed[:]}
	result, err := c.proposeCommand(&controlpb.Command{Body: &controlpb.Command_Release{Release: release}})
	if err != nil {
		return c.operatorFailure(ctx, err)
	}
	if !result.GetDone() {
		return operator.NewFailure(operator.NotFound, "no such request is held")
	}
	c.record("quarantine", "request "+fingerprint+" released by an operator")
	if l := c.leadership.Load(); l != nil {
		l.wakeSessions()
	}
	return nil
}

// Status returns the status of the cluster as known to this instance.
func (c *Control) Status(ctx context.Context) (operator.Status, error) {
	replicated := c.store.Status()
	status := operator.Status{
		Process: c.settings.Name,
		Cluster: c.settings.Cluster,
		Term:    replicated.Term,
		Applied: replicated.Applied,
	}
	if leader, _, known := c.store.Leader(); known {
		status.Leader = leader
		status.LeaderAddress = c.leaderOperatorsAddress(ctx)
	}
	c.store.Read(func() { status.Revision = c.state.configuration.Revision() })
	status.OutOfUse = c.evacuations(0).Domains
	if l := c.leadership.Load(); l != nil {
		status.Daemons = daemonsOf(l)
	}
	return status, nil
}

func daemonsOf(l *leadership) []operator.Daemon {
	var daemons []operator.Daemon
	for _, s := range l.allSessions() {
		address, _ := netip.ParseAddrPort(s.attach.GetOperatorsAddress())
		daemons = append(daemons, operator.Daemon{
			Name:             s.daemon,
			FailureDomain:    s.attach.GetFailureDomain(),
			Revision:         s.revision.Load(),
			OperatorsAddress: address,
		})
	}
	return daemons
}

// operatorFailure converts an error of the store to an operator failure. It returns other errors unchanged.
func (c *Control) operatorFailure(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, store.ErrNotLeader):
		return c.notLeaderFailure(ctx)
	case errors.Is(err, store.ErrTooLarge):
		return operator.NewFailure(operator.Invalid, err.Error())
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrBusy),
		errors.Is(err, store.ErrForming), errors.Is(err, store.ErrStopped):
		return operator.NewFailure(operator.Unavailable, err.Error())
	default:
		return err
	}
}

// notLeaderFailure returns a NotLeader failure, which names the leader if another instance is known to lead.
func (c *Control) notLeaderFailure(ctx context.Context) error {
	failure := operator.NewFailure(operator.NotLeader, "another instance leads, or none does")
	leader, _, known := c.store.Leader()
	if !known || leader == c.settings.Name {
		return failure
	}
	failure.Leader = leader
	failure.LeaderAddress = c.leaderOperatorsAddress(ctx)
	return failure
}

const kindOperatorsAddress = "operators-address"

// leaderOperatorsAddress requests the address of the operator API from the leader. It returns the zero address if the
// leader is unknown or unreachable.
func (c *Control) leaderOperatorsAddress(ctx context.Context) netip.AddrPort {
	name, address, known := c.store.Leader()
	if !known {
		return netip.AddrPort{}
	}
	if name == c.settings.Name {
		return c.OperatorsAddress()
	}
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	stream, err := c.pool.Open(ctx, address, kindOperatorsAddress)
	if err != nil {
		return netip.AddrPort{}
	}
	defer stream.Abort()
	_ = stream.SetReadDeadline(time.Now().Add(attachTimeout))
	var redirect peerpb.Redirect
	if stream.Receive(&redirect) != nil {
		return netip.AddrPort{}
	}
	operators, _ := netip.ParseAddrPort(redirect.GetAddress())
	return operators
}
