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

// Timeline returns the kept events, one in JSON a line.
func (c *Control) Timeline(context.Context) (io.Reader, error) {
	var lines bytes.Buffer
	if err := timeline.WriteJSON(&lines, c.ring.Events()); err != nil {
		return nil, err
	}
	return &lines, nil
}

// Ready fails while sessions of daemons can neither be served here nor relayed to a leader.
func (c *Control) Ready(context.Context) error {
	if c.readiness().Ready {
		return nil
	}
	return operator.NewFailure(operator.NotReady, "no leader is known")
}

// leading fails with NotLeader where this instance cannot show the leader lease.
func (c *Control) leading(ctx context.Context) error {
	if c.store.Lease(boottime.Now()) {
		return nil
	}
	return c.notLeader(ctx)
}

// Current returns the revision in force.
func (c *Control) Current(ctx context.Context) (operator.Revision, error) {
	var current operator.Revision
	c.store.Read(func() {
		current.Number = c.state.configuration.Revision()
		current.Set = c.state.configuration.Current()
	})
	return current, c.leading(ctx)
}

// Revision returns a kept revision.
func (c *Control) Revision(ctx context.Context, number uint64) (operator.Revision, error) {
	kept := operator.Revision{Number: number}
	var known bool
	c.store.Read(func() { kept.Set, known = c.state.configuration.Set(number) })
	if err := c.leading(ctx); err != nil {
		return kept, err
	}
	if !known {
		return kept, operator.NewFailure(operator.NotFound, fmt.Sprintf("revision %d is not kept", number))
	}
	return kept, nil
}

// History returns the published revisions.
func (c *Control) History(ctx context.Context) ([]configuration.HistoryEntry, error) {
	var history []configuration.HistoryEntry
	c.store.Read(func() { history = c.state.configuration.History() })
	return history, c.leading(ctx)
}

// Targets returns the announced targets.
func (c *Control) Targets(ctx context.Context) ([]operator.Target, error) {
	l := c.leadership.Load()
	if l == nil {
		return nil, c.notLeader(ctx)
	}
	l.targetMu.Lock()
	known := l.targets.Targets()
	l.targetMu.Unlock()
	targets := make([]operator.Target, 0, len(known))
	for _, t := range known {
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
	return targets, c.leading(ctx)
}

// Quarantine returns the suspected and quarantined requests.
func (c *Control) Quarantine(ctx context.Context) ([]operator.QuarantineEntry, error) {
	var held []quarantine.Entry
	c.store.Read(func() { held = c.state.quarantine.Entries() })
	now := boottime.Now()
	entries := make([]operator.QuarantineEntry, 0, len(held))
	for _, entry := range held {
		shown := operator.QuarantineEntry{
			Fingerprint: entry.Fingerprint.String(),
			State:       string(entry.State),
			Remaining:   max(entry.Until.Sub(now), 0),
		}
		for _, crash := range entry.Crashes {
			shown.Crashes = append(shown.Crashes, crash.ID)
		}
		entries = append(entries, shown)
	}
	return entries, c.leading(ctx)
}

// Release clears a suspected or quarantined request.
func (c *Control) Release(ctx context.Context, fingerprint string) error {
	parsed, err := quarantine.ParseFingerprint(fingerprint)
	if err != nil {
		return operator.NewFailure(operator.Invalid, err.Error())
	}
	release := &controlpb.QuarantineRelease{Fingerprint: parsed[:]}
	result, err := c.proposeCommand(&controlpb.Command{Body: &controlpb.Command_Release{Release: release}})
	if err != nil {
		return c.failure(ctx, err)
	}
	if !result.GetDone() {
		return operator.NewFailure(operator.NotFound, "no such request is held")
	}
	c.record("quarantine", "request "+fingerprint+" released by an operator")
	if l := c.leadership.Load(); l != nil {
		l.wake()
	}
	return nil
}

// Status tells what this instance knows of the cluster.
func (c *Control) Status(ctx context.Context) (operator.Status, error) {
	kept := c.store.Status()
	status := operator.Status{
		Process: c.settings.Name,
		Cluster: c.settings.Cluster,
		Term:    kept.Term,
		Applied: kept.Applied,
	}
	if leader, _, known := c.store.Leader(); known {
		status.Leader = leader
		status.LeaderAddress = c.leaderOperatorsAddress(ctx)
	}
	c.store.Read(func() { status.Revision = c.state.configuration.Revision() })
	if l := c.leadership.Load(); l != nil {
		status.Daemons = daemonsOf(l)
	}
	return status, nil
}

func daemonsOf(l *leadership) []operator.Daemon {
	var daemons []operator.Daemon
	for _, s := range l.all() {
		address, _ := netip.ParseAddrPort(s.info.GetOperatorsAddress())
		daemons = append(daemons, operator.Daemon{
			Name:             s.daemon,
			FailureDomain:    s.info.GetFailureDomain(),
			Revision:         s.revision.Load(),
			OperatorsAddress: address,
		})
	}
	return daemons
}

// failure turns an error of the store into what operators are told.
func (c *Control) failure(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, store.ErrNotLeader):
		return c.notLeader(ctx)
	case errors.Is(err, store.ErrTooLarge):
		return operator.NewFailure(operator.Invalid, err.Error())
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrBusy),
		errors.Is(err, store.ErrForming), errors.Is(err, store.ErrStopped):
		return operator.NewFailure(operator.Unavailable, err.Error())
	default:
		return err
	}
}

// notLeader returns the failure that names the leader where it is known.
func (c *Control) notLeader(ctx context.Context) error {
	failure := operator.NewFailure(operator.NotLeader, "another instance leads, or none does")
	leader, _, known := c.store.Leader()
	if !known || leader == c.settings.Name {
		return failure
	}
	failure.Leader = leader
	failure.LeaderAddress = c.leaderOperatorsAddress(ctx)
	return failure
}

const kindOperators = "operators-address"

// leaderOperatorsAddress asks the leader where it serves operators.
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
	stream, err := c.pool.Open(ctx, address, kindOperators)
	if err != nil {
		return netip.AddrPort{}
	}
	defer stream.Abort()
	_ = stream.SetReadDeadline(time.Now().Add(attachTimeout))
	var said peerpb.Redirect
	if stream.Receive(&said) != nil {
		return netip.AddrPort{}
	}
	operators, _ := netip.ParseAddrPort(said.GetAddress())
	return operators
}
