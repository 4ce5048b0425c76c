package control

import (
	"context"
	"fmt"

	"sapphirespread.example/internal/operator"
	"sapphirespread.example/internal/peer"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/replica"
)

// Members returns the control instances of the cluster.
func (c *Control) Members(ctx context.Context) ([]operator.Member, error) {
	if err := c.leading(ctx); err != nil {
		return nil, err
	}
	status := c.store.Status()
	members := make([]operator.Member, 0, len(status.Members))
	for _, member := range status.Members {
		members = append(members, operator.Member{
			Name:    member.Name,
			Address: member.Address,
			Role:    roleOf(member, status.Leader),
			Match:   member.Match,
		})
	}
	return members, nil
}

// memberAddresses returns where the control instances of the cluster are reached by other processes, where they change
// without an operator; else daemons keep to those of their settings.
func (c *Control) memberAddresses() []string {
	if c.settings.Voters == 0 {
		return nil
	}
	members := c.store.Members()
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address.String())
	}
	return addresses
}

func roleOf(member replica.MemberStatus, leader replica.ID) operator.Role {
	switch {
	case member.ID == leader:
		return operator.RoleLeader
	case member.Role == replica.Voter:
		return operator.RoleVoter
	default:
		return operator.RoleLearner
	}
}

// AddMember adds an empty instance that asks to join, as a learner.
func (c *Control) AddMember(ctx context.Context, m operator.NewMember) error {
	if err := c.leading(ctx); err != nil {
		return err
	}
	if err := c.checkAnnounced(m); err != nil {
		return err
	}
	return c.changeMember(ctx, "added as a learner", m.Name, c.store.AddLearner)
}

func (c *Control) checkAnnounced(m operator.NewMember) error {
	for _, announced := range c.store.Status().Announced {
		if announced.Name != m.Name {
			continue
		}
		if announced.Address != m.Address {
			detail := fmt.Sprintf("member %s asks to join from %s, not from %s", m.Name, announced.Address, m.Address)
			return operator.NewFailure(operator.Invalid, detail)
		}
		return nil
	}
	return operator.NewFailure(operator.NotFound, "no empty instance named "+m.Name+" asks to join")
}

// PromoteMember makes a learner that has caught up a voter.
func (c *Control) PromoteMember(ctx context.Context, name string) error {
	return c.changeMember(ctx, "promoted to voter", name, c.store.Promote)
}

// RemoveMember takes a member out of the cluster.
func (c *Control) RemoveMember(ctx context.Context, name string) error {
	return c.changeMember(ctx, "removed", name, c.store.Remove)
}

func (c *Control) changeMember(ctx context.Context, what, name string, change func(context.Context, string) error) error {
	if err := change(ctx, name); err != nil {
		return c.memberFailure(ctx, err)
	}
	c.record("members", "member "+name+" "+what)
	c.logger.Info().Str("member", name).Msg("control: member " + what)
	return nil
}

// memberFailure tells operators why the replica refused a change of members.
func (c *Control) memberFailure(ctx context.Context, err error) error {
	failure := c.failure(ctx, err)
	if operator.FailureOf(failure).Kind == operator.Internal {
		return operator.NewFailure(operator.Invalid, err.Error())
	}
	return failure
}

// serveOperatorsAddress tells another instance where this one serves operators.
func (c *Control) serveOperatorsAddress(_ context.Context, _ peer.Identity, stream *peer.Stream) {
	_ = stream.Send(&peerpb.Redirect{Leader: c.settings.Name, Address: c.OperatorsAddress().String()})
}
