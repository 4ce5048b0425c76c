package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"sapphirespread.example/internal/control/controlpb"
	"sapphirespread.example/internal/host/boottime"
	"sapphirespread.example/internal/membership/evacuation"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/operator"
	"sapphirespread.example/internal/peer/peerpb"
)

// OrderFailureDomain takes a failure domain out of use, or back into use, and returns once the order is committed. An order
// that holds already succeeds again. It fails with NotLeader if this instance does not lead, with Invalid if the order
// can't be taken, and with Unavailable if its outcome is unknown.
func (c *Control) OrderFailureDomain(ctx context.Context, order evacuation.Order) error {
	if err := order.Validate(); err != nil {
		return operator.NewFailure(operator.Invalid, err.Error())
	}
	if !c.store.HoldsLease(boottime.Now()) {
		return c.notLeaderFailure(ctx)
	}
	before := c.evacuations(0).Version
	if err := c.commitOrder(ctx, order); err != nil {
		return err
	}
	after := c.evacuations(0).Version
	if l := c.leadership.Load(); l != nil {
		l.wakeSessions()
	}
	c.record("membership", fmt.Sprintf("failure domain %s out of use: %t", order.Domain, order.Out))
	c.logger.Info().Str("failure-domain", order.Domain).Bool("out-of-use", order.Out).Uint64("version", after).Bool("changed", after != before).
		Int("targets", c.targetsIn(order.Domain)).Msg("control: order for a failure domain taken")
	return nil
}

func (c *Control) commitOrder(ctx context.Context, order evacuation.Order) error {
	command := &controlpb.Command{Body: &controlpb.Command_Evacuation{
		Evacuation: &controlpb.EvacuationOrder{FailureDomain: order.Domain, Out: order.Out},
	}}
	encoded, err := proto.Marshal(command)
	if err != nil {
		return fmt.Errorf("encoding an order: %w", err)
	}
	answer, err := c.store.Propose(ctx, encoded)
	if err != nil {
		return c.operatorFailure(ctx, err)
	}
	result := &controlpb.Result{}
	if err := proto.Unmarshal(answer, result); err != nil {
		return fmt.Errorf("decoding the answer to an order: %w", err)
	}
	if !result.GetDone() {
		return operator.NewFailure(operator.Invalid, "too many failure domains are out of use")
	}
	return nil
}

// A domainsReport is the failure domains section of the metrics.
type domainsReport struct {
	Version  uint64   `json:"version"`
	OutOfUse []string `json:"out-of-use"`
}

func newDomainsReport(state evacuation.State) domainsReport {
	return domainsReport{Version: state.Version, OutOfUse: append([]string{}, state.Domains...)}
}

// FailureDomains returns the failure domains that are out of use, or that have attached daemons or announced targets.
func (c *Control) FailureDomains(ctx context.Context) (operator.FailureDomains, error) {
	l := c.leadership.Load()
	if l == nil {
		return operator.FailureDomains{}, c.notLeaderFailure(ctx)
	}
	domains := make(map[string]operator.FailureDomain)
	result := operator.FailureDomains{}
	now := boottime.Now()
	c.store.Read(func() {
		state := c.state.evacuations.State(0)
		result.Version = state.Version
		for _, name := range state.Domains {
			since, _ := c.state.evacuations.Since(name)
			domains[name] = operator.FailureDomain{OutOfUse: true, OutFor: max(now.Sub(since), 0).Truncate(time.Second)}
		}
	})
	for _, s := range l.allSessions() {
		d := domains[s.attach.GetFailureDomain()]
		d.Daemons++
		domains[s.attach.GetFailureDomain()] = d
		result.Daemons++
		if s.outOfUse.Load() == result.Version {
			result.InForce++
		}
	}
	for name, targets := range l.targetsByDomain() {
		d := domains[name]
		d.Targets = targets
		domains[name] = d
	}
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		d := domains[name]
		d.Name = name
		result.Domains = append(result.Domains, d)
	}
	return result, c.requireLease(ctx)
}

// targetsByDomain returns the number of announced targets in each failure domain that has any.
func (l *leadership) targetsByDomain() map[string]int {
	l.targetMu.Lock()
	defer l.targetMu.Unlock()
	counts := make(map[string]int)
	for _, t := range l.targets.Targets() {
		counts[t.FailureDomain]++
	}
	return counts
}

// evacuations returns the failure domains out of use, as far as this instance has applied the log.
func (c *Control) evacuations(cluster uint64) (state evacuation.State) {
	c.store.Read(func() { state = c.state.evacuations.State(cluster) })
	return state
}

// targetsIn returns the number of announced targets in a failure domain, 0 if this instance does not lead.
func (c *Control) targetsIn(domain string) int {
	l := c.leadership.Load()
	if l == nil {
		return 0
	}
	return l.targetsByDomain()[domain]
}

// KnowsFailureDomain reports whether a failure domain is out of use, or has an attached daemon or an announced target. It
// fails with NotLeader if this instance does not lead.
func (c *Control) KnowsFailureDomain(domain string) (bool, error) {
	l := c.leadership.Load()
	if l == nil || !c.holdsLease(l.term) {
		return false, errNotLeader
	}
	return c.evacuations(0).Out(domain) || c.targetsIn(domain) > 0 ||
		slices.ContainsFunc(l.allSessions(), func(s *session) bool { return s.attach.GetFailureDomain() == domain }), nil
}

// sendOutOfUse sends the failure domains out of use if they have changed, and at the start of the session, so that the
// daemon knows them before it knows targets.
func (s *session) sendOutOfUse(now time.Time) error {
	if s.sent.hasOutOfUse && s.control.outOfUseVersion() == s.sent.outOfUse {
		return nil
	}
	cluster, _ := s.control.store.Cluster()
	var state evacuation.State
	s.control.store.Read(func() {
		state = s.control.state.evacuations.State(cluster)
		if changedAt := s.control.state.evacuations.ChangedAt(); !changedAt.IsZero() {
			state.Age = max(now.Sub(changedAt), 0)
		}
	})
	s.sent.hasOutOfUse, s.sent.outOfUse = true, state.Version
	return s.write(&peerpb.ControlMessage{Body: &peerpb.ControlMessage_OutOfUse{OutOfUse: message.EncodeOutOfUse(state)}})
}

func (c *Control) outOfUseVersion() (version uint64) {
	c.store.Read(func() { version = c.state.evacuations.Version() })
	return version
}
